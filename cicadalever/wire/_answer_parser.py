"""Parsing of the answers on one connection, with bounds, free of sockets."""

from collections.abc import Callable
from functools import lru_cache

import httptools

from cicadalever.budgets import HeldKind, MemoryBudget

from ._body_buffer import BodyBuffer
from ._headers import HeaderNames
from ._message import FIELD_BYTES, AnswerFault, Header, ReplicaAnswer

# Idle timeout of a replica that does not announce one.
DEFAULT_IDLE_S = 30.0
# Most bytes of one exchange that are not the body of its answer: status line, headers,
# trailers, informational responses and answers to other requests.
MAX_OVERHEAD_BYTES = 256 * 1024
# Bytes of framing of a chunk that carries a single byte, as in "1\r\nx\r\n".
FRAMING_PER_BODY_BYTE = 5
# Most header fields of one exchange, and most that are not reported to the budget.
MAX_FIELDS = 2000
MAX_UNREPORTED_FIELDS = 32
# The bounds are checked whenever this many further bytes of an exchange have arrived.
# The positions do not depend on how the stream was cut into segments, so neither does
# the result.
CHECK_INTERVAL_BYTES = 16 * 1024

DROPPED_DETAIL = "dropped: the host holds too much for others"

# Misdirected Request (RFC 9110, section 15.5.20): the answer of another replica.
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
RETRY_AFTER = b"retry-after"
LEAVING = b"1"

OnInterim = Callable[[list[Header]], None]


