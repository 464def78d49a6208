"""Non-idempotent requests, which run at most once.

Only the process that issued the id of a request executes it. Other processes forward
the request to that one.
"""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from eventlet.event import Event

from cicadalever.once import Begun, Finished, InProgress, OnceTable, RequestId
from cicadalever.outcomes import Failure, FailureCode, Outcome
from cicadalever.transport import OnceAnswer, RunOnce

from ._answer import QueryAnswer
from ._coordinator import QueryCoordinator, ValidatedRequest


class OnceResult(NamedTuple):
    """HTTP status and JSON body of an answer, as sent to the caller and stored."""

    status: int
    body: bytes


class OnceService:
    """Executes or forwards non-idempotent requests.

    ``encode`` turns a request id, an answer and the elapsed seconds into a result.
    ``address_of`` returns the peer address of the live process with the given host id
    and incarnation, or None.
    """

    def __init__(
        self,
        table: OnceTable,
        coordinator: QueryCoordinator,
        send: Callable[[str, Any], Failure | None],
        address_of: Callable[[str, int], str | None],
        self_address: str,
        encode: Callable[[str, QueryAnswer, float], OnceResult],
    ):
        self.table = table
        self.coordinator = coordinator
        self.send = send
        self.address_of = address_of
        self.self_address = self_address
        self.encode = encode
        self._completion_events: dict[RequestId, Event] = {}
        self._answer_events: dict[str, Event] = {}

    @property
    def running(self) -> int:
        """Number of requests that this process executes now."""
        return len(self._completion_events)

    def is_issued_here(self, request_id: RequestId) -> bool:
        """Tell whether this process issued ``request_id``."""
        return (request_id.host, request_id.incarnation) == (
            self.table.host_id,
            self.table.incarnation,
        )

    def execute(self, request_id: RequestId, request: ValidatedRequest) -> OnceResult:
        """Run a request whose id this process issued, or return its stored result.

        A copy of a running request waits for the result until the copy's own deadline.
        The deadline is not part of the digest, so copies of a request may differ in it.
        """
        started_at = time.monotonic()
        digest = request.fingerprint.to_bytes(8, "big") + bytes([request.rank])
        begin_result = self.table.begin(request_id, digest, started_at)
        if isinstance(begin_result, Begun):
            return self._run(request_id, request, started_at)
        if isinstance(begin_result, Finished):
            return begin_result.result
        if isinstance(begin_result, InProgress):
            return self._wait_for_result(request_id, request, started_at)
        outcome = Outcome.INVALID
        if begin_result.code in (FailureCode.UNKNOWN, FailureCode.EXPIRED):
            outcome = Outcome.UNKNOWN
        return self._failed_result(request_id, outcome, begin_result, started_at)

    def forward(
        self, request_id: RequestId, body: bytes, deadline: float
    ) -> OnceResult:
        """Send a request to the process that issued its id and return the answer.

        ``deadline`` is a time of ``time.monotonic`` in seconds. The outcome is unknown
        if that process cannot be reached or does not answer in time.
        """
        started_at = time.monotonic()
        address = self.address_of(request_id.host, request_id.incarnation)
        if address is None:
            reason = "the process that issued this id is gone or cannot be reached"
            return self._unknown_result(request_id, reason, started_at)
        token = f"{request_id}#{self.table.incarnation:x}-{time.monotonic_ns():x}"
        event = self._answer_events[token] = Event()
        message = RunOnce(
            self.self_address,
            token,
            str(request_id),
            time.time() + deadline - started_at,
            body,
        )
        try:
            if self.send(address, message) is not None:
                reason = "the process that issued this id cannot be reached"
                return self._unknown_result(request_id, reason, started_at)
            answer = event.wait(timeout=max(deadline - started_at, 0.001))
        finally:
            self._answer_events.pop(token, None)
        if answer is None:
            reason = "no answer from the process that issued this id"
            return self._unknown_result(request_id, reason, started_at)
        return OnceResult(answer.status, answer.body)

    def receive_answer(self, message: OnceAnswer) -> None:
        """Pass the answer to a forwarded request to the call of ``forward``."""
        event = self._answer_events.pop(message.token, None)
        if event is not None:
            event.send(message)

    def _run(
        self, request_id: RequestId, request: ValidatedRequest, started_at: float
    ) -> OnceResult:
        event = self._completion_events[request_id] = Event()
        answer = QueryAnswer(
            Outcome.UNKNOWN,
            failure=Failure(FailureCode.UNKNOWN, "the execution was interrupted"),
        )
        try:
            answer = self.coordinator.execute(request, _always_connected)
        finally:
            result = self.encode(str(request_id), answer, time.monotonic() - started_at)
            # A "not run" answer is stored as the result of its id. If a copy of the
            # request could still run later, a caller that was told "not run" and sent
            # the request again under a new id would have it run twice.
            if answer.outcome is Outcome.INVALID:
                self.table.abandon(request_id, time.monotonic())
            else:
                self.table.finish(request_id, result, time.monotonic())
            del self._completion_events[request_id]
            event.send(result)
        return result

    def _wait_for_result(
        self, request_id: RequestId, request: ValidatedRequest, started_at: float
    ) -> OnceResult:
        event = self._completion_events.get(request_id)
        timeout_s = max(request.deadline - started_at, 0.001)
        result = event.wait(timeout=timeout_s) if event else None
        if result is None:
            return self._unknown_result(
                request_id, "the request still runs", started_at
            )
        return result

    def _unknown_result(
        self, request_id: RequestId, reason: str, started_at: float
    ) -> OnceResult:
        failure = Failure(FailureCode.UNKNOWN, reason)
        return self._failed_result(request_id, Outcome.UNKNOWN, failure, started_at)

    def _failed_result(
        self,
        request_id: RequestId,
        outcome: Outcome,
        failure: Failure,
        started_at: float,
    ) -> OnceResult:
        answer = QueryAnswer(outcome, failure=failure)
        return self.encode(str(request_id), answer, time.monotonic() - started_at)


def _always_connected() -> bool:
    """Return True: a non-idempotent request continues when its caller disconnects."""
    return True
