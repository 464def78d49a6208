"""Log lines and metrics about what had to give way to others."""

from collections import Counter

import eventlet
from loguru import logger

from cicadalever.budgets import Dropped
from cicadalever.metrics import Metrics

# Time over which drops are summed up in one log line, in seconds.
REPORT_PERIOD_S = 1.0


class DropReport:
    """Counts each drop and logs their sums, in one line a period.

    >>> report = DropReport(Metrics())
    >>> report.connection_dropped("caller", "idle")
    >>> report.connection_dropped("caller", "idle")
    >>> report.summary
    'caller idle: 2'
    """

    def __init__(self, metrics: Metrics, *, period_s: float = REPORT_PERIOD_S):
        self.metrics = metrics
        self.period_s = period_s
        self._sums: Counter[str] = Counter()

    @property
    def summary(self) -> str:
        """Number of drops of each kind that are not logged yet."""
        return ", ".join(f"{kind}: {count}" for kind, count in self._sums.items())

    def connection_dropped(self, server: str, cause: str) -> None:
        """Record a connection that ``server`` has closed; see ``DropCause``."""
        self.metrics.connection_dropped(server, cause)
        self._add(f"{server} {cause}")

    def answer_dropped(self, dropped: Dropped) -> None:
        """Record an answer of an upstream that exceeded the budget of memory."""
        self.metrics.answer_dropped()
        self._add(f"{dropped.kind} of an upstream")

    def _add(self, kind: str) -> None:
        if not self._sums:
            eventlet.spawn_after(self.period_s, self._log)
        self._sums[kind] += 1

    def _log(self) -> None:
        logger.warning("dropped to make room, or late: {}", self.summary)
        self._sums.clear()
