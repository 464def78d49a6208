"""One persistent HTTP connection to an upstream."""

import contextlib
import http.client
import socket
import time
from typing import NamedTuple

import eventlet
import msgspec
import urllib3

from cicadalever.budgets import HeldBytes, HeldKind, MemoryBudget
from cicadalever.http_client import (
    MAX_LINE_BYTES,
    AnswerTooLargeError,
    CompleteHeadConnection,
)
from cicadalever.outcomes import Failure, FailureCode

CONNECT_TIMEOUT_S = 1.0
# Most bytes of the body of an answer.
DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
# The body of an answer is read in pieces, since those can be freed while a green thread
# waits for the rest.
PIECE_BYTES = 64 * 1024
# The upstream enforces the deadline too; with this margin its answer arrives first.
DEADLINE_MARGIN_S = 0.05
CANCEL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.25
STATE_READY = "ready"

_HEADER_NOT_RUN = "X-Not-Run"
_NOT_RUN_CODES = {
    "shed": FailureCode.SHED,
    "draining": FailureCode.DRAINING,
    "cold": FailureCode.UNAVAILABLE,
    "deadline": FailureCode.DEADLINE,
    "snapshot": FailureCode.SNAPSHOT_GONE,
    "cancelled": FailureCode.CANCELLED,
}
_LIBRARY_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


class _Health(msgspec.Struct):
    state: str


class AnswerDroppedError(http.client.HTTPException):
    """An answer was dropped, since the process held too many bytes of answers."""


class UpstreamCall(NamedTuple):
    """One request to an upstream; ``remaining_s`` is the time to its deadline."""

    operation: str
    request_id: str
    shard: str
    snapshot: int
    parameters: bytes
    remaining_s: float


class UpstreamAnswer(NamedTuple):
    """A successful answer: the JSON rows and the snapshot they were read from.

    ``draining`` tells whether the upstream reported that it is draining.
    """

    rows: bytes
    snapshot: int
    draining: bool


