"""Base class of the calls, which process one request of a caller each."""

from collections.abc import Callable
from typing import Any

from cicadalever.crashes import Admission
from cicadalever.notices import Incarnation
from cicadalever.refusal import plan_retry_after
from cicadalever.routing import Route, RoutingTable
from cicadalever.wire import CallerRequest, CallerResponse

from ._outbound import OutboundRequest
from ._reads import RECOVERY_S, Read, ReadRefusal, ReadResult, ReadRunner

# The final response is sent this long before the deadline, so that it arrives in time.
DEADLINE_MARGIN_S = 0.006
# A time-out of a peer takes effect this long after it was due. A busy event loop runs
# timers before it reads what has arrived meanwhile; in this time it reads it.
LAST_READ_S = 0.001


class Call:
    """Processing of one request of a caller, from its arrival to the response.

    ``on_end`` is called once with the response and the fields of the log line, or not
    at all if the call was cancelled. Subclasses send reads, collect their results and
    end with ``_end``.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        table: RoutingTable,
        runner: ReadRunner,
        outbound: OutboundRequest,
        on_end: Callable[[CallerResponse, dict], None],
    ):
        self.request = request
        self.route = route
        self.table = table
        self.runner = runner
        self.outbound = outbound
        self.on_end = on_end
        self.loop = runner.loop
        self.hedges = 0
        self.retries = 0
        self.is_ended = False
        # Start times of the canary reads in progress that other hosts were told of.
        self._canaries_at: list[float] = []
        # Replicas that have answered the request and said that they are leaving.
        self.leaving: set[Incarnation] = set()
        # Shards of the reads in progress; 0 for a route without shards.
        self._reads: dict[Read, int] = {}
        self._timer = None
        # Called with ``attempts``, to let another host process the request; returns
        # whether one does. None: it stays here.
        self.hand_over: Callable[[list[int]], bool] | None = None
        # Called after an unexpected error, to end the request.
        self.on_error: Callable[[], None] = _do_nothing
        # Called when a replica beyond the first may have got the request for a shard.
        self.on_extra_attempt: Callable[[], None] | None = None

    @property
    def attempts(self) -> list[int]:
        """Number of replicas that may have got the request, for each shard.

        A request without shards counts as one with a single shard.
        """
        raise NotImplementedError

    @property
    def give_up_at(self) -> float:
        """Monotonic time in seconds at which a final response is sent at the latest."""
        return self.outbound.deadline - DEADLINE_MARGIN_S

    def run_or_abort(self, callback: Callable, *args: Any) -> None:
        """Call ``callback``, and end the request if that fails unexpectedly."""
        if not self.loop.run_guarded(callback, *args):
            self.loop.run_guarded(self.on_error)

    def hand_over_unanswered(self, lost_since: float, *, is_cut_off: bool) -> None:
        """Let another host process the request if no replica has answered it.

        ``is_cut_off`` tells whether this host has certainly lost its upstreams, and
        ``lost_since`` since when connections fail: what was sent later has reached no
        replica. A request that may have run and may not run twice stays.
        """

    def _try_hand_over(self, attempts: list[int]) -> bool:
        """Close the reads and let another host process the request, if one can."""
        if self.is_ended or self.hand_over is None or not self.hand_over(attempts):
            return False
        self._close("handed over")
        self._forget_callbacks()
        return True

    def cancel(self) -> None:
        """Stop the call because the caller has disconnected."""
        if not self.is_ended:
            self._close("caller disconnected")
            self._log_end("cancelled", {})
            self._forget_callbacks()

    def _end(self, response: CallerResponse, end: str, **fields) -> None:
        if self.is_ended:
            return
        self._close("call ended")
        self._log_end(end, fields, response.status)
        self.on_end(response, fields)
        self._forget_callbacks()

    def _forget_callbacks(self) -> None:
        """Break the reference cycles between the call and its callbacks.

        They would keep the request, with its body, until the next collection of cycles,
        which is due after a number of objects and not of bytes.
        """
        self.hand_over = self.on_extra_attempt = None
        self.on_end = _ignore_response
        self.on_error = _do_nothing

    def _refusal(self, refusal: ReadRefusal | None = None) -> CallerResponse:
        """Return the response to a request that has not run and will not run.

        It names the time after which the request can probably be served. The end of a
        pause, or of the refusal of a request that crashes replicas, is known, so that
        it is named also to callers that cannot wait so long.
        """
        time_left_s = self.outbound.deadline - self.loop.now()
        if refusal is not None and refusal.reason in ("paused", "crashes_replicas"):
            time_left_s = float("inf")
        retry_after_s = plan_retry_after(
            RECOVERY_S if refusal is None else refusal.wait_s,
            time_left_s,
            self.route.rank,
            self.runner.selector.rng,
        )
        return error_response(503, retry_after_s)

    def _log_end(self, end: str, fields: dict, status: int | None = None) -> None:
        elapsed_s = self.loop.now() - self.request.received_at
        self.runner.metrics.request_ended(self.route.rank, end, elapsed_s)
        self.runner.events.emit(
            "request_ended",
            id=self.outbound.request_id,
            route=self.route.name,
            version=self.table.version,
            rank=self.route.rank,
            end=end,
            status=status,
            ms=round(elapsed_s * 1000, 1),
            left_ms=round((self.outbound.deadline - self.loop.now()) * 1000),
            hedges=self.hedges,
            retries=self.retries,
            **fields,
        )

    def _observe(self, result: ReadResult) -> None:
        """Record what a replica has said of itself, and the end of a canary read."""
        if result.answer.is_leaving:
            replica = result.replica
            self.leaving.add(Incarnation(replica.id, replica.started_at_ms))
        if result.is_canary:
            self._end_canary()

    def _admit(self) -> Admission:
        """Return whether the request may be sent to replicas now."""
        return self.runner.guard.admit(self.outbound.fingerprint)

    def _begin_canary(self) -> None:
        """Tell other hosts of a read of a request that may crash replicas."""
        started_at = self.runner.guard.begin_canary(self.outbound.fingerprint)
        self._canaries_at.append(started_at)

    def _end_canary(self) -> None:
        """Record the end of one canary read; the count does not tell them apart."""
        if self._canaries_at:
            started_at = self._canaries_at.pop(0)
            self.runner.guard.end_canary(self.outbound.fingerprint, started_at)

    def _end_crashing(self, admission: Admission) -> None:
        """Refuse a request that replicas do not survive."""
        refusal = ReadRefusal("crashes_replicas", admission.wait_s)
        self._end(
            self._refusal(refusal),
            refusal.reason,
            fingerprint=f"{self.outbound.fingerprint:016x}",
        )

    def _close(self, detail: str) -> None:
        self.is_ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._canaries_at:
            self._end_canary()
        for read in self._reads:
            self.runner.abandon(read, detail, _ignore_end)
        self._reads.clear()

    def _set_timer(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(when, self.run_or_abort, self._on_timer)

    def _on_timer(self) -> None:
        raise NotImplementedError


def _ignore_response(response: CallerResponse, fields: dict) -> None:
    """Do nothing: the call has ended before."""


def _do_nothing() -> None:
    """Do nothing after an error, since the request has ended."""


def _ignore_end(read: Read, result: ReadResult) -> None:
    """Do nothing: the runner has recorded whether the replica survived."""


def error_response(status: int, retry_after_s: float | None = None) -> CallerResponse:
    """Return a response without a body; ``retry_after_s`` adds a Retry-After header."""
    if retry_after_s is None:
        return CallerResponse(status, [])
    return CallerResponse(status, [(b"Retry-After", b"%.3f" % retry_after_s)])
