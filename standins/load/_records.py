"""Records of the requests that the load generator has sent."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from ._answers import NO_ANSWER, NOT_SENT


class Record(NamedTuple):
    """One request and its last answer; times are in seconds.

    ``id`` is the id of the last try: each try of an idempotent request has its own, so
    that an answer is only compared with the runs of the same try. ``latency_s`` counts
    from the scheduled arrival. ``rows_own``, ``rows_one_snapshot`` and
    ``rows_match_coverage`` are None when the answer has no rows to check.
    """

    id: str
    kind: str
    route: str
    rank: str
    idempotent: bool
    sent_unix: float
    latency_s: float
    status: int
    outcome: str
    reason: str
    snapshot: int | None
    version: int | None
    total: int
    covered: tuple[str, ...]
    missing: tuple[str, ...]
    rows_own: bool | None
    rows_one_snapshot: bool | None
    rows_match_coverage: bool | None
    tries: int
    entry: str
    host: str


def write_records(records: Iterable[Record], path: str | Path) -> None:
    """Write records as JSON lines."""
    encode = msgspec.json.encode
    with Path(path).open("wb") as output:
        for record in records:
            output.write(encode(record._asdict()) + b"\n")


def read_records(path: str | Path) -> list[Record]:
    """Read what ``write_records`` wrote."""
    with Path(path).open("rb") as lines:
        values = [msgspec.json.decode(line) for line in lines]
    return [msgspec.convert(list(value.values()), Record) for value in values]


def quantile(values: Sequence[float], fraction: float) -> float | None:
    """Return the nearest-rank quantile, or None without values."""
    if not values:
        return None
    position = max(0, math.ceil(fraction * len(values)) - 1)
    return sorted(values)[position]


def summarize(records: Iterable[Record]) -> dict[str, dict]:
    """Return per kind the outcomes, the mean coverage and latency quantiles.

    Latencies and coverage are those of answers with rows (complete or partial).
    """
    by_kind: dict[str, list[Record]] = {}
    for record in records:
        by_kind.setdefault(record.kind, []).append(record)
    return {kind: _summarize_kind(group) for kind, group in by_kind.items()}


def _summarize_kind(records: list[Record]) -> dict:
    answered = [r for r in records if r.outcome in ("complete", "partial")]
    latencies = [record.latency_s for record in answered]
    coverages = [len(r.covered) / r.total for r in answered if r.total]
    outcomes = Counter(record.outcome for record in records)
    return {
        "requests": len(records),
        "outcomes": outcomes,
        "lost": outcomes[NO_ANSWER],
        "not_sent": outcomes[NOT_SENT],
        "tries": sum(record.tries for record in records),
        "coverage": sum(coverages) / len(coverages) if coverages else None,
        "p50_s": quantile(latencies, 0.50),
        "p99_s": quantile(latencies, 0.99),
    }