class AnswerParser:
    """Parses the bytes that arrive on a connection which carries one request at a time.

    An exchange starts with ``begin`` and ends when ``answer`` or ``fault_detail`` is
    set. An answer whose request id is not that of the current request belongs to an
    earlier one: it is skipped, and ``must_close`` is set. Once an earlier exchange has
    used the connection, an answer without an id could belong to either of them, and is
    a fault.

    ``answer`` is the complete answer, ``fault_detail`` says why the bytes are none, and
    ``must_close`` whether the connection cannot be used again. ``idle_s`` is the idle
    timeout that the replica announced, in seconds. ``rate_limit`` is the value of that
    header in the latest head of the exchange, whatever becomes of the rest.
    ``is_leaving`` and ``retry_after`` (see ``ReplicaAnswer``) come from any head of the
    exchange.
    """

    def __init__(self, names: HeaderNames, memory: MemoryBudget):
        self.names = names
        self.memory = memory
        self.answer: ReplicaAnswer | None = None
        self.fault: AnswerFault | None = None
        self.fault_detail: str | None = None
        # Whether the answer was dropped to free memory.
        self.is_dropped = False
        self.must_close = False
        # Messages, header fields and parts of bodies since the connection was opened.
        self.pieces = 0
        self.idle_s = DEFAULT_IDLE_S
        self.rate_limit: bytes | None = None
        self.is_leaving = False
        self.retry_after: bytes | None = None
        self._noted_names = frozenset(
            (
                b"content-length",
                b"transfer-encoding",
                b"keep-alive",
                RETRY_AFTER,
                names.rate_limit,
                names.leaving,
            )
        )
        self._request_id = b""
        self._on_interim: OnInterim | None = None
        self._has_body = True
        self._exchanges = 0
        self._received_bytes = 0
        self._field_count = 0
        self._is_holding = False
        # Called when the answer was dropped to free memory.
        self.on_dropped: Callable[[], None] = lambda: None
        self._is_closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._in_message = False
        self._reset_message()

    def begin(
        self,
        request_id: bytes,
        on_interim: OnInterim | None = None,
        *,
        has_body: bool = True,
    ) -> None:
        """Start to parse the answer to a request.

        An empty ``request_id`` stands for a request that carries none. ``on_interim``
        is called with the headers of each informational response before the answer.
        Without ``has_body``, the answer ends with its head, whatever length that names.
        """
        self.answer = None
        self.rate_limit = self.retry_after = None
        self.is_leaving = False
        self._request_id = request_id
        self._on_interim = on_interim
        self._has_body = has_body
        self._exchanges += 1
        self._received_bytes = 0
        self._field_count = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes; check ``answer`` and ``fault_detail`` afterwards."""
        to_check = CHECK_INTERVAL_BYTES - self._received_bytes % CHECK_INTERVAL_BYTES
        while len(data) >= to_check:
            self._feed_piece(data[:to_check])
            if self.fault_detail is not None:
                return
            if self.answer is None:
                self._check_bounds()
            data = data[to_check:]
            to_check = CHECK_INTERVAL_BYTES
        if data:
            self._feed_piece(data)
        is_unfinished = self.answer is None and self.fault_detail is None
        if self._field_count > MAX_UNREPORTED_FIELDS and is_unfinished:
            self._report()

    def end_of_stream(self) -> None:
        """Complete an answer whose body ends with its connection."""
        is_open_ended = self._headers_done and not self._has_framing
        if self.answer is None and self._in_message and is_open_ended:
            self.must_close = True
            self.on_message_complete()

    def release(self) -> None:
        """Free the memory that is reserved for an unfinished answer."""
        if self._is_holding:
            self._is_holding = False
            self.memory.release(self)

    def forget(self) -> None:
        """Free the answer, which has been passed on."""
        self.answer = None
        self._on_interim = None
        self._reset_message()

    def close(self) -> None:
        """Free all memory; nothing is parsed any more.

        The native parser and this object refer to each other, and would stay until the
        next collection of reference cycles.
        """
        self.release()
        self._is_closed = True
        self._on_interim = None
        self._in_message = False
        self._reset_message()
        self._parser = None

    def _feed_piece(self, data: bytes) -> None:
        if self.fault_detail is not None or self._is_closed:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_closed:
                return
            if self.answer is None:
                self._fail(f"not a response: {error}")
            else:
                self.must_close = True
        if self.answer is not None and self._in_message:
            self.must_close = True

    def _check_bounds(self) -> None:
        max_body_bytes = self.memory.max_holder_bytes
        if len(self._body) > max_body_bytes:
            self._fail_by_size(f"body exceeds {max_body_bytes} bytes")
            return
        overhead_bytes = self._received_bytes - len(self._body)
        max_overhead_bytes = MAX_OVERHEAD_BYTES + FRAMING_PER_BODY_BYTE * len(
            self._body
        )
        if overhead_bytes > max_overhead_bytes:
            self._fail_by_size(f"{overhead_bytes} bytes besides the body of the answer")
            return
        self._report()

    def _report(self) -> None:
        if self._is_closed:
            return
        self._is_holding = True
        size = self._received_bytes + FIELD_BYTES * self._field_count
        self.memory.hold(self, HeldKind.ANSWER, size, self._drop)

    def _drop(self) -> None:
        self._is_holding = False
        self.is_dropped = True
        self._fail(DROPPED_DETAIL)
        self._reset_message()
        self.on_dropped()

    def _fail_by_size(self, detail: str) -> None:
        self._fail(detail, AnswerFault.OVERSIZED)

    def _fail(self, detail: str, fault: AnswerFault = AnswerFault.GARBLED) -> None:
        if self.answer is None and self.fault_detail is None:
            self.fault, self.fault_detail = fault, detail
        self.must_close = True

    # Parser callbacks, named by httptools

    def on_message_begin(self) -> None:
        self.pieces += 1
        self._reset_message()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.pieces += 1
        if self._is_closed:
            return
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            self._fail_by_size(f"more than {MAX_FIELDS} header fields")
        elif not self._headers_done:
            # Trailers are not passed on.
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._is_closed:
            return
        self._headers_done = True
        self._status = self._parser.get_status_code()
        for name, value in self._headers:
            if name in self._noted_names:
                self._note(name, value)
        if not self._parser.should_keep_alive():
            self.must_close = True
        if not self._has_body and self._status >= 200:
            self._complete()

    def _note(self, name: bytes, value: bytes) -> None:
        if name in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        elif name == b"keep-alive":
            self.idle_s = _parse_idle_timeout(value, self.idle_s)
        elif name == self.names.rate_limit:
            self.rate_limit = value
        elif name == self.names.leaving:
            is_own = self._status != STATUS_MISDIRECTED
            self.is_leaving |= is_own and value.strip() == LEAVING
        elif self._status == STATUS_UNAVAILABLE:
            known = self.retry_after
            self.retry_after = value if known is None else b"%s,%s" % (known, value)

    def on_body(self, data: bytes) -> None:
        self.pieces += 1
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._is_closed:
            return
        self._in_message = False
        if self._status < 200:
            if self.answer is None and self._on_interim is not None:
                self._on_interim(self._headers)
            return
        if self.answer is not None:
            self.must_close = True
            return
        self._complete()

    def _complete(self) -> None:
        """Take the message as the answer, unless it belongs to another request."""
        answer = ReplicaAnswer(
            self._status,
            self._headers,
            self._body.join(),
            rate_limit=self.rate_limit,
            is_leaving=self.is_leaving,
            retry_after=self.retry_after,
        )
        answer_id = answer.header(self.names.request_id)
        if answer_id is not None and answer_id != self._request_id:
            # The answer to an earlier request; the expected one may still follow.
            self.must_close = True
        elif answer_id is None and self._request_id and self._exchanges > 1:
            self._fail("answer without a request id on a connection used before")
        elif len(self._body) > self.memory.max_holder_bytes:
            self._fail_by_size(f"body exceeds {self.memory.max_holder_bytes} bytes")
        elif self.fault_detail is None:
            self.answer = answer
            self._body = BodyBuffer()
            self.release()

    def _reset_message(self) -> None:
        self._headers: list[Header] = []
        self._body = BodyBuffer()
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
