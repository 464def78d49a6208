"""HTTP server for callers and peers, driven by callbacks."""

import contextlib
import errno
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import httptools

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    HeldBytes,
    HeldKind,
    MemoryBudget,
)

from ._answer_parser import FRAMING_PER_BODY_BYTE
from ._body_buffer import BodyBuffer
from ._loop import EventLoop
from ._message import FIELD_BYTES, NOTHING, CallerRequest, CallerResponse, Header
from ._paced_reader import MAX_PIECES, PacedReader

BACKLOG = 1024
# Connections accepted per event, so that a burst does not block the event loop.
MAX_ACCEPTS = 64
# Errors of accept when descriptors or memory of the kernel are used up, and the time in
# seconds until the next attempt; the listener stays readable meanwhile.
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_PAUSE_S = 0.05
# Requests that may wait on one connection for the response to an earlier one.
MAX_PIPELINED = 16
# Bytes of trailers and chunk extensions that a request may have beyond the limit of its
# head, in addition to the framing of chunks.
MAX_EXTRA_BYTES = 64 * 1024
# Busy period of the event loop after which a request may be older than its caller's
# patience.
STALE_AFTER_S = 0.005
# Size of the part of ``struct tcp_info`` of Linux that is read, and the place of its
# smoothed round trip, an unsigned number of microseconds.
TCP_INFO_BYTES = 72
TCP_INFO_RTT_OFFSET = 68
# Bytes that the kernel may receive ahead on one connection; without a bound, it takes
# megabytes from each sender that is faster than this host.
RECEIVE_BUFFER_BYTES = 32768
# Retry-After of a request that was refused before it was received completely, because
# the host holds too much for others.
DROPPED_RETRY_AFTER_S = 1.0
# Time for which a connection without any request counts as busy after it was accepted.
NEW_CONNECTION_GRACE_S = 0.5
# Time after which the connection of a caller that does not read is closed.
SEND_TIMEOUT_S = 10.0


