"""A small HTTP/1.1 client that keeps one connection open.

The load tool, which must send hundreds of requests a second from one process, and the
control calls of tests use it. It works with standard sockets and with those that
eventlet has patched.
"""

import json
import socket
from typing import Any, NamedTuple

from standins._address import split_address

RECEIVE_BYTES = 65536


class ConnectionBroken(Exception):  # noqa: N818 - names the event, as in http.client
    """The connection ended before the answer was complete.

    ``sent`` is False when the connection could not be opened, so that the request
    certainly did not leave the client.
    """

    def __init__(self, reason: str, *, sent: bool):
        super().__init__(reason)
        self.sent = sent


class HttpResponse(NamedTuple):
    """One response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


def format_request(
    method: str, target: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request; adds ``Host`` and ``Content-Length``."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class HttpClient:
    """Sends requests one after the other over one connection, opened on demand.

    ``address`` has the form ``ip:port``. ``source_ip`` is the local address to connect
    from, for servers and proxies that tell clients apart by it.
    """

    def __init__(
        self, address: str, *, timeout_s: float = 30.0, source_ip: str | None = None
    ):
        self.address = address
        self.timeout_s = timeout_s
        self.source_ip = source_ip
        self._socket: socket.socket | None = None
        self._buffer = b""

    @property
    def is_open(self) -> bool:
        """Whether a connection is kept open."""
        return self._socket is not None

    def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request and return its response; raises ``ConnectionBroken``."""
        self.send_request(method, target, body, headers)
        return self.receive()

    def send_request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send one request, whose response ``receive`` returns."""
        self.open()
        data = format_request(method, target, self.address, headers or {}, body)
        try:
            self._socket.settimeout(self.timeout_s)
            self._socket.sendall(data)
        except OSError as error:
            raise self._close_as_broken(error) from error

    def receive(self) -> HttpResponse:
        """Return the next response; raises ``ConnectionBroken``."""
        try:
            return self._read_response()
        except (OSError, ValueError) as error:
            raise self._close_as_broken(error) from error

    def request_json(self, method: str, target: str, value: Any = None) -> Any:
        """Send ``value`` as JSON and return the decoded body of the response."""
        body = b"" if value is None else json.dumps(value).encode()
        return self.request(method, target, body).json()

    def open(self) -> None:
        """Open the connection if there is none."""
        if self._socket is not None:
            return
        source = (self.source_ip, 0) if self.source_ip else None
        try:
            self._socket = socket.create_connection(
                split_address(self.address), self.timeout_s, source
            )
        except OSError as error:
            raise ConnectionBroken(f"{self.address}: {error}", sent=False) from error
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._buffer = b""

    def _close_as_broken(self, error: Exception) -> ConnectionBroken:
        self.close()
        return ConnectionBroken(f"{self.address}: {error}", sent=True)

    def _read_response(self) -> HttpResponse:
        while (end := self._buffer.find(b"\r\n\r\n")) < 0:
            self._buffer += self._receive()
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ", 2)[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        start = end + 4
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = self._read_chunks(start)
        else:
            body = self._consume(start, int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return HttpResponse(status, headers, body)

    def _read_chunks(self, start: int) -> bytes:
        self._consume(0, start)
        chunks = []
        while True:
            while (end := self._buffer.find(b"\r\n")) < 0:
                self._buffer += self._receive()
            size = int(self._buffer[:end].split(b";")[0], 16)
            chunks.append(self._consume(end + 2, size))
            self._consume(0, 2)
            if size == 0:
                return b"".join(chunks)

    def _consume(self, start: int, length: int) -> bytes:
        """Return ``length`` bytes from ``start`` on; discard the buffer up to there."""
        stop = start + length
        if len(self._buffer) < stop:
            parts = [self._buffer]
            received = len(self._buffer)
            while received < stop:
                parts.append(self._receive())
                received += len(parts[-1])
            self._buffer = b"".join(parts)
        data = self._buffer[start:stop]
        self._buffer = self._buffer[stop:]
        return data

    def _receive(self) -> bytes:
        data = self._socket.recv(RECEIVE_BYTES)
        if not data:
            raise OSError("closed by the server")
        return data
