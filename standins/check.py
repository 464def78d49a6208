"""Comparison of the answers that callers got with the runs that upstreams recorded.

``python -m standins.check RECORDS.jsonl LEDGER.json CONNECTIONS.json DOCUMENT.json...``
prints the violations as JSON. The exit status is 0 without violations, 1 with some,
and 2 when the ledger is incomplete.
"""

import json
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from standins.load import Record, read_records

MAX_START_AFTER_DRAIN_S = 2.0
OUTCOMES_WITH_ROWS = ("complete", "partial")
VIOLATION_KINDS = (
    "mixed_snapshot",
    "false_coverage",
    "wrong_caller",
    "refused_but_ran",
    "ran_twice",
    "work_after_leaving",
    "over_connection_limit",
)


class Run(NamedTuple):
    """One ledger entry, with the fields of ``standins.upstream._ledger.FIELDS``.

    ``arrived``, ``started`` and ``finished`` are Unix times in seconds.
    """

    upstream: str
    request_id: str
    shard: str
    snapshot: int
    operation: str
    arrived: float
    started: float
    finished: float | None
    outcome: str

    @property
    def caller_request_id(self) -> str:
        """Id of the caller's request, which precedes the first slash."""
        return self.request_id.partition("/")[0]


class Violation(NamedTuple):
    """One broken guarantee; ``subject`` is a request id, an upstream or a service."""

    kind: str
    subject: str
    detail: str


class IncompleteLedgerError(ValueError):
    """The ledger dropped entries, so nothing can be concluded from it."""


def read_runs(ledger: dict) -> list[Run]:
    """Return the entries of a ledger as read from ``GET /ledger``."""
    if ledger["dropped"] or len(ledger["entries"]) != ledger["total"]:
        held = len(ledger["entries"])
        total = ledger["total"] + ledger["dropped"]
        raise IncompleteLedgerError(f"{held} of {total} runs are in the ledger")
    return [Run(*entry) for entry in ledger["entries"]]


def expected_shards(documents: Iterable[dict]) -> dict[tuple[int, str], frozenset[str]]:
    """Return the shards that an answer must name, by (snapshot id, route).

    ``documents`` holds versions of the configuration document.
    """
    result = {}
    for document in documents:
        for snapshot in document["snapshots"]:
            for name, route in document["routes"].items():
                result[snapshot["id"], name] = frozenset(
                    f"{index}/{shard}"
                    for index in route["indexes"]
                    for shard in snapshot["indexes"].get(index, {})
                )
    return result


def find_violations(
    records: Sequence[Record],
    ledger: dict,
    connections: dict[str, dict],
    documents: Sequence[dict],
) -> list[Violation]:
    """Return all violations; raises ``IncompleteLedgerError``.

    ``connections`` is the value of ``GET /connections``. ``documents`` holds every
    version of the configuration that was in force.
    """
    runs = read_runs(ledger)
    runs_by_request: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_request[run.caller_request_id].append(run)
    shards_by_snapshot_and_route = expected_shards(documents)
    violations = []
    for record in records:
        violations += _check_record(
            record, runs_by_request.get(record.id, []), shards_by_snapshot_and_route
        )
    violations += _find_repeated_runs(runs_by_request)
    violations += _find_runs_after_drain(runs, ledger["events"])
    violations += _find_excess_connections(connections)
    return violations