class ServerLimits(NamedTuple):
    """Limits on each connection and request, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class CallerConnection:
    """One connection of a caller, whose requests are answered one after another.

    The server's ``on_request`` gets each complete request. Each needs one call of
    ``respond``, unless ``on_disconnect`` was called before.
    """

    def __init__(self, server: "CallerServer", sock: socket.socket):
        self.server = server
        self.loop = server.loop
        self.on_disconnect: Callable[[], None] | None = None
        self._socket = sock
        self._reader = PacedReader(
            self.loop, sock, self._received, lambda error: self._close()
        )
        # Header fields and parts of bodies since the connection was accepted.
        self._pieces = 0
        self._writer = None
        self._closed = False
        self._accepted_at = self.loop.now()
        self._unsent = NOTHING
        memory = server.memory
        self._held_upload = HeldBytes(memory, HeldKind.UPLOAD, self._drop_upload)
        self._held_request = HeldBytes(memory, HeldKind.REQUEST)
        self._held_response = HeldBytes(memory, HeldKind.RESPONSE, self._close)
        self._request: CallerRequest | None = None
        self._pipelined: deque[CallerRequest] = deque()
        self._closes_after_response = False
        # Whether further bytes of the caller are dropped, and the response to them.
        self._is_discarding = False
        self._rejection: CallerResponse | None = None
        self._request_count = 0
        self._received_at: float | None = None
        self._timer = None
        self._parser = httptools.HttpRequestParser(self)
        self._reset_message()
        server.descriptors.open(self, self._give_way)
        self._reader.start()
        self._wait_for_request()

    @property
    def is_busy(self) -> bool:
        """Whether a request is expected, received or handled, or a response sent.

        The first request of a connection is expected for ``NEW_CONNECTION_GRACE_S``.
        """
        if self._has_work:
            return True
        age_s = self.loop.now() - self._accepted_at
        return self._request_count == 0 and age_s < NEW_CONNECTION_GRACE_S

    @property
    def _has_work(self) -> bool:
        has_begun = self._received_at is not None or bool(self._pipelined)
        is_answered = self._request is None and not self._unsent
        return has_begun or not is_answered or self._reader.is_waiting

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller that the kernel has measured, in seconds.

        None if the kernel does not tell it.
        """
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        return struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)[0] / 1e6 or None

    def respond(self, response: CallerResponse) -> None:
        """Send the response to the current request."""
        request = self._request
        if self._closed or request is None:
            return
        self._request = None
        self.on_disconnect = None
        self._held_request.set(0)
        keep_alive = (
            request.keep_alive
            and not self._closes_after_response
            and not self.server.closes_after_response
        )
        self._closes_after_response = not keep_alive
        has_body = request.method != b"HEAD"
        self._send(response.encode(keep_alive=keep_alive, has_body=has_body))
        self._after_send()

    def respond_interim(
        self, request: CallerRequest, status: int, headers: Iterable[Header] = ()
    ) -> bool:
        """Send an informational response before the response to ``request``.

        Return False if the request is not the current one any more.
        """
        if self._closed or self._request is not request:
            return False
        lines = b"".join(b"%s: %s\r\n" % header for header in headers)
        self._send(b"HTTP/1.1 %d Processing\r\n%s\r\n" % (status, lines))
        return not self._closed

    def end_request(
        self, response: CallerResponse, request: CallerRequest | None = None
    ) -> None:
        """Cancel the current request and send a response to it.

        Nothing happens if ``request`` is given and is not the current one any more.
        """
        is_current = request is None or request is self._request
        if self._request is not None and is_current and not self._closed:
            on_disconnect, self.on_disconnect = self.on_disconnect, None
            if on_disconnect is not None:
                self.loop.run_guarded(on_disconnect)
            self.respond(response)

    def _give_way(self) -> None:
        """Refuse a part of a request, and close the connection without a whole one."""
        self._reader.read()
        is_answered = self._request is None and not self._unsent
        if self._closed or self._pipelined or not is_answered:
            return
        if self._received_at is not None:
            self._refuse()
        elif self._reader.is_waiting:
            return
        if not self._closed:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or waits to be read."""
        if self.is_busy or self._closed:
            return
        self._reader.read()
        if not self.is_busy and not self._closed:
            self._close()

    # Socket events

    def _received(self, data: bytes, has_more: bool) -> int:
        """Parse ``data`` and return in how many pieces it came."""
        if not data:
            self._close()
        if self._closed or self._is_discarding:
            return 0
        pieces = self._pieces
        if self._received_at is None:
            self._received_at = self.loop.now() - self.loop.busy_s()
            if self._request is None and not self._unsent:
                self.server.descriptors.receive(self)
            if self._request is None:
                self._restart_timer(self.server.limits.header_timeout_s)
        if not self._headers_done:
            self._header_bytes += len(data)
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        pieces = self._pieces - pieces
        if has_more and pieces <= MAX_PIECES and not self._is_discarding:
            # The next slice follows at once.
            return pieces
        self._check_limits()
        self._report_upload()
        self._dispatch()
        return pieces

    def _check_limits(self) -> None:
        limits = self.server.limits
        if not self._headers_done and self._header_bytes > limits.max_header_bytes:
            self._reject(431)
        elif len(self._body) > limits.max_body_bytes:
            self._reject(413)
        elif self._extra_bytes > limits.max_header_bytes + MAX_EXTRA_BYTES:
            self._reject(400)
        elif len(self._pipelined) > MAX_PIPELINED:
            self._close()

    def _report_upload(self) -> None:
        """Report what was received and is not in progress yet."""
        if self._closed:
            return
        size = sum(request.held_bytes for request in self._pipelined)
        if self._received_at is not None:
            fields = FIELD_BYTES * len(self._headers)
            size += self._header_bytes + len(self._body) + fields
            size += self._reader.rest_bytes
        self._held_upload.set(size)

    def _drop_upload(self) -> None:
        """Refuse what was received and is not in progress yet."""
        self._pipelined.clear()
        self._reset_message()
        self._refuse()

    def _refuse(self) -> None:
        """Answer that the request has not run and the caller may come back later."""
        self._reject(503, [(b"Retry-After", b"%.3f" % DROPPED_RETRY_AFTER_S)])

    @property
    def _extra_bytes(self) -> int:
        """Bytes of the incomplete message besides its body and its chunk sizes."""
        return self._message_bytes - (1 + FRAMING_PER_BODY_BYTE) * len(self._body)

    def _dispatch(self) -> None:
        """Pass the next complete request on, unless one is in progress."""
        is_free = self._request is None and not self._unsent
        if (
            self._closed
            or self._closes_after_response
            or not is_free
            or not self._pipelined
        ):
            return
        if self.loop.busy_s() > STALE_AFTER_S and self._is_closed_by_peer():
            # Work for a caller who has given up while the loop was busy would only
            # load the replicas.
            self._close()
            return
        if not self._held_request.pin(self._pipelined[0].held_bytes):
            self._pipelined.clear()
            self._refuse()
            return
        self._request = self._pipelined.popleft()
        self.server.descriptors.use(self)
        self._report_upload()
        self._request_count += 1
        self._cancel_timer()
        if not self.loop.run_guarded(self.server.on_request, self, self._request):
            self.end_request(CallerResponse(500, []))

    def _is_closed_by_peer(self) -> bool:
        try:
            return self._socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _writable(self) -> None:
        if not self._closed:
            self._send(b"")
            self._after_send()

    def _send(self, data: bytes) -> None:
        if data:
            rest = self._unsent
            self._unsent = memoryview(bytes(rest) + data if rest else data)
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError:
            self._close()
            return
        self._unsent = self._unsent[count:] or NOTHING
        # A view keeps all of its bytes.
        self._held_response.set(len(self._unsent.obj))
        if self._unsent and self._writer is None and not self._closed:
            self._writer = self.loop.watch_write(self._socket.fileno(), self._writable)
            self._restart_timer(SEND_TIMEOUT_S)

    def _after_send(self) -> None:
        if self._closed or self._unsent:
            return
        if self._writer is not None:
            self.loop.unwatch(self._writer)
            self._writer = None
        if self._request is not None:
            return
        if self._closes_after_response:
            self._close()
            return
        if self._rejection is not None and not self._pipelined:
            self._send_rejection()
            return
        self._wait_for_request()
        if self._pipelined:
            self.loop.call_later(0.0, self._dispatch)

    # Parser callbacks, named by httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._pieces += 1
        if self._headers_done or self._is_discarding:
            # Trailers are not passed on.
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._closed:
            return
        self._headers_done = True
        names = [name for name, _ in self._headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Request smuggling: a proxy may parse such a request as two (RFC 9112,
            # section 6.1).
            self._reject(400)
        elif (b"expect", b"100-continue") in self._headers:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._pieces += 1
        if self._is_discarding:
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._is_discarding or self._closed:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._body.join(),
            self._received_at or self.loop.now(),
            self._request_count + len(self._pipelined) == 0,
            self._parser.should_keep_alive(),
        )
        self._check_limits()
        if self._is_discarding or self._closed:
            return
        self._reset_message()
        self._pipelined.append(request)

    # Rejection, time-outs and closing

    def _reject(self, status: int, headers: Iterable[Header] = ()) -> None:
        if self._closed or self._closes_after_response or self._is_discarding:
            return
        self._is_discarding = True
        self._rejection = CallerResponse(status, [*headers])
        if self._request is None and not self._pipelined:
            self._send_rejection()

    def _send_rejection(self) -> None:
        """Answer what could not be received, after all requests before it."""
        rejection, self._rejection = self._rejection, None
        self._closes_after_response = True
        self._send(rejection.encode(keep_alive=False))
        self._after_send()

    def _wait_for_request(self) -> None:
        if self._received_at is not None:
            self.server.descriptors.receive(self)
        elif not self._pipelined:
            self.server.descriptors.rest(self)
        self._restart_timer(self.server.limits.idle_timeout_s)

    def _restart_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(seconds, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        self._timer = None
        if self._received_at is not None and not self._unsent:
            self._reject(408)
        else:
            self._close()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._reader.close()
        if self._writer is not None:
            self.loop.unwatch(self._writer)
        with contextlib.suppress(OSError):
            self._socket.close()
        self.server.connections.discard(self)
        self.server.descriptors.close(self)
        self._free()
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            self.loop.run_guarded(on_disconnect)

    def _free(self) -> None:
        """Free all memory without waiting for a collection of reference cycles."""
        for held in (self._held_upload, self._held_request, self._held_response):
            held.set(0)
        self._is_discarding = True
        self._unsent = NOTHING
        self._request = None
        self._pipelined.clear()
        self._reset_message()
        self._parser = None

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._headers_done = False
        self._header_bytes = 0
        self._message_bytes = 0
        self._body = BodyBuffer()
        self._received_at = None


class CallerServer:
    """Accepts connections of callers and passes their requests to ``on_request``.

    ``limits`` may be replaced at any time; timers that are already running do not
    change. While ``closes_after_response`` is True, each connection is closed after its
    response, so that the load balancer can send the caller's next connection to another
    host. Without a descriptor for a new connection, the one is closed that has waited
    longest for its caller, or else the new one. ``descriptors`` is for this server
    alone by default.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_request: Callable[[CallerConnection, CallerRequest], None],
        limits: ServerLimits,
        memory: MemoryBudget | None = None,
        descriptors: DescriptorShare | None = None,
    ):
        self.loop = loop
        self.memory = memory or MemoryBudget()
        self.descriptors = descriptors or DescriptorShare(
            DescriptorBudget(), DescriptorKind.CALLER
        )
        self.address = address
        self.on_request = on_request
        self.limits = limits
        self.closes_after_response = False
        self.connections: set[CallerConnection] = set()
        self._socket: socket.socket | None = None
        self._reader = None
        self._is_paused = False

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._reader is not None

    def start(self) -> None:
        """Start to accept connections.

        Raises ``OSError`` if the address cannot be opened; ``start`` may be called
        again.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self._reader = self.loop.watch_read(sock.fileno(), self._accept)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Accept the connections that wait in the kernel, and close the listener."""
        if self._reader is not None:
            while self._accept() == MAX_ACCEPTS:
                pass
            if not self._is_paused:
                self.loop.unwatch(self._reader)
            self._reader = None
            self._socket.close()

    def _accept(self) -> int:
        """Accept at most ``MAX_ACCEPTS`` connections and return how many."""
        for accepted in range(MAX_ACCEPTS):
            try:
                sock, _address = self._socket.accept()
            except OSError as error:
                if error.errno not in EXHAUSTED_ERRNOS:
                    return accepted
                if not self.descriptors.drop_waiting():
                    self._pause()
                    return accepted
                continue
            if not self.descriptors.make_room():
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(CallerConnection(self, sock))
        return MAX_ACCEPTS

    def _pause(self) -> None:
        """Accept nothing for a while; what waits in the kernel stays there."""
        if self._reader is not None and not self._is_paused:
            self._is_paused = True
            self.loop.unwatch(self._reader)
            self.loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        if self._reader is not None:
            self._reader = self.loop.watch_read(self._socket.fileno(), self._accept)
