"""One persistent HTTP connection to a replica or a peer, driven by callbacks."""

import contextlib
import socket
import struct
from collections.abc import Callable

from cicadalever.budgets import HeldBytes, HeldKind, MemoryBudget

from ._answer_parser import DROPPED_DETAIL, AnswerParser, OnInterim
from ._headers import HeaderNames
from ._loop import EventLoop
from ._message import NOTHING, AnswerFault, ReplicaAnswer
from ._paced_reader import MAX_PIECES, PacedReader

# Bytes that the kernel may receive ahead on one connection; without a bound, it takes
# megabytes from each sender that is faster than this host.
RECEIVE_BUFFER_BYTES = 32768
# The handshake with a replica takes a few milliseconds; a lost SYN is only sent again
# after a second.
CONNECT_TIMEOUT_S = 0.4
# Time after which the kernel drops a connection whose bytes are not acknowledged.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
# Fraction of the idle timeout that the replica announced, after which this host closes
# an idle connection.
IDLE_SHARE = 0.7
# Value of SO_LINGER that makes close send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# What the attempt to connect raises: errors of the network, descriptors that are used
# up, and addresses that are none.
CONNECT_ERRORS = (OSError, ValueError, TypeError, OverflowError)

OnAnswer = Callable[[ReplicaAnswer], None]


