"""What the callers of a simulated fleet got."""

from collections.abc import Sequence
from typing import NamedTuple

from ._fleet import QueryRecord


class FleetSummary(NamedTuple):
    """Counts and shares of queries; latencies are in milliseconds.

    ``credit`` is the mean over all queries of the square of the coverage of those that
    were answered in time, and 0 for the others.
    """

    queries: int
    in_time: int
    late: int
    failed: int
    credit: float
    p50_ms: float
    p99_ms: float

    def describe(self) -> str:
        """Return one line for a terminal."""
        return (
            f"{self.queries} queries: {self.in_time} in time, {self.late} late, "
            f"{self.failed} failed; credit {self.credit:.3f}; "
            f"p50 {self.p50_ms:.1f} ms, p99 {self.p99_ms:.1f} ms"
        )


def summarize(records: Sequence[QueryRecord], target_s: float) -> FleetSummary:
    """Return what the callers got; an answer is in time within ``target_s``."""
    served = [record for record in records if record.status == 200]
    in_time = [record for record in served if record.latency_s <= target_s]
    latencies = sorted(record.latency_s * 1000.0 for record in records)
    count = max(1, len(records))
    return FleetSummary(
        len(records),
        len(in_time),
        len(served) - len(in_time),
        len(records) - len(served),
        sum(record.coverage**2 for record in in_time) / count,
        latencies[len(latencies) // 2] if latencies else 0.0,
        latencies[int(0.99 * len(latencies))] if latencies else 0.0,
    )