def count_by_kind(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of every kind, zeros included."""
    counts = dict.fromkeys(VIOLATION_KINDS, 0)
    for violation in violations:
        counts[violation.kind] += 1
    return counts


def _check_record(
    record: Record,
    runs: list[Run],
    shards_by_snapshot_and_route: dict[tuple[int, str], frozenset[str]],
) -> list[Violation]:
    violations = []
    if record.outcome == "refused_not_run" and runs:
        detail = f"{len(runs)} runs, first on {runs[0].upstream}"
        violations.append(Violation("refused_but_ran", record.id, detail))
    if record.outcome not in OUTCOMES_WITH_ROWS:
        return violations
    if record.rows_one_snapshot is False:
        detail = f"rows of snapshots other than {record.snapshot}"
        violations.append(Violation("mixed_snapshot", record.id, detail))
    if record.rows_own is False:
        detail = "rows or id of another request"
        violations.append(Violation("wrong_caller", record.id, detail))
    detail = _find_false_coverage(record, runs, shards_by_snapshot_and_route)
    if detail is not None:
        violations.append(Violation("false_coverage", record.id, detail))
    return violations


def _find_false_coverage(
    record: Record,
    runs: list[Run],
    shards_by_snapshot_and_route: dict[tuple[int, str], frozenset[str]],
) -> str | None:
    """Return what is untrue about the coverage of an answer, or None."""
    expected = shards_by_snapshot_and_route.get((record.snapshot, record.route))
    if expected is None:
        return f"no version has snapshot {record.snapshot} with route {record.route}"
    covered, missing = set(record.covered), set(record.missing)
    named = covered | missing
    if record.idempotent and named != expected:
        return f"names other shards than the map: {sorted(named ^ expected)[:5]}"
    if not record.idempotent and not (len(named) == 1 and named <= expected):
        return f"names {sorted(named)[:5]} instead of one shard of the route"
    if covered & missing or record.total != len(named):
        return f"{len(covered)} covered and {len(missing)} missing of {record.total}"
    if (record.outcome == "complete") != (not missing):
        return f"{record.outcome} with {len(missing)} missing shards"
    if record.rows_match_coverage is False:
        return "the rows are not those of the covered shards"
    done_shards = {
        run.shard
        for run in runs
        if run.outcome == "done" and run.snapshot == record.snapshot
    }
    if not covered <= done_shards:
        return f"no upstream ran {sorted(covered - done_shards)[:5]}"
    return None


def _find_repeated_runs(runs_by_request: dict[str, list[Run]]) -> list[Violation]:
    violations = []
    for caller_request_id, runs in runs_by_request.items():
        at_most_once_runs = [run for run in runs if run.operation == "run"]
        if len(at_most_once_runs) > 1:
            detail = ", ".join(
                f"{run.upstream} ({run.outcome})" for run in at_most_once_runs
            )
            violations.append(Violation("ran_twice", caller_request_id, detail))
    return violations


def _find_runs_after_drain(runs: list[Run], events: list[dict]) -> list[Violation]:
    """Find runs that started too late after their upstream began to drain.

    Each drain lasts from its event to the next ``undrain`` event of the upstream.
    """
    drains: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in events:
        intervals = drains[event["upstream"]]
        is_open = bool(intervals) and intervals[-1][1] == float("inf")
        if event["kind"] == "drain" and not is_open:
            intervals.append((event["time"], float("inf")))
        elif event["kind"] == "undrain" and is_open:
            intervals[-1] = (intervals[-1][0], event["time"])
    return [
        Violation(
            "work_after_leaving",
            run.upstream,
            f"{run.request_id} started {run.started - begin:.3f} s after the drain",
        )
        for run in runs
        for begin, end in drains.get(run.upstream, ())
        if begin + MAX_START_AFTER_DRAIN_S < run.started < end
    ]


def _find_excess_connections(connections: dict[str, dict]) -> list[Violation]:
    violations = []
    for service, counts in connections.items():
        detail = f"{counts['max_seen']} connections, limit {counts['limit']}"
        violation = Violation("over_connection_limit", service, detail)
        violations += [violation] * counts["violations"]
    return violations


def main() -> int:
    """Compare the files named on the command line; return the exit status."""
    if len(sys.argv) < 5:
        print(__doc__, file=sys.stderr)
        return 2
    records = read_records(sys.argv[1])
    values = [json.loads(Path(path).read_text()) for path in sys.argv[2:]]
    ledger, connections, *documents = values
    try:
        violations = find_violations(records, ledger, connections, documents)
    except IncompleteLedgerError as error:
        print(error, file=sys.stderr)
        return 2
    result = {"counts": count_by_kind(violations), "violations": violations[:100]}
    print(json.dumps(result, indent=1))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