class ReplicaConnection:
    """A connection that carries one request at a time.

    ``on_idle`` is called when the connection can take another request and
    ``on_closed`` with the cause when it was closed; ``on_connected`` is called at the
    end of the handshake. ``AnswerParser`` decides which bytes are the answer to the
    current request. ``started_at`` is the monotonic time in
    seconds at which the handshake began.
    """

    def __init__(
        self,
        loop: EventLoop,
        names: HeaderNames,
        address: tuple[str, int],
        on_idle: Callable[["ReplicaConnection"], None],
        on_closed: Callable[["ReplicaConnection", str], None],
        memory: MemoryBudget,
        on_connected: Callable[["ReplicaConnection"], None] = lambda connection: None,
    ):
        self.loop = loop
        self.names = names
        self.address = address
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.on_connected = on_connected
        self.started_at = loop.now()
        # Number of complete answers.
        self.answers_received = 0
        # Monotonic time in seconds at which this host should close the idle connection.
        self.idle_until = 0.0
        self._socket: socket.socket | None = None
        self._reader: PacedReader | None = None
        self._writer = None
        self._connected = False
        self._closed = False
        self._is_unreachable = False
        self._unsent = NOTHING
        self._held_request = HeldBytes(memory, HeldKind.REQUEST, self._schedule_drop)
        # Bytes that were read and are not parsed yet.
        self._held_rest = HeldBytes(memory, HeldKind.ANSWER, self._schedule_drop)
        self._sent = False
        self._on_answer: OnAnswer | None = None
        # Number of the request in progress.
        self._request_number = 0
        self._is_dropped = False
        self._timer = None
        self._parser = AnswerParser(names, memory)
        self._parser.on_dropped = self._schedule_drop

    @property
    def was_sent(self) -> bool:
        """Whether a byte of the current request was sent."""
        return self._sent

    @property
    def is_connected(self) -> bool:
        """Whether the handshake was completed at some time."""
        return self._connected

    @property
    def is_unreachable(self) -> bool:
        """Whether the handshake has failed, rather than been given up."""
        return self._is_unreachable

    @property
    def is_dropped(self) -> bool:
        """Whether this host has closed the connection to free memory."""
        return self._is_dropped

    def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Start to connect; the handshake fails after ``timeout_s`` seconds."""
        self.started_at = self.loop.now()
        try:
            self._start_handshake()
        except CONNECT_ERRORS as error:
            self.loop.call_later(0.0, self._fail, AnswerFault.UNREACHABLE, str(error))
            return
        self._timer = self.loop.call_later(
            timeout_s, self._fail, AnswerFault.UNREACHABLE, "connect timed out"
        )

    def _start_handshake(self) -> None:
        sock = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.address)
        self._writer = self.loop.watch_write(sock.fileno(), self._writable)

    def send(
        self,
        request: bytes,
        request_id: bytes,
        on_answer: OnAnswer,
        on_interim: OnInterim | None = None,
    ) -> None:
        """Send a request, now or once connected; ``on_answer`` is called once.

        ``on_interim`` is called with the headers of each informational response before
        it.
        """
        if self._on_answer is not None:
            raise RuntimeError("the connection is in use")
        self._on_answer = on_answer
        self._request_number += 1
        has_body = not request.startswith(b"HEAD ")
        self._parser.begin(request_id, on_interim, has_body=has_body)
        self._sent = False
        self._unsent = memoryview(request)
        if self._connected:
            self._flush()
        else:
            self._held_request.set(len(request))

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
            self._reader = PacedReader(
                self.loop, self._socket, self._received, self._read_failed
            )
            self._reader.start()
            self.loop.run_guarded(self.on_connected, self)
            if self._closed:
                return
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
        self._unsent = self._unsent[count:] or NOTHING
        # A view keeps all of its bytes.
        self._held_request.set(len(self._unsent.obj))
        if self._unsent and self._writer is None:
            self._writer = self.loop.watch_write(self._socket.fileno(), self._writable)

    def _read_failed(self, error: OSError) -> None:
        self._fail(AnswerFault.LOST, f"receive: {error}")

    def _received(self, data: bytes, has_more: bool) -> int:
        """Parse ``data`` and return in how many pieces it came."""
        if self._closed:
            return 0
        if not data:
            self._end_of_stream()
            return 0
        if self._on_answer is None:
            self._fail(AnswerFault.GARBLED, "bytes without a request")
            return 0
        parser = self._parser
        pieces = parser.pieces
        parser.feed(data)
        pieces = parser.pieces - pieces
        if self._closed:
            return pieces
        # The next slice follows at once, unless the reader has to wait for its turn.
        self._held_rest.set(self._reader.rest_bytes if pieces > MAX_PIECES else 0)
        if parser.is_dropped:
            self._drop(self._request_number)
        elif parser.fault_detail is not None:
            self._fail(parser.fault, parser.fault_detail)
        elif parser.answer is not None:
            # The replica would read the rest of an unsent request as the next one, and
            # bytes after the answer would be taken for that to the next request.
            must_close = parser.must_close or bool(self._unsent) or has_more
            self._finish(parser.answer)
            if must_close:
                self._fail(AnswerFault.GARBLED, "connection cannot be reused")
            elif not self._closed:
                self._become_idle()
        return pieces

    def _schedule_drop(self) -> None:
        # Called while the answer to another request is received.
        self.loop.call_later(0.0, self._drop, self._request_number)

    def _drop(self, request_number: int) -> None:
        """Close the connection to free memory, unless that request has ended."""
        if self._on_answer is not None and request_number == self._request_number:
            self._is_dropped = True
            self._fail(AnswerFault.ABANDONED, DROPPED_DETAIL)

    def _end_of_stream(self) -> None:
        self._parser.end_of_stream()
        if self._on_answer is not None and self._parser.answer is not None:
            self._finish(self._parser.answer)
        self._fail(AnswerFault.LOST, "closed by the replica")

    # Completion and closing

    def _finish(self, answer: ReplicaAnswer) -> None:
        self.answers_received += answer.fault is None
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            self.loop.run_guarded(on_answer, answer)

    def _become_idle(self) -> None:
        self._parser.forget()
        self.idle_until = self.loop.now() + self._parser.idle_s * IDLE_SHARE
        self.loop.run_guarded(self.on_idle, self)

    def _fail(self, fault: AnswerFault, detail: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._is_unreachable = fault is AnswerFault.UNREACHABLE and not self._connected
        self._cancel_timer()
        self._stop_writing()
        if self._reader is not None:
            self._reader.close()
            self._reader = None
        if self._socket is not None:
            self._close_socket()
        self._parser.close()
        self._unsent = NOTHING
        self._held_request.set(0)
        self._held_rest.set(0)
        self.loop.run_guarded(self.on_closed, self, detail)
        if fault is AnswerFault.LOST and not self._sent:
            fault = AnswerFault.UNREACHABLE
        parser = self._parser
        self._finish(
            ReplicaAnswer(
                0,
                [],
                b"",
                fault,
                detail,
                rate_limit=parser.rate_limit,
                is_leaving=parser.is_leaving,
                retry_after=parser.retry_after,
            )
        )

    def _close_socket(self) -> None:
        with contextlib.suppress(OSError):
            if self._on_answer is not None:
                # A reset also discards what a partition holds up, so that the replica
                # does not get the request after its caller has given up.
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            self._socket.close()

    def _stop_writing(self) -> None:
        if self._writer is not None:
            self.loop.unwatch(self._writer)
            self._writer = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
