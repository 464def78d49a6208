"""Aggregation of decision logs by second, in bounded memory."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

import msgspec
from ddsketch import DDSketch

# Only these lines are decoded; the others are details or belong to no outcome.
_END_MARKS = ('"event":"request_ended"', '"event":"request_refused"')
_STATE_EVENTS = (
    "configuration_in_force",
    "cut_off",
    "draining",
    "platform_back",
    "platform_lost",
    "reconnected",
    "started",
    "stopped",
    "suspended",
)
_STATE_MARKS = tuple(f'"event":"{event}"' for event in _STATE_EVENTS)
# Ids that are kept for each second, to go on from with ``explain``.
MAX_IDS = 5
# Relative accuracy of the latency percentiles.
LATENCY_ACCURACY = 0.01
# Bytes between two calls of ``on_progress``.
PROGRESS_BYTES = 16 * 1024 * 1024


class Outcome(StrEnum):
    """What callers got, from the ``end`` or ``reason`` of a line."""

    WHOLE = "whole"
    PARTIAL = "partial"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"
    LEFT = "caller left"


_OUTCOMES = {
    "complete": Outcome.WHOLE,
    "answered": Outcome.WHOLE,
    "enough_at_target": Outcome.PARTIAL,
    "nothing_left": Outcome.PARTIAL,
    "enough_late": Outcome.LATE,
    "too_few": Outcome.FAILED,
    "timed_out": Outcome.FAILED,
    "outcome_unknown": Outcome.FAILED,
    "no_attempts": Outcome.FAILED,
    "no_budget": Outcome.FAILED,
    "no_memory": Outcome.FAILED,
    "not_run": Outcome.REFUSED,
    "no_replica": Outcome.REFUSED,
    "no_configuration": Outcome.REFUSED,
    "cut_off": Outcome.REFUSED,
    "crashes_replicas": Outcome.REFUSED,
    "cancelled": Outcome.LEFT,
}
# Outcomes that count as bad for the choice of the worst seconds.
BAD_OUTCOMES = (Outcome.LATE, Outcome.FAILED, Outcome.REFUSED)


class _Line(msgspec.Struct):
    """The fields of a log line that the report reads."""

    time: float
    host: str
    event: str
    id: str | int | None = None
    end: str | None = None
    reason: str | None = None
    rank: int | None = None
    ms: float | None = None
    hedges: int = 0
    retries: int = 0
    shards: int = 0
    missing: int = 0
    missing_services: list[str] = []
    is_group: bool = False
    version: int | None = None


class Second:
    """What happened in one second of Unix time."""

    def __init__(self):
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.missing_services: Counter[str] = Counter()
        self.extra_reads = 0
        self.shards = 0
        self.missing_shards = 0
        # Ids of requests with a bad outcome.
        self.ids: list[str] = []

    @property
    def bad(self) -> int:
        """Number of requests that were late, failed or refused."""
        return sum(self.outcomes[outcome] for outcome in BAD_OUTCOMES)


class LogSummary:
    """Aggregates of the logs of some hosts.

    ``latencies`` has a sketch of the latencies in milliseconds for each rank, and
    ``state_events`` the time, host and description of each event that concerns a host
    as a whole. ``damaged`` counts the lines that could not be read, by file.
    """

    def __init__(self):
        self.seconds: dict[int, Second] = {}
        self.latencies: dict[int, DDSketch] = {}
        self.state_events: list[tuple[float, str, str]] = []
        self.damaged: Counter[str] = Counter()
        self.lines = 0

    def worst_seconds(self, count: int = 10) -> list[tuple[int, Second]]:
        """Return the seconds with the most bad outcomes, the worst first."""
        bad = [(time, each) for time, each in self.seconds.items() if each.bad]
        return sorted(bad, key=lambda item: (-item[1].bad, item[0]))[:count]


def summarize_logs(
    logs: Iterable[tuple[str, Iterable[str]]],
    on_progress: Callable[[int], None] = lambda size: None,
) -> LogSummary:
    """Return the aggregates of logs, given as names and lines.

    A query that another host gathered, or of which others read groups of shards, is
    counted once, at the host that merged the answer. A damaged line is counted and
    skipped.
    ``on_progress`` gets the number of characters read so far.
    """
    summary = LogSummary()
    decoder = msgspec.json.Decoder(_Line)
    size = reported = 0
    for name, lines in logs:
        for text in lines:
            size += len(text)
            summary.lines += 1
            if size - reported >= PROGRESS_BYTES:
                reported = size
                on_progress(size)
            is_end = any(mark in text for mark in _END_MARKS)
            if not is_end and not any(mark in text for mark in _STATE_MARKS):
                continue
            try:
                line = decoder.decode(text[text.index("{") :])
            except (msgspec.MsgspecError, ValueError):
                summary.damaged[name] += 1
                continue
            if is_end:
                _add_end(summary, line)
            else:
                _add_state(summary, line)
    on_progress(size)
    return summary


def _add_end(summary: LogSummary, line: _Line) -> None:
    reason = line.end or line.reason or "unknown"
    if line.is_group or reason == "delegated":
        return
    second = summary.seconds.setdefault(int(line.time), Second())
    outcome = _OUTCOMES.get(reason, Outcome.FAILED)
    second.outcomes[outcome] += 1
    second.extra_reads += line.hedges + line.retries
    second.shards += line.shards
    second.missing_shards += line.missing
    if line.ms is not None and line.rank is not None:
        sketch = summary.latencies.setdefault(line.rank, DDSketch(LATENCY_ACCURACY))
        sketch.add(line.ms)
    if outcome in BAD_OUTCOMES:
        second.reasons[reason] += 1
        second.missing_services.update(line.missing_services)
        if len(second.ids) < MAX_IDS and line.id is not None:
            second.ids.append(str(line.id))


def _add_state(summary: LogSummary, line: _Line) -> None:
    text: Any = line.event
    if line.version is not None:
        text = f"{line.event} {line.version}"
    elif line.reason:
        text = f"{line.event}: {line.reason}"
    summary.state_events.append((line.time, line.host, text))
