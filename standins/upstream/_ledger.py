"""Record of the runs, refusals and state changes of the upstreams."""

import time
from collections import Counter

RUNNING = "running"
DONE = "done"
CANCELLED = "cancelled"
CLIENT_CLOSED = "client_closed"
DEADLINE = "deadline"
CRASHED = "crashed"
FIELDS = (
    "upstream",
    "request_id",
    "shard",
    "snapshot",
    "operation",
    "arrived",
    "started",
    "finished",
    "outcome",
)
FINISHED_INDEX = FIELDS.index("finished")
OUTCOME_INDEX = FIELDS.index("outcome")


class Ledger:
    """Runs, refusals and events of all upstreams of the process.

    An entry is a list in the order of ``FIELDS``, added when the run starts. Times are
    Unix times in seconds. Once ``capacity`` entries are held, later runs are only
    counted as dropped, which tells readers that the ledger is incomplete.
    """

    def __init__(self, capacity: int = 2_000_000):
        self.capacity = capacity
        self._entries: list[list] = []
        self._events: list[dict] = []
        self._refusals: Counter[tuple[str, str]] = Counter()
        self._dropped = 0

    def start(
        self,
        upstream: str,
        request_id: str,
        shard: str,
        snapshot: int,
        operation: str,
        arrived: float,
    ) -> list:
        """Add the entry of a run that starts now and return it."""
        now = time.time()
        entry = [upstream, request_id, shard, snapshot, operation, arrived, now]
        entry += (None, RUNNING)
        if len(self._entries) < self.capacity:
            self._entries.append(entry)
        else:
            self._dropped += 1
        return entry

    @staticmethod
    def finish(entry: list, outcome: str) -> None:
        """Complete an entry; no effect if it is complete already."""
        if entry[OUTCOME_INDEX] == RUNNING:
            entry[FINISHED_INDEX] = time.time()
            entry[OUTCOME_INDEX] = outcome

    def count_refusal(self, upstream: str, reason: str) -> None:
        """Count a request that was refused, so it did not run."""
        self._refusals[upstream, reason] += 1

    def add_event(self, upstream: str, kind: str) -> None:
        """Record a change of state, such as ``drain`` or ``crash``."""
        event = {"time": time.time(), "upstream": upstream, "kind": kind}
        self._events.append(event)

    def read(self, after: int = 0, limit: int | None = None) -> dict:
        """Return at most ``limit`` entries from index ``after`` on, and all events."""
        stop = len(self._entries) if limit is None else after + limit
        return {
            "fields": FIELDS,
            "entries": self._entries[after:stop],
            "total": len(self._entries),
            "dropped": self._dropped,
            "events": self._events,
        }

    def summarize(self) -> dict:
        """Return counts by outcome, operation, upstream and refusal reason."""
        reasons: Counter[str] = Counter()
        for (_, reason), count in self._refusals.items():
            reasons[reason] += count
        return {
            "total": len(self._entries),
            "dropped": self._dropped,
            "outcomes": Counter(entry[OUTCOME_INDEX] for entry in self._entries),
            "operations": Counter(entry[4] for entry in self._entries),
            "upstreams": Counter(entry[0] for entry in self._entries),
            "refusals": reasons,
            "refusals_by_upstream": self._refusals_by_upstream(),
        }

    def _refusals_by_upstream(self) -> dict[str, dict[str, int]]:
        result: dict[str, dict[str, int]] = {}
        for (upstream, reason), count in self._refusals.items():
            result.setdefault(upstream, {})[reason] = count
        return result
