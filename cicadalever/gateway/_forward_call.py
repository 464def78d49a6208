"""Call that forwards a request to one replica of one service."""

from functools import partial

from cicadalever.crashes import CANARY_CHECK_S, AdmissionKind
from cicadalever.wire import CallerResponse, is_hop_by_hop

from ._answers import NOT_RUN_KINDS, NOT_RUN_STATUSES, AnswerKind
from ._call import Call, error_response
from ._reads import Read, ReadResult

# An idempotent request without an answer after this share of the route's target latency
# is also sent to a second replica. Almost all answers arrive earlier, and the second
# replica can still answer within the target.
HEDGE_TARGET_SHARE = 0.35


class ForwardCall(Call):
    """Sends the request to one replica, and on a failure or hedge to another one.

    A request that is not idempotent is sent again only if it certainly has not run.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._attempts = 0

    @property
    def attempts(self) -> list[int]:
        """Number of replicas that may have got the request."""
        return [self._attempts]

    def start(self, service: str, attempts: int = 0) -> None:
        """Send the request to a replica of ``service``.

        ``attempts`` replicas may have got it from other hosts.
        """
        self._service = service
        self._tried: set[str] = set()
        self._attempts = attempts
        self._has_hedged = False
        self._has_started = False
        self._last_result: ReadResult | None = None
        # Result of a read that ends before ``ReadRunner.start`` returns.
        self._synchronous_result: ReadResult | None = None
        # Whether a canary read was lost, after which no other one is sent.
        self._has_lost_canary = False
        hedge_s = HEDGE_TARGET_SHARE * self.route.target_latency_s
        self._hedge_at = self.request.received_at + hedge_s
        self.runner.retry_budget.earn(service)
        self._start_admitted()

    def _start_admitted(self) -> None:
        """Send the first read as soon as the request may be sent to replicas."""
        admission = self._admit()
        if admission.kind is AdmissionKind.REFUSED:
            self._end_crashing(admission)
            return
        if admission.kind is AdmissionKind.WAIT:
            self._set_timer(self.loop.now() + CANARY_CHECK_S)
            return
        if admission.kind is AdmissionKind.CANARY:
            self._begin_canary()
        self._has_started = True
        if not self._send():
            self._refuse("no_replica", {"service": self._service})
            return
        self._schedule()

    def _send(self) -> bool:
        if self.is_ended:
            return False
        replica = self.runner.choose_replica(self._service, self.route, self._tried)
        if replica is None:
            return False
        self._tried.add(replica.id)
        self._attempts += 1
        if self._attempts > 1 and self.on_extra_attempt is not None:
            self.on_extra_attempt()
        read = self.runner.start(
            replica,
            self.outbound,
            self.route,
            self.table,
            partial(self.run_or_abort, self._on_read_end),
            is_canary=self._admit().kind is not AdmissionKind.FREE,
        )
        if read.on_end is not None:
            self._reads[read] = 0
        else:
            self._handle_result(self._synchronous_result)
        return True

    def hand_over_unanswered(self, lost_since: float, *, is_cut_off: bool) -> None:
        """Let another host process an idempotent request without an answer."""
        lost = sum(read.started_at >= lost_since for read in self._reads)
        attempts = self._attempts - lost
        if is_cut_off and self.route.idempotent and attempts < self.route.max_attempts:
            self._try_hand_over([attempts])

    def _may_hand_over(self, last: ReadResult) -> bool:
        """Return whether another host may send the request after the last read."""
        if last.kind is AnswerKind.NOT_SENT:
            return True
        is_lost = last.kind is AnswerKind.UNKNOWN and self.route.idempotent
        has_attempts = self._attempts < self.route.max_attempts
        return is_lost and has_attempts and not self._has_lost_canary

    def _on_read_end(self, read: Read, result: ReadResult) -> None:
        if self._reads.pop(read, None) is None:
            self._synchronous_result = result
            return
        self._handle_result(result)

    def _handle_result(self, result: ReadResult) -> None:
        if self.is_ended:
            return
        self._observe(result)
        self._has_lost_canary |= result.is_lost and result.is_canary
        kind = result.kind
        if kind is AnswerKind.SUCCESS:
            self._respond(result)
            return
        # A read that did not run does not count as an attempt.
        is_not_run = kind in NOT_RUN_KINDS
        if is_not_run:
            self._attempts -= 1
        if self._last_result is None or not is_not_run:
            self._last_result = result
        if kind is AnswerKind.FAILURE and result.answer.status < 500:
            self._respond(result)
            return
        if self._reads:
            return
        may_repeat = is_not_run or self.route.idempotent
        if may_repeat and self._send_again(kind, "retry"):
            return
        self._end_with_failure()

    def _send_again(self, kind: AnswerKind | None, cause: str) -> bool:
        """Send the request to another replica, if attempts and retry budget remain.

        Return whether a read was started. ``kind`` is the result of the failed read, or
        None for a hedge. A read that was never sent is replaced without using the
        budget.
        """
        has_attempts = self._attempts < self.route.max_attempts
        if not self._may_send_again(cause):
            return False
        if not has_attempts or not self.runner.can_read(
            self._service, self.route, self._tried, is_hedge=cause == "hedge"
        ):
            return False
        if kind is not AnswerKind.NOT_SENT:
            if not self.runner.try_spend(self._service):
                return False
            self.runner.metrics.extra_read(cause)
        if cause == "hedge":
            self.hedges += 1
        else:
            self.retries += 1
        return self._send()

    def _may_send_again(self, cause: str) -> bool:
        """Return whether a request that may crash replicas gets another read.

        It gets no second one while the first is in progress.
        """
        if self._has_lost_canary:
            return False
        kind = self._admit().kind
        return kind is AdmissionKind.FREE or (
            kind is AdmissionKind.CANARY and cause != "hedge"
        )

    def _on_timer(self) -> None:
        now = self.loop.now()
        if now >= self.give_up_at:
            self._end(error_response(504), "timed_out", service=self._service)
            return
        if not self._has_started:
            self._start_admitted()
            return
        if not self._has_hedged and now >= self._hedge_at:
            self._has_hedged = True
            self._send_again(None, "hedge")
        if not self.is_ended:
            self._schedule()

    def _schedule(self) -> None:
        if self.is_ended:
            return
        when = self.give_up_at
        if self.route.idempotent and not self._has_hedged:
            when = min(when, self._hedge_at)
        else:
            self._has_hedged = True
        self._set_timer(when)

    def _respond(self, result: ReadResult) -> None:
        answer = result.answer
        if answer.status in NOT_RUN_STATUSES:
            self._end(
                error_response(502),
                "outcome_unknown",
                service=self._service,
                replica=result.replica.id,
                detail=answer.status,
            )
            return
        headers = [header for header in answer.headers if not is_hop_by_hop(header[0])]
        response = CallerResponse(answer.status, headers, answer.body)
        self._end(
            response,
            "answered",
            service=self._service,
            replica=result.replica.id,
            attempts=len(self._tried),
        )

    def _refuse(self, end: str, fields: dict) -> None:
        """Refuse the request; ``end`` says why unless its replicas may not be read."""
        refusal = self.runner.find_refusal([self._service], self.route)
        if refusal is not None:
            end = refusal.reason
        self._end(self._refusal(refusal), end, **fields)

    def _end_with_failure(self) -> None:
        last = self._last_result
        fields = {"service": self._service, "attempts": len(self._tried)}
        if last.kind is AnswerKind.FAILURE:
            self._respond(last)
        elif self._may_hand_over(last) and self._try_hand_over(self.attempts):
            return
        elif last.kind in NOT_RUN_KINDS:
            self._refuse("not_run", fields)
        else:
            detail = last.answer.detail
            self._end(error_response(502), "outcome_unknown", detail=detail, **fields)
