"""Events and metrics about connections that had to give way to others."""

from collections import Counter

from cicadalever.budgets import DescriptorKind
from cicadalever.wire import EventLoop

from ._events import EventLog
from ._metrics import GatewayMetrics

# Time over which drops are summed up in one event, in seconds.
REPORT_PERIOD_S = 1.0


class DropReport:
    """Counts each drop and logs their sums, by kind and cause."""

    def __init__(self, loop: EventLoop, events: EventLog, metrics: GatewayMetrics):
        self.loop = loop
        self.events = events
        self.metrics = metrics
        self._sums: Counter[tuple[DescriptorKind, str]] = Counter()

    def record(self, kind: DescriptorKind, cause: str) -> None:
        """Record that a connection was dropped; it is logged within a second."""
        self.metrics.connection_dropped(kind, cause)
        if not self._sums:
            self.loop.call_later(REPORT_PERIOD_S, self._emit)
        self._sums[kind, cause] += 1

    def _emit(self) -> None:
        for (kind, cause), count in self._sums.items():
            self.events.emit(
                "connections_dropped", kind=kind, cause=cause, connections=count
            )
        self._sums.clear()
