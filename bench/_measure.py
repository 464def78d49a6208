"""Figures of one run, from the records of callers and the ledger of upstreams.

A figure is None where the run does not exercise what it measures.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from standins.check import VIOLATION_KINDS, Run, Violation
from standins.load import Record

from ._scenarios import WARM_UP_S, Phase

RANKS = ("interactive", "batch", "report")
ANSWERED_OUTCOMES = ("complete", "partial")
# Without an answer, a caller does not know whether its request ran.
UNKNOWN_OUTCOMES = ("outcome_unknown", "no_answer")
POISON_PREFIX = "poison"
IN_FORCE_EVENT = "version_in_force"
SHUTDOWN_MARGIN_S = 1.0


class Evidence(NamedTuple):
    """Data collected from one run; times are Unix times in seconds.

    ``records`` are the requests of the callers, ``runs`` the ledger entries of the
    upstreams and ``events`` their starts, drains and crashes. ``violations`` are
    contradictions between what callers were told and what ran. ``audits`` maps a host
    to its audit events, or to None if it did not answer. ``patches`` are the submitted
    patches, ``actions`` the (time, name, arguments) of the performed actions and
    ``notes`` what they observed. ``deadlines`` maps a request kind to seconds.
    """

    started: float
    records: Sequence[Record]
    runs: Sequence[Run]
    events: Sequence[Mapping[str, Any]]
    violations: Sequence[Violation]
    audits: Mapping[str, Sequence[Mapping[str, Any]] | None]
    patches: Sequence[Mapping[str, Any]]
    actions: Sequence[tuple[float, str, Mapping[str, Any]]]
    deadlines: Mapping[str, float]
    notes: Mapping[str, Any]


def quantile(values: Sequence[float], fraction: float) -> float | None:
    """Return the nearest-rank quantile for ``fraction`` in (0, 1]; None if empty."""
    if not values:
        return None
    ordered = sorted(values)
    position = max(0, math.ceil(fraction * len(ordered)) - 1)
    return ordered[position]


def select_phase(
    records: Iterable[Record], phase: Phase, started: float
) -> list[Record]:
    """Return the records of requests whose scheduled arrival is in ``phase``.

    ``started`` is the Unix time of the start of the run.
    """
    begin, end = started + phase.start_s, started + phase.end_s
    return [record for record in records if begin <= record.sent_unix < end]


def aggregate(
    records: Sequence[Record], deadlines: Mapping[str, float], seconds: float
) -> dict[str, Any]:
    """Return counts, latency quantiles in ms and mean coverage of ``records``.

    Latencies and coverage are those of complete and partial answers;
    ``within_deadline`` counts complete answers that arrived before their deadline.
    ``seconds`` is the duration that the records cover.
    """
    answered = [record for record in records if record.outcome in ANSWERED_OUTCOMES]
    completed = [record for record in answered if record.outcome == "complete"]
    in_time = [r for r in completed if r.latency_s <= deadlines[r.kind]]
    latencies = [record.latency_s for record in answered]
    coverages = [len(r.covered) / r.total for r in answered if r.total]
    outcomes = [record.outcome for record in records]
    return {
        "offered": len(records),
        "completed": len(completed),
        "partial": len(answered) - len(completed),
        "refused_not_run": outcomes.count("refused_not_run"),
        "unknown": sum(outcomes.count(name) for name in UNKNOWN_OUTCOMES),
        "no_answer": outcomes.count("no_answer"),
        "not_sent": outcomes.count("not_sent"),
        "p50_ms": _milliseconds(quantile(latencies, 0.50)),
        "p99_ms": _milliseconds(quantile(latencies, 0.99)),
        "coverage_mean": round(sum(coverages) / len(coverages), 4)
        if coverages
        else None,
        "within_deadline": len(in_time),
        "completed_per_s": round(len(completed) / seconds, 2),
    }


def aggregate_by(
    field: str,
    records: Sequence[Record],
    deadlines: Mapping[str, float],
    seconds: float,
    names: Sequence[str] = (),
) -> dict[str, dict | None]:
    """Return ``aggregate`` of the records by value of ``field``.

    ``names`` are values that the result has in any case, None if without records.
    """
    groups: dict[str, list[Record]] = {name: [] for name in names}
    for record in records:
        groups.setdefault(getattr(record, field), []).append(record)
    return {
        name: aggregate(group, deadlines, seconds) if group else None
        for name, group in groups.items()
    }


def compute_extra_load(runs: Iterable[Run]) -> float | None:
    """Return the ratio of extra reads to needed ones: one per shard and query.

    Each try of a caller counts as a separate query.
    """
    total = 0
    needed = set()
    for run in runs:
        if run.operation == "read":
            total += 1
            needed.add((run.caller_request_id, run.shard))
    return round(total / len(needed) - 1, 4) if needed else None


def count_crashes_by_request(runs: Iterable[Run]) -> dict[str, int]:
    """Return the number of upstreams that each kind of poison request crashed.

    Ids of requests are ``caller-kind-number``, with a suffix per try.
    """
    crashes: dict[str, int] = {}
    for run in runs:
        parts = run.caller_request_id.split("-")
        if len(parts) < 3 or not parts[1].startswith(POISON_PREFIX):
            continue
        crashes.setdefault(parts[1], 0)
        if run.outcome == "crashed":
            crashes[parts[1]] += 1
    return crashes


def compute_in_force_delays(
    patches: Iterable[Mapping[str, Any]],
    audits: Mapping[str, Sequence[Mapping[str, Any]] | None],
) -> dict[str, dict[str, float | None]]:
    """Return the seconds until each accepted patch was in force, by patch and host.

    Only hosts that were reachable and answered at the end count. A later version in
    force counts too; None means that the host never had either in force.
    """
    result = {}
    for patch in patches:
        if not patch["accepted"]:
            continue
        delays = {}
        for host, events in audits.items():
            if events is None or host in patch["unreachable"]:
                continue
            times = [
                event["time_unix"]
                for event in events
                if event["kind"] == IN_FORCE_EVENT
                and event["version"] >= patch["version"]
            ]
            delays[host] = min(times) - patch["submitted"] if times else None
        result[patch["id"]] = delays
    return result


def count_version_reverts(
    audits: Mapping[str, Sequence[Mapping[str, Any]] | None],
    records: Iterable[Record],
) -> int:
    """Count decreases of a host's version in its audit trail and in its answers."""
    reverts = 0
    for events in audits.values():
        versions = [e["version"] for e in events or () if e["kind"] == IN_FORCE_EVENT]
        reverts += sum(later <= earlier for earlier, later in pairwise(versions))
    answered: dict[str, list[Record]] = {}
    for record in records:
        if record.host and record.version:
            answered.setdefault(record.host, []).append(record)
    return reverts + sum(_count_stale_answers(group) for group in answered.values())


