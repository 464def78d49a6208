"""Sends a caller's request, and sends it again when that is safe and wanted."""

import time
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

from cicadalever.outcomes import Outcome

from ._client import Client, NoReply, Reply
from ._exit import OUTCOME_CODES, ExitCode

# A host that cannot be reached names no time to wait.
DEFAULT_RETRY_DELAY_S = 1.0
# Bounds on the time that a host names: no busy loop, no wait that looks like a hang.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 60.0


class SendPlan(NamedTuple):
    """How to send a request.

    ``body`` lacks the id. ``request_id`` is given when a request is sent again with
    the id of an earlier attempt. Without ``wait`` there is one attempt; with it, no
    attempt begins ``give_up_s`` seconds or more after the first.
    """

    entry: str
    body: dict[str, Any]
    once: bool = False
    request_id: str | None = None
    wait: bool = False
    give_up_s: float = 3600.0


class QuerySender:
    """Runs a ``SendPlan``.

    ``announce_id`` is called with each new id before the request is sent with it, so
    that the operator knows the id even if this process ends.
    """

    def __init__(
        self,
        client: Client,
        plan: SendPlan,
        *,
        announce_id: Callable[[str], None],
        notify: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.client = client
        self.plan = plan
        self.announce_id = announce_id
        self.notify = notify
        self.clock = clock
        self.sleep = sleep
        self._request_id = plan.request_id
        self._may_have_run = False

    @property
    def request_id(self) -> str | None:
        """The id of a request that must run only once, None before it has one."""
        return self._request_id

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt of a request that must run only once may have run."""
        return self._may_have_run

    def send(self) -> Reply | NoReply:
        """Return the answer of the last attempt."""
        end = self.clock() + self.plan.give_up_s
        while True:
            answer = self._attempt()
            if not self.plan.wait or not self._should_resend(answer):
                return answer
            delay = retry_delay(answer)
            if self.clock() + delay >= end:
                self.notify(f"gave up after {self.plan.give_up_s:g} s")
                return answer
            reason = answer.reason
            self.notify(f"{answer.address}: {reason}; sending again in {delay:g} s")
            self.sleep(delay)

    def _attempt(self) -> Reply | NoReply:
        if not self.plan.once:
            # A read may be repeated, so it needs no issued id, only a distinct one.
            body = {"id": uuid.uuid4().hex, **self.plan.body}
            return self.client.post(self.plan.entry, "/v1/queries", body)
        if self._request_id is None:
            failure = self._request_new_id()
            if failure is not None:
                return failure
        body = {"id": self._request_id, "idempotent": False, **self.plan.body}
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        answer = self.client.post(self.plan.entry, "/v1/queries", body)
        code = query_exit_code(answer, once=True)
        # An attempt that did not reach the host says nothing about earlier ones.
        was_sent = code != ExitCode.UNREACHABLE
        self._may_have_run = (
            code == ExitCode.UNKNOWN if was_sent else may_have_run_before
        )
        if code == ExitCode.NOT_RUN and self.plan.request_id is None:
            # The refusal is final for its id, whatever became of earlier answers.
            self._request_id = None
        return answer

    def _request_new_id(self) -> Reply | NoReply | None:
        answer = self.client.post(self.plan.entry, "/v1/ids", {"count": 1})
        if isinstance(answer, NoReply):
            # The request itself was not sent, whatever became of the id.
            return answer._replace(reason=f"no id: {answer.reason}", sent=False)
        if answer.status >= 500:
            reason = f"no id: {answer.reason}"
            refusal = {**answer.body, "outcome": Outcome.NOT_RUN, "reason": reason}
            refusal.pop("error", None)
            return answer._replace(body=refusal)
        ids = answer.body.get("ids")
        if answer.status != 200:
            return answer
        if not isinstance(ids, list) or not ids or not isinstance(ids[0], str):
            return NoReply(answer.address, "no id in the answer of /v1/ids", False)
        self._request_id = ids[0]
        self.announce_id(ids[0])
        return None

    def _should_resend(self, answer: Reply | NoReply) -> bool:
        # After a lost answer the id stays the same. After a refusal it is used up.
        if isinstance(answer, NoReply):
            return True
        code = query_exit_code(answer, once=self.plan.once)
        if code == ExitCode.NOT_RUN and self.plan.once:
            return self.plan.request_id is None
        return code in (ExitCode.NOT_RUN, ExitCode.UNREACHABLE)


def retry_delay(answer: Reply | NoReply) -> float:
    """Return how many seconds to wait before the next attempt."""
    named = answer.body.get("retry_after_s") if answer else None
    if isinstance(named, bool) or not isinstance(named, int | float):
        return DEFAULT_RETRY_DELAY_S
    return min(max(named, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)


def query_exit_code(answer: Reply | NoReply, *, once: bool) -> ExitCode:
    """Return what the answer means to a script.

    An answer without a known outcome leaves open what became of the request, which
    matters only if it must run once.
    """
    if isinstance(answer, NoReply):
        return ExitCode.UNKNOWN if once and answer.sent else ExitCode.UNREACHABLE
    outcome = answer.body.get("outcome")
    if isinstance(outcome, str) and outcome in OUTCOME_CODES:
        return OUTCOME_CODES[Outcome(outcome)]
    if 400 <= answer.status < 500:
        return ExitCode.INVALID
    return ExitCode.UNKNOWN if once else ExitCode.UNREACHABLE
