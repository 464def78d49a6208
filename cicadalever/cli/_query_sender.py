"""Sends a query, and sends it again when that is safe and requested."""

import math
import time
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

from cicadalever.outcomes import Outcome

from ._client import Client, NoReply, Reply
from ._exit import OUTCOME_CODES, ExitCode

# Used when no ``retry_after_s`` was received, as from a host that cannot be reached.
DEFAULT_RETRY_DELAY_S = 1.0
# Bounds on a received ``retry_after_s``: they prevent a busy loop and a wait that
# looks like a hang.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 60.0


class SendPlan(NamedTuple):
    """How to send a request.

    ``entry`` is the entry address of a host. ``body`` lacks the id. A request with
    ``once`` must run at most once; it is sent with ``request_id``, the id of an earlier
    attempt, or with a new id of the host. Without ``wait`` there is one attempt; with
    it, no attempt begins ``give_up_s`` seconds or more after the first.
    """

    entry: str
    body: dict[str, Any]
    once: bool = False
    request_id: str | None = None
    wait: bool = False
    give_up_s: float = 3600.0


class QuerySender:
    """Sends one query according to a ``SendPlan``.

    ``announce_id`` is called with each new id before the request is sent with it, so
    that the operator knows the id even if this process ends. ``notify`` is called with
    messages on the progress. ``clock`` and ``sleep`` use seconds.
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
        """The id of a request that must run at most once, None before it has one."""
        return self._request_id

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of a request that must run at most once may have run."""
        return self._may_have_run

    def send(self) -> Reply | NoReply:
        """Send the request as planned and return the reply to the last attempt."""
        give_up_at = self.clock() + self.plan.give_up_s
        while True:
            reply = self._attempt()
            if not self.plan.wait or not self._should_resend(reply):
                return reply
            delay_s = retry_delay(reply)
            if self.clock() + delay_s >= give_up_at:
                self.notify(f"gave up after {self.plan.give_up_s:g} s")
                return reply
            reason = reply.reason
            self.notify(f"{reply.address}: {reason}; sending again in {delay_s:g} s")
            self.sleep(delay_s)

    def _attempt(self) -> Reply | NoReply:
        if not self.plan.once:
            # This request may run repeatedly, so any unique id will do.
            body = {"id": uuid.uuid4().hex, **self.plan.body}
            return self.client.post(self.plan.entry, "/v1/queries", body)
        if self._request_id is None:
            failure = self._request_new_id()
            if failure is not None:
                return failure
        body = {"id": self._request_id, "idempotent": False, **self.plan.body}
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        reply = self.client.post(self.plan.entry, "/v1/queries", body)
        code = query_exit_code(reply, once=True)
        # An attempt that did not reach the host tells nothing about earlier ones.
        was_sent = code != ExitCode.UNREACHABLE
        self._may_have_run = (
            code == ExitCode.UNKNOWN if was_sent else may_have_run_before
        )
        if code == ExitCode.NOT_RUN and self.plan.request_id is None:
            # A refusal is final for its id, even if the reply to an earlier attempt was
            # lost.
            self._request_id = None
        return reply

    def _request_new_id(self) -> Reply | NoReply | None:
        reply = self.client.post(self.plan.entry, "/v1/ids", {"count": 1})
        if isinstance(reply, NoReply):
            # The request itself was not sent, even if the host issued an id.
            return reply._replace(reason=f"no id: {reply.reason}", sent=False)
        if reply.status >= 500:
            reason = f"no id: {reply.reason}"
            refusal = {**reply.body, "outcome": Outcome.NOT_RUN, "reason": reason}
            refusal.pop("error", None)
            return reply._replace(body=refusal)
        ids = reply.body.get("ids")
        if reply.status != 200:
            return reply
        if not isinstance(ids, list) or not ids or not isinstance(ids[0], str):
            return NoReply(reply.address, "no id in the answer of /v1/ids", False)
        self._request_id = ids[0]
        self.announce_id(ids[0])
        return None

    def _should_resend(self, reply: Reply | NoReply) -> bool:
        # After a lost reply the id is used again. After a refusal a new id is needed,
        # which does not replace an id that the operator gave.
        if isinstance(reply, NoReply):
            return True
        code = query_exit_code(reply, once=self.plan.once)
        if code == ExitCode.NOT_RUN and self.plan.once:
            return self.plan.request_id is None
        return code in (ExitCode.NOT_RUN, ExitCode.UNREACHABLE)


def retry_delay(reply: Reply | NoReply) -> float:
    """Return the delay before the next attempt in seconds."""
    retry_after_s = reply.body.get("retry_after_s") if reply else None
    if isinstance(retry_after_s, bool) or not isinstance(retry_after_s, int | float):
        return DEFAULT_RETRY_DELAY_S
    if math.isnan(retry_after_s):
        return DEFAULT_RETRY_DELAY_S
    return min(max(retry_after_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)


def query_exit_code(reply: Reply | NoReply, *, once: bool) -> ExitCode:
    """Return the exit code for the reply to a query.

    Without a known outcome the request may or may not have run, which matters only if
    it must run at most once.
    """
    if isinstance(reply, NoReply):
        return ExitCode.UNKNOWN if once and reply.sent else ExitCode.UNREACHABLE
    outcome = reply.body.get("outcome")
    if isinstance(outcome, str) and outcome in OUTCOME_CODES:
        return OUTCOME_CODES[Outcome(outcome)]
    if 400 <= reply.status < 500:
        return ExitCode.INVALID
    return ExitCode.UNKNOWN if once else ExitCode.UNREACHABLE