def _count_stale_answers(records: list[Record]) -> int:
    """Count answers with an older version than one received before their request."""
    moments = [(r.sent_unix + r.latency_s, 0, r.version) for r in records]
    # On equal times, requests sort first: an answer counts only for later requests.
    moments += [(r.sent_unix, -1, r.version) for r in records]
    newest = count = 0
    for _, kind, version in sorted(moments):
        if kind == 0:
            newest = max(newest, version)
        elif version < newest:
            count += 1
    return count


def count_interrupted_requests(
    records: Iterable[Record], begin: float, end: float
) -> int:
    """Count requests in flight between ``begin`` and ``end`` whose connection broke."""
    return sum(
        1
        for record in records
        if record.sent_unix < end
        and record.sent_unix + record.latency_s > begin
        and (record.tries > 1 or record.outcome == "no_answer")
    )


def count_violations(evidence: Evidence) -> dict[str, int | None]:
    """Return the number of violations by kind.

    A number is None if the run did not exercise the guarantee.
    """
    counts: dict[str, int | None] = dict.fromkeys(VIOLATION_KINDS, 0)
    for violation in evidence.violations:
        counts[violation.kind] += 1
    counts["cut_on_shutdown"] = _count_interrupted_by_shutdown(evidence)
    accepted = any(patch["accepted"] for patch in evidence.patches)
    counts["config_reverted"] = (
        count_version_reverts(evidence.audits, evidence.records) if accepted else None
    )
    outcomes = {record.outcome for record in evidence.records}
    exercised = {
        "mixed_snapshot": "next_snapshot" in evidence.notes,
        "false_coverage": bool(outcomes & set(ANSWERED_OUTCOMES)),
        "wrong_caller": bool(outcomes & set(ANSWERED_OUTCOMES)),
        "refused_but_ran": "refused_not_run" in outcomes,
        "ran_twice": any(run.operation == "run" for run in evidence.runs),
        "work_after_leaving": any(e["kind"] == "drain" for e in evidence.events),
    }
    for name, was_exercised in exercised.items():
        # A violation shows by itself that the run exercised the guarantee.
        if not was_exercised and not counts[name]:
            counts[name] = None
    return counts


