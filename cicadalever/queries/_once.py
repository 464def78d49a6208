"""Non-idempotent requests: only the process that issued an id executes it."""

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
    """An answer in the form in which it is sent to the caller and kept."""

    status: int
    body: bytes


class OnceService:
    """Executes or forwards non-idempotent requests.

    ``encode`` turns an answer into a result. ``address_of`` returns the peer address
    of the live process with the given host id and incarnation, or None.
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
        self._finished: dict[RequestId, Event] = {}
        self._forwarded: dict[str, Event] = {}

    @property
    def running(self) -> int:
        """Number of requests that this process executes now."""
        return len(self._finished)

    def is_issued_here(self, request_id: RequestId) -> bool:
        """Tell whether this process issued ``request_id``."""
        return (request_id.host, request_id.incarnation) == (
            self.table.host_id,
            self.table.incarnation,
        )

    def execute(self, request_id: RequestId, work: ValidatedRequest) -> OnceResult:
        """Run a request whose id this process issued, or give its known result.

        Copies of a request may differ in the time that is left to their deadline.
        """
        started = time.monotonic()
        digest = work.fingerprint.to_bytes(8, "big") + bytes([work.rank])
        begun = self.table.begin(request_id, digest, started)
        if isinstance(begun, Begun):
            return self._run(request_id, work, started)
        if isinstance(begun, Finished):
            return begun.result
        if isinstance(begun, InProgress):
            return self._wait(request_id, work, started)
        outcome = Outcome.INVALID
        if begun.code in (FailureCode.UNKNOWN, FailureCode.EXPIRED):
            outcome = Outcome.UNKNOWN
        return self._failed(request_id, outcome, begun, started)

    def forward(
        self, request_id: RequestId, body: bytes, deadline: float
    ) -> OnceResult:
        """Send a request to the process that issued its id and wait for the answer."""
        started = time.monotonic()
        address = self.address_of(request_id.host, request_id.incarnation)
        if address is None:
            reason = "the process that issued this id is gone or cannot be reached"
            return self._unknown(request_id, reason, started)
        token = f"{request_id}#{self.table.incarnation:x}-{time.monotonic_ns():x}"
        event = self._forwarded[token] = Event()
        message = RunOnce(
            self.self_address,
            token,
            str(request_id),
            time.time() + deadline - started,
            body,
        )
        try:
            if self.send(address, message) is not None:
                reason = "the process that issued this id cannot be reached"
                return self._unknown(request_id, reason, started)
            answer = event.wait(timeout=max(deadline - started, 0.001))
        finally:
            self._forwarded.pop(token, None)
        if answer is None:
            reason = "no answer from the process that issued this id"
            return self._unknown(request_id, reason, started)
        return OnceResult(answer.status, answer.body)

    def receive_answer(self, message: OnceAnswer) -> None:
        """Hand the answer to a forwarded request to its waiting caller."""
        event = self._forwarded.pop(message.token, None)
        if event is not None:
            event.send(message)

    def _run(
        self, request_id: RequestId, work: ValidatedRequest, started: float
    ) -> OnceResult:
        event = self._finished[request_id] = Event()
        answer = QueryAnswer(
            Outcome.UNKNOWN,
            failure=Failure(FailureCode.UNKNOWN, "the execution was interrupted"),
        )
        try:
            answer = self.coordinator.execute(work, _always_connected)
        finally:
            result = self.encode(str(request_id), answer, time.monotonic() - started)
            # A refusal stays the verdict on its id. If a copy could run later, a caller
            # who was told "not run" and asked again under a new id would run twice.
            if answer.outcome is Outcome.INVALID:
                self.table.abandon(request_id, time.monotonic())
            else:
                self.table.finish(request_id, result, time.monotonic())
            del self._finished[request_id]
            event.send(result)
        return result

    def _wait(
        self, request_id: RequestId, work: ValidatedRequest, started: float
    ) -> OnceResult:
        event = self._finished.get(request_id)
        timeout_s = max(work.deadline - started, 0.001)
        result = event.wait(timeout=timeout_s) if event else None
        if result is None:
            return self._unknown(request_id, "the request still runs", started)
        return result

    def _unknown(
        self, request_id: RequestId, reason: str, started: float
    ) -> OnceResult:
        failure = Failure(FailureCode.UNKNOWN, reason)
        return self._failed(request_id, Outcome.UNKNOWN, failure, started)

    def _failed(
        self,
        request_id: RequestId,
        outcome: Outcome,
        failure: Failure,
        started: float,
    ) -> OnceResult:
        answer = QueryAnswer(outcome, failure=failure)
        return self.encode(str(request_id), answer, time.monotonic() - started)


def _always_connected() -> bool:
    """Return True: a non-idempotent request runs on after its caller has gone."""
    return True
