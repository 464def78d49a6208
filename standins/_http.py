"""A small HTTP/1.1 server with persistent connections, on eventlet green threads.

A WSGI server takes several hundred microseconds per request. This one takes a fraction
of that, because it parses only what the stand-ins need: a method, a target, headers
and a body with a content length.
"""

import struct
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from ._address import split_address
from ._eventlet import eventlet
from ._wait import Wait, WakeReason

# ``Wait`` suspends the green thread, so the sockets must be those that eventlet has not
# patched, in non-blocking mode.
socket = eventlet.patcher.original("socket")

RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 65536
MAX_BODY_BYTES = 16 << 20
LISTEN_BACKLOG = 1024
# With this value of SO_LINGER (on, 0 s), close() resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    409: b"Conflict",
    410: b"Gone",
    499: b"Cancelled",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ConnectionEnd(Exception):  # noqa: N818 - control flow of this module, no error
    """The connection was closed by the client or aborted by the stand-in."""


class HttpRequest(NamedTuple):
    """One HTTP request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def path(self) -> str:
        """Path of the target, without its query string."""
        return urlsplit(self.target.decode("latin-1")).path

    @property
    def query(self) -> dict[str, str]:
        """Query parameters of the target."""
        return dict(parse_qsl(urlsplit(self.target.decode("latin-1")).query))


def parse_head(head: bytes) -> tuple[bytes, bytes, dict[bytes, bytes]]:
    """Return method, target and headers of a request head; raises ``ValueError``."""
    lines = head.split(b"\r\n")
    method, target, _ = lines[0].split(b" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    return method, target, headers


class Connection:
    """One accepted connection, served by one green thread."""

    __slots__ = ("peer", "wait", "_socket", "_buffer", "_is_aborted")

    def __init__(self, accepted: socket.socket, peer: tuple[str, int]):
        self.peer = peer
        self.wait = Wait(accepted.fileno())
        self._socket = accepted
        self._buffer = b""
        self._is_aborted = False

    def read_request(self) -> HttpRequest:
        """Return the next request; raises ``ConnectionEnd`` if none can be read."""
        while (end := self._buffer.find(b"\r\n\r\n")) < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise ConnectionEnd
            self._buffer += self._receive()
        try:
            method, target, headers = parse_head(self._buffer[:end])
            length = int(headers.get(b"content-length", 0))
        except ValueError as error:
            raise ConnectionEnd from error
        if not 0 <= length <= MAX_BODY_BYTES:
            raise ConnectionEnd
        stop = end + 4 + length
        while len(self._buffer) < stop:
            self._buffer += self._receive()
        body = self._buffer[end + 4 : stop]
        self._buffer = self._buffer[stop:]
        return HttpRequest(method, target, headers, body)

    def send(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Send one response; ``headers`` holds extra lines, each ending in CRLF."""
        self.send_bytes(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n%b\r\n%b"
            % (status, REASON_PHRASES.get(status, b"Other"), len(body), headers, body)
        )

    def send_json(self, status: int, value: Any) -> None:
        """Send one response whose body is ``value`` as JSON."""
        self.send(status, msgspec.json.encode(value))

    def send_bytes(self, data: bytes) -> None:
        """Send all of ``data``; raises ``ConnectionEnd``."""
        while data:
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                self._raise_if_aborted(self.wait.park(read=False, write=True))
                continue
            except OSError as error:
                raise ConnectionEnd from error
            data = data[sent:]

    def sleep(self, seconds: float) -> None:
        """Sleep; raises ``ConnectionEnd`` when the connection is aborted meanwhile."""
        self._raise_if_aborted(self.wait.park(seconds, read=False))

    def is_closed_by_client(self) -> bool:
        """Tell whether the client closed or reset the connection."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def abort(self) -> None:
        """Make the green thread that serves the connection reset it."""
        self._is_aborted = True
        self.wait.notify(WakeReason.ABORTED)

    def close(self) -> None:
        """Close the socket, with a reset after ``abort``."""
        if self._is_aborted:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._socket.close()

    def _receive(self) -> bytes:
        while True:
            self._raise_if_aborted(self.wait.park())
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise ConnectionEnd from error
            if not data:
                raise ConnectionEnd
            return data

    def _raise_if_aborted(self, wake: WakeReason) -> None:
        if wake is WakeReason.ABORTED or self._is_aborted:
            raise ConnectionEnd


class StandinServer:
    """Listens on one address and hands each request to ``handler``.

    ``handler(connection, request)`` sends the response itself. ``admit(connection)``
    is called for every new connection and returns whether to serve it;
    ``released(connection)`` is called once at the end of each admitted connection.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[Connection, HttpRequest], None],
        *,
        admit: Callable[[Connection], bool] | None = None,
        released: Callable[[Connection], None] | None = None,
    ):
        self.address = address
        self.handler = handler
        self.admit = admit
        self.released = released
        self._wait: Wait | None = None
        self._accept_thread = None
        self._connections: set[Connection] = set()

    def start(self) -> None:
        """Listen and start to accept connections."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(self.address))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
        self._wait = Wait(listener.fileno())
        self._accept_thread = eventlet.spawn(self._accept_loop, listener, self._wait)

    def stop(self) -> None:
        """Refuse new connections; returns when the listening socket is closed."""
        thread, self._accept_thread = self._accept_thread, None
        if thread is None:
            return
        self._wait.notify(WakeReason.ABORTED)
        thread.wait()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.abort()

    def _accept_loop(self, listener: socket.socket, wait: Wait) -> None:
        try:
            while wait.park() is not WakeReason.ABORTED:
                self._accept_pending(listener)
        finally:
            listener.close()

    def _accept_pending(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, peer = listener.accept()
            except BlockingIOError:
                return
            except OSError:
                # The process has no free descriptor, or the client has closed already.
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve, Connection(accepted, peer))

    def _serve(self, connection: Connection) -> None:
        try:
            if self.admit is not None and not self.admit(connection):
                return
            self._connections.add(connection)
            try:
                while True:
                    self.handler(connection, connection.read_request())
            except ConnectionEnd:
                pass
            finally:
                self._connections.discard(connection)
                if self.released is not None:
                    self.released(connection)
        finally:
            connection.close()