def _count_interrupted_by_shutdown(evidence: Evidence) -> int | None:
    times = [at for at, name, _ in evidence.actions if name == "terminate"]
    if not times:
        return None
    exit_s = evidence.notes.get("exit_s") or 0.0
    end = max(times) + exit_s + SHUTDOWN_MARGIN_S
    return count_interrupted_requests(evidence.records, min(times), end)


def select_failed_elsewhere(
    records: Iterable[Record], lost_at: float, lost_entry: str
) -> list[Record]:
    """Return the failed requests that other hosts than the lost one handled.

    Only requests that ended at ``lost_at``, a Unix time, or later count. ``lost_entry``
    is the caller address of the lost host. A request with several tries is left out:
    its first entry broke, so the lost host handled it.
    """
    return [
        record
        for record in records
        if record.sent_unix + record.latency_s >= lost_at
        and record.outcome not in ("complete", "not_sent")
        and record.tries == 1
        and record.entry != lost_entry
    ]


def compute_failed_share(
    records: Iterable[Record], begin: float, end: float
) -> float | None:
    """Return the share of requests without a complete answer in an interval.

    It counts requests scheduled to arrive from ``begin`` on and before ``end``.
    """
    selected = [r for r in records if begin <= r.sent_unix < end]
    failed = sum(record.outcome != "complete" for record in selected)
    return round(failed / len(selected), 4) if selected else None


def summarize_run(
    evidence: Evidence, phases: Sequence[Phase], entries: Mapping[str, str]
) -> dict[str, Any]:
    """Return the figures of one run; ``entries`` maps hosts to caller addresses.

    Outcomes, latencies and extra load leave out poison requests.
    """
    normal = [
        record
        for record in evidence.records
        if not record.kind.startswith(POISON_PREFIX)
    ]
    result: dict[str, Any] = {}
    for phase in phases:
        selected = select_phase(normal, phase, evidence.started)
        seconds = phase.end_s - phase.start_s
        arguments = (selected, evidence.deadlines, seconds)
        figures = {
            "ranks": aggregate_by("rank", *arguments, names=RANKS),
            "routes": aggregate_by("route", *arguments),
        }
        result |= figures if phase.name == "all" else {phase.name: figures}
    reads = [run for run in evidence.runs if not _is_poison(run.caller_request_id)]
    result["extra_load"] = compute_extra_load(reads)
    result |= _summarize_poison(evidence)
    result |= _summarize_configuration(evidence)
    result |= _summarize_loss(evidence, normal, entries)
    result["violations"] = count_violations(evidence)
    return result


def _is_poison(caller_id: str) -> bool:
    return f"-{POISON_PREFIX}" in caller_id


def _summarize_poison(evidence: Evidence) -> dict[str, Any]:
    kinds = {r.kind for r in evidence.records if r.kind.startswith(POISON_PREFIX)}
    if not kinds:
        return {"upstreams_crashed": None}
    crashes = dict.fromkeys(sorted(kinds), 0) | count_crashes_by_request(evidence.runs)
    crashed = sum(event["kind"] == "crash" for event in evidence.events)
    return {"upstreams_crashed": crashed, "crashed_by_request": crashes}


def _summarize_configuration(evidence: Evidence) -> dict[str, Any]:
    delays = compute_in_force_delays(evidence.patches, evidence.audits)
    values = [delay for hosts in delays.values() for delay in hosts.values()]
    known = [delay for delay in values if delay is not None]
    return {
        "config_in_force_s": round(max(known), 3) if known else None,
        "config_never_in_force": values.count(None) if values else None,
    }


def _summarize_loss(
    evidence: Evidence, records: Sequence[Record], entries: Mapping[str, str]
) -> dict[str, Any]:
    kills = [
        (at, arguments["host"])
        for at, name, arguments in evidence.actions
        if name == "kill"
    ]
    if not kills:
        return {}
    failed: list[Record] = []
    for at, host in kills:
        failed += select_failed_elsewhere(records, at, entries[host])
    first = min(at for at, _ in kills)
    # Failures before the loss have another cause, so their share is a baseline.
    before = compute_failed_share(records, evidence.started + WARM_UP_S, first)
    return {
        "failed_elsewhere": len(failed),
        "failed_elsewhere_outcomes": Counter(record.outcome for record in failed),
        "failed_share_before_loss": before,
        "failed_share_after_loss": compute_failed_share(records, first, math.inf),
    }


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
