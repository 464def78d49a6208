"""What the two kinds of calls have in common."""

from collections.abc import Callable

from cicadalever.routing import Route, RoutingTable
from cicadalever.wire import CallerRequest, CallerResponse

from ._reads import OutboundRequest, Read, ReadRunner

# Time left before the deadline at which the final answer is sent, so that it arrives.
DEADLINE_MARGIN_S = 0.006
# Time after which a caller should come back when nothing has room or is known yet.
RETRY_AFTER_S = 0.25


class Call:
    """One request of a caller on its way through the gateway.

    ``on_end`` gets the response and the fields of the log line; it is called once,
    unless the call was cancelled.
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
        self._reads: dict[Read, int] = {}
        self._timer = None

    @property
    def give_up_at(self) -> float:
        """Steady time at which the caller gets a final answer."""
        return self.outbound.deadline - DEADLINE_MARGIN_S

    def cancel(self) -> None:
        """Give the call up because the caller has left."""
        if not self.is_ended:
            self._close("caller left")
            self._log_end("cancelled", {})

    def _end(self, response: CallerResponse, end: str, **fields) -> None:
        if self.is_ended:
            return
        self._close("no longer needed")
        self._log_end(end, fields, response.status)
        self.on_end(response, fields)

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

    def _close(self, detail: str) -> None:
        self.is_ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for read in self._reads:
            self.runner.abandon(read, detail)
        self._reads.clear()

    def _set_timer(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        raise NotImplementedError


def error_response(status: int, retry_after_s: float | None = None) -> CallerResponse:
    """Return a response without a body."""
    if retry_after_s is None:
        return CallerResponse(status, [])
    return CallerResponse(status, [(b"Retry-After", b"%.3f" % retry_after_s)])
