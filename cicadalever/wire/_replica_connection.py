"""One persistent HTTP connection to a replica or a peer, driven by callbacks."""

import contextlib
import socket
from collections.abc import Callable
from enum import StrEnum
from functools import lru_cache
from typing import NamedTuple

import httptools

from ._headers import HeaderNames
from ._loop import EventLoop
from ._message import Header

RECEIVE_BYTES = 65536
# The handshake with a replica takes a few milliseconds; a lost SYN is only sent again
# after a second.
CONNECT_TIMEOUT_S = 0.4
# Time after which the kernel drops a connection whose bytes are not acknowledged.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
# Fraction of the idle timeout that the replica announced, after which this host closes
# an idle connection.
IDLE_SHARE = 0.7
# Idle timeout of a replica that does not announce one.
DEFAULT_IDLE_S = 30.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class AnswerFault(StrEnum):
    """Why a request has no answer.

    - ``UNREACHABLE``: no byte of the request was sent.
    - ``LOST``: the connection ended after a part of the request was sent.
    - ``GARBLED``: the replica sent bytes that are not the answer to the request.
    - ``ABANDONED``: this host closed the connection.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    GARBLED = "garbled"
    ABANDONED = "abandoned"


class ReplicaAnswer(NamedTuple):
    """A complete answer to a request, or the ``fault`` that explains its absence."""

    status: int
    headers: list[Header]
    body: bytes
    fault: AnswerFault | None = None
    detail: str = ""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


OnAnswer = Callable[[ReplicaAnswer], None]


class ReplicaConnection:
    """A connection that carries one request at a time.

    ``on_idle`` is called when the connection can take another request and
    ``on_closed`` with the cause when it was closed. An answer whose request id is not
    that of the current request belongs to an earlier one: it is skipped, and the
    connection is not used again.
    """

    def __init__(
        self,
        loop: EventLoop,
        names: HeaderNames,
        address: tuple[str, int],
        on_idle: Callable[["ReplicaConnection"], None],
        on_closed: Callable[["ReplicaConnection", str], None],
    ):
        self.loop = loop
        self.names = names
        self.address = address
        self.on_idle = on_idle
        self.on_closed = on_closed
        # Number of complete answers.
        self.answers_received = 0
        # Monotonic time in seconds at which this host should close the idle connection.
        self.idle_until = 0.0
        self._socket: socket.socket | None = None
        self._reader = None
        self._writer = None
        self._connected = False
        self._closed = False
        self._unsent = b""
        self._request_id = b""
        self._sent = False
        self._on_answer: OnAnswer | None = None
        self._on_interim: Callable[[], None] | None = None
        self._timer = None
        self._must_close = False
        self._idle_s = DEFAULT_IDLE_S
        self._parser = httptools.HttpResponseParser(self)
        self._in_message = False
        self._reset_fields()

    @property
    def was_sent(self) -> bool:
        """Whether a byte of the current request was sent."""
        return self._sent

    def connect(self) -> None:
        """Start to connect."""
        sock = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        try:
            sock.connect(self.address)
        except BlockingIOError:
            pass
        except OSError as error:
            self.loop.call_later(0.0, self._fail, AnswerFault.UNREACHABLE, str(error))
            return
        self._writer = self.loop.watch_write(sock.fileno(), self._writable)
        self._timer = self.loop.call_later(
            CONNECT_TIMEOUT_S, self._fail, AnswerFault.UNREACHABLE, "connect timed out"
        )

    def send(
        self,
        request: bytes,
        request_id: bytes,
        on_answer: OnAnswer,
        on_interim: Callable[[], None] | None = None,
    ) -> None:
        """Send a request, now or once connected; ``on_answer`` is called once.

        ``on_interim`` is called for each informational response before it.
        """
        if self._on_answer is not None:
            raise RuntimeError("the connection is in use")
        self._on_answer = on_answer
        self._on_interim = on_interim
        self._request_id = request_id
        self._sent = False
        self._unsent = request
        if self._connected:
            self._flush()

    def close(self, detail: str = "closed by this host") -> None:
        """Close the connection; a request without an answer ends as ``ABANDONED``."""
        self._fail(AnswerFault.ABANDONED, detail)

    # Socket events

    def _writable(self) -> None:
        if self._closed:
            return
        if not self._connected:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(AnswerFault.UNREACHABLE, f"connect: errno {code}")
                return
            self._connected = True
            self._cancel_timer()
            self._reader = self.loop.watch_read(self._socket.fileno(), self._readable)
        if self._unsent:
            self._flush()
        if not self._closed and not self._unsent:
            self._stop_writing()
            if self._on_answer is None:
                self._become_idle()

    def _flush(self) -> None:
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            count = 0
        except OSError as error:
            fault = AnswerFault.LOST if self._sent else AnswerFault.UNREACHABLE
            self._fail(fault, f"send: {error}")
            return
        self._sent = self._sent or count > 0
        self._unsent = self._unsent[count:]
        if self._unsent and self._writer is None:
            self._writer = self.loop.watch_write(self._socket.fileno(), self._writable)

    def _readable(self) -> None:
        if self._closed:
            return
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(AnswerFault.LOST, f"receive: {error}")
            return
        if not data:
            self._end_of_stream()
            return
        if self._on_answer is None:
            self._fail(AnswerFault.GARBLED, "bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._on_answer is not None:
                self._fail(AnswerFault.GARBLED, f"not a response: {error}")
            else:
                self._fail(AnswerFault.GARBLED, "bytes after the response")
            return
        if self._closed:
            return
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._fail(AnswerFault.GARBLED, "answer too large")
        elif self._on_answer is None:
            if self._must_close or self._in_message:
                self._fail(AnswerFault.GARBLED, "connection cannot be reused")
            else:
                self._become_idle()

    def _end_of_stream(self) -> None:
        ends_body = self._in_message and self._headers_done and not self._has_framing
        if self._on_answer is not None and ends_body:
            self._must_close = True
            self.on_message_complete()
        self._fail(AnswerFault.LOST, "closed by the replica")

    # Parser callbacks, named by httptools

    def on_message_begin(self) -> None:
        self._reset_fields()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._headers_done = True
        self._status = self._parser.get_status_code()
        for name, value in self._headers:
            if name in (b"content-length", b"transfer-encoding"):
                self._has_framing = True
            elif name == b"keep-alive":
                self._idle_s = _parse_idle_timeout(value, self._idle_s)
        if not self._parser.should_keep_alive():
            self._must_close = True

    def on_body(self, data: bytes) -> None:
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._status < 200:
            if self._on_answer is not None and self._on_interim is not None:
                self._on_interim()
            return
        if self._on_answer is None:
            self._must_close = True
            return
        answer = ReplicaAnswer(self._status, self._headers, b"".join(self._body))
        answer_id = answer.header(self.names.request_id)
        if answer_id is not None and answer_id != self._request_id:
            # The answer to an earlier request; the expected one may still follow.
            self._must_close = True
            return
        if self._unsent:
            # The replica would read the rest of this request as the next one.
            self._must_close = True
        self._finish(answer)

    # Completion and closing

    def _finish(self, answer: ReplicaAnswer) -> None:
        self.answers_received += answer.fault is None
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(answer)

    def _become_idle(self) -> None:
        self.idle_until = self.loop.now() + self._idle_s * IDLE_SHARE
        self.on_idle(self)

    def _fail(self, fault: AnswerFault, detail: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._cancel_timer()
        self._stop_writing()
        if self._reader is not None:
            self.loop.unwatch(self._reader)
            self._reader = None
        with contextlib.suppress(OSError):
            self._socket.close()
        self.on_closed(self, detail)
        if fault is AnswerFault.LOST and not self._sent:
            fault = AnswerFault.UNREACHABLE
        self._finish(ReplicaAnswer(0, [], b"", fault, detail))

    def _stop_writing(self) -> None:
        if self._writer is not None:
            self.loop.unwatch(self._writer)
            self._writer = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reset_fields(self) -> None:
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._headers_done = False
        self._has_framing = False


@lru_cache(maxsize=64)
def _parse_idle_timeout(value: bytes, default_s: float) -> float:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return default_s