class UpstreamConnection:
    """A connection that is opened by the first call and kept open.

    Failures tell whether the request can have run: ``unreachable`` says that it was
    never sent; ``lost`` and ``timeout`` say that it may have run. An answer whose body
    exceeds ``max_answer_bytes`` by more than a head may have is ``unknown``: the
    upstream has not crashed, so that nothing accuses the request. The same holds for
    an answer that ``memory``, the budget of the process for unfinished answers, drops.
    """

    def __init__(
        self,
        address: str,
        *,
        source_ip: str | None = None,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
        memory: MemoryBudget | None = None,
    ):
        self.address = address
        self.source_ip = source_ip
        self.max_answer_bytes = max_answer_bytes
        self.memory = memory
        self._connection: CompleteHeadConnection | None = None
        # Socket of the request that runs. The library takes it from its connection
        # if the answer is the last one.
        self._socket: socket.socket | None = None
        self._is_aborted = False
        self._held: HeldBytes | None = None
        self._is_dropped = False
        self._pieces: list[bytes] = []

    @property
    def is_open(self) -> bool:
        """Whether the connection was opened and not closed by this host since."""
        return self._connection is not None

    def call(self, call: UpstreamCall) -> UpstreamAnswer | Failure:
        """Send one request and wait for its answer, unless its deadline passed."""
        deadline = time.monotonic() + call.remaining_s
        if self._connection is not None and self._is_closed_by_upstream():
            # A request on a connection that the upstream has closed would fail as
            # ``lost``, although it cannot have run.
            self.close()
        if self._connection is None:
            failure = self._connect(call.remaining_s)
            if failure is not None:
                return failure
        call = call._replace(remaining_s=deadline - time.monotonic())
        timeout_s = max(call.remaining_s, 0) + DEADLINE_MARGIN_S
        self._socket = self._connection.sock
        self._socket.settimeout(timeout_s)
        try:
            self._put_head(call)
        except ValueError as error:
            # The connection holds a part of this head, so no other request may use it.
            self.close()
            self._release()
            return Failure(FailureCode.INVALID, f"request head: {error}")
        # The time-out of the socket starts anew with each piece of an answer.
        total = eventlet.Timeout(timeout_s, TimeoutError())
        try:
            # The process may have been paused since the remaining time was computed.
            # The upstream would count that time from the end of the pause.
            if time.monotonic() >= deadline:
                self.close()
                reason = "the deadline passed before the call"
                return Failure(FailureCode.DEADLINE, reason)
            self._connection.endheaders(call.parameters)
            # Calls the base class: the method of urllib3 takes twice as long, and a
            # short answer needs nothing that it adds.
            response = http.client.HTTPConnection.getresponse(self._connection)
            body = self._read_body(response)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            self.close()
            return Failure(FailureCode.TIMEOUT, f"no answer from {self.address}")
        except (AnswerTooLargeError, AnswerDroppedError) as error:
            self.close()
            return Failure(FailureCode.UNKNOWN, f"{self.address}: {error}")
        except _LIBRARY_ERRORS as error:
            self.close()
            return Failure(FailureCode.LOST, f"{self.address}: {error}")
        finally:
            total.cancel()
            self._release()
        if response.will_close:
            self.close()
        return _read_response(response, body, self.address)

    def probe(self) -> str | None:
        """Return the state from the health endpoint, or None without a valid answer.

        It has 0.25 s to connect, if the connection is not open, and 0.25 s for the
        whole answer.
        """
        if self._connection is None and self._connect(PROBE_TIMEOUT_S) is not None:
            return None
        try:
            body = self._ask("GET", "/v1/health", PROBE_TIMEOUT_S)
            return msgspec.json.decode(body, type=_Health).state
        except (*_LIBRARY_ERRORS, msgspec.MsgspecError):
            self.close()
            return None

    def cancel(self, request_id: str) -> None:
        """Ask the upstream to stop a request; failures are ignored.

        It has 1 s to connect, if the connection is not open, and 1 s for the whole
        answer.
        """
        if self._connection is None and self._connect(CANCEL_TIMEOUT_S) is not None:
            return
        try:
            self._ask("DELETE", f"/v1/requests/{request_id}", CANCEL_TIMEOUT_S)
        except _LIBRARY_ERRORS:
            self.close()

    def abort(self) -> None:
        """Make a call of another green thread fail as ``lost``."""
        if self._socket is not None:
            self._is_aborted = True
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _ask(self, method: str, path: str, timeout_s: float) -> bytes:
        """Return the body of an answer; raise one of ``_LIBRARY_ERRORS`` without it."""
        self._connection.timeout = timeout_s
        # The time-out of the socket starts anew with each piece of an answer.
        total = eventlet.Timeout(timeout_s, TimeoutError())
        try:
            self._connection.request(method, path)
            self._socket = self._connection.sock
            body = self._connection.getresponse().data
        finally:
            total.cancel()
            self._release()
        if self._connection.sock is None:
            # The upstream closes the connection after this answer.
            self.close()
        return body

    def _connect(self, remaining_s: float) -> Failure | None:
        host, _, port = self.address.rpartition(":")
        source = (self.source_ip, 0) if self.source_ip else None
        connection = CompleteHeadConnection(
            host,
            int(port),
            timeout=min(CONNECT_TIMEOUT_S, max(remaining_s, 0.001)),
            source_address=source,
            max_answer_bytes=self.max_answer_bytes + MAX_LINE_BYTES,
            end_turn=eventlet.sleep,
            on_received=self._hold,
        )
        try:
            connection.connect()
        except _LIBRARY_ERRORS as error:
            connection.close()
            return Failure(FailureCode.UNREACHABLE, f"connect {self.address}: {error}")
        self._connection = connection
        return None

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        if (response.length or 0) > self.max_answer_bytes + MAX_LINE_BYTES:
            raise AnswerTooLargeError(f"answer announces {response.length} bytes")
        while piece := response.read(PIECE_BYTES):
            self._pieces.append(piece)
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        if self._is_aborted:
            # An answer without a length ends with its stream.
            raise http.client.IncompleteRead(b"")
        return b"".join(self._pieces)

    def _hold(self, size: int) -> None:
        """Report the bytes of an answer; raise ``AnswerDroppedError`` if it must go."""
        if self.memory is None:
            return
        if self._held is None:
            self._held = HeldBytes(self.memory, HeldKind.ANSWER, self._drop)
        if not self._is_dropped:
            self._held.set(size)
        if self._is_dropped:
            raise AnswerDroppedError("too many bytes of answers are held")

    def _drop(self) -> None:
        self._is_dropped = True
        self._pieces.clear()
        # Wakes up the green thread that waits for the rest of the answer.
        self.abort()

    def _release(self) -> None:
        if self._held is not None:
            self._held.set(0)
        self._held = None
        self._socket = None
        self._is_aborted = False
        self._is_dropped = False
        self._pieces.clear()

    def _is_closed_by_upstream(self) -> bool:
        raw = self._connection.sock
        raw.setblocking(False)
        try:
            return raw.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            raw.setblocking(True)

    def _put_head(self, call: UpstreamCall) -> None:
        """Buffer the head of a request; nothing is sent yet."""
        connection = self._connection
        remaining_ms = max(1, int(call.remaining_s * 1000))
        connection.putrequest(
            "POST", f"/v1/{call.operation}", skip_accept_encoding=True
        )
        connection.putheader("Content-Type", "application/json")
        connection.putheader("Content-Length", str(len(call.parameters)))
        connection.putheader("X-Request-Id", call.request_id)
        connection.putheader("X-Shard", call.shard)
        connection.putheader("X-Snapshot", str(call.snapshot))
        connection.putheader("X-Deadline-Ms", str(remaining_ms))


def _read_response(response, body: bytes, address: str) -> UpstreamAnswer | Failure:
    if response.status == 200:
        try:
            snapshot = int(response.headers.get("X-Snapshot", ""))
        except ValueError:
            return Failure(FailureCode.UNKNOWN, f"{address}: no X-Snapshot in answer")
        return UpstreamAnswer(body, snapshot, response.headers.get("X-Draining") == "1")
    code = _NOT_RUN_CODES.get(response.headers.get(_HEADER_NOT_RUN, ""))
    if code is None:
        return Failure(FailureCode.UNKNOWN, f"{address}: status {response.status}")
    return Failure(code, f"{address}: {code}")
