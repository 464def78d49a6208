"""Selection of the log lines that explain how a request ended, and its cause."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

# Events of the hosts of a request are included from this long before its first line.
CONTEXT_BEFORE_S = 3.0
# Events that can affect every request on a host.
CONTEXT_EVENTS = frozenset(
    (
        "configuration_in_force",
        "cut_off",
        "draining",
        "era_changed",
        "gatherer_found",
        "gatherer_lost",
        "history_lost",
        "limit_ended",
        "limit_named",
        "platform_back",
        "platform_lost",
        "reconnected",
        "replica_leaving",
        "replica_paused",
        "source_changed",
        "started",
        "suspended",
    )
)
# Events that record how a request ended.
END_EVENTS = frozenset(("request_ended", "request_refused"))
_CAUSES = {
    "complete": "answered by all shards",
    "answered": "answered by one replica",
    "enough_at_target": "partial: shards were missing when the target was reached",
    "enough_late": "late: enough shards answered only after the target",
    "nothing_left": "partial: the missing shards could not be read again",
    "too_few": "failed: too few shards could answer",
    "timed_out": "failed: no final answer before the deadline",
    "outcome_unknown": "unknown: the replica ended without an answer",
    "not_run": "refused: no replica ran it",
    "no_replica": "refused: the service has no replica",
    "limited": "refused: the replicas of the service take no more requests now",
    "paused": "refused: the replicas of the service asked for a pause",
    "leaving": "refused: all replicas of the service are leaving",
    "cancelled": "the caller left",
    "delegated": "gathered by another host, whose log tells more",
    "no_configuration": "refused: the host knew no configuration",
    "no_route": "no route of the version in force allows it",
    "no_request_id": "refused: the request has no id",
    "no_attempts": "failed: another host did not answer and may have used all attempts",
    "no_budget": "failed: another host did not answer and the retry budget is used up",
    "no_memory": "failed: its answers were dropped, since the host held too many bytes",
    "cut_off": "refused: the host cannot reach enough shards",
    "crashes_replicas": "refused: replicas did not survive this request before",
}


class LogLine(NamedTuple):
    """One event of a log; ``time`` is Unix time in seconds, ``host`` a host id."""

    time: float
    host: str
    event: str
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """Why a request ended as it did, for a person to read in ``cause``.

    ``lines`` are those about the request and those that can affect every request on
    its hosts, in the order of time.
    """

    lines: list[LogLine]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among lines of text.

    Text before a JSON object is skipped, and so is a line without such an object.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and {"time", "host", "event"} <= fields.keys():
            time, host = fields.pop("time"), fields.pop("host")
            yield LogLine(time, host, fields.pop("event"), fields)


def explain_request(lines: Iterable[LogLine], request_id: str) -> Explanation | None:
    """Return the explanation of a request, or None if no line has its id."""
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.fields.get("id") == request_id]
    if not request_lines:
        return None
    hosts = {line.host for line in request_lines}
    first, last = request_lines[0].time - CONTEXT_BEFORE_S, request_lines[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and line.host in hosts
        and first <= line.time <= last
    ]
    selected = sorted([*request_lines, *context], key=lambda line: line.time)
    return Explanation(selected, _find_cause(request_lines))


def _find_cause(request_lines: list[LogLine]) -> str:
    ends = [line for line in request_lines if line.event in END_EVENTS]
    # A host that read a group of the shards only knows how its part ended.
    ends = [line for line in ends if not line.fields.get("is_group")] or ends
    if not ends:
        return "the end of the request is not in these logs"
    # If the request was delegated, the host that gathered the answer logs the cause.
    not_delegated = [line for line in ends if line.fields.get("end") != "delegated"]
    end = (not_delegated or ends)[-1]
    reason = end.fields.get("end") or end.fields.get("reason")
    cause = _CAUSES.get(reason, f"ended as {reason}")
    failed_reads = Counter(
        (line.fields.get("service"), line.fields.get("kind"), line.fields.get("detail"))
        for line in request_lines
        if line.event == "read_failed"
    )
    missing = end.fields.get("missing_services") or []
    details = [
        f"{service}: {kind} ({detail})"
        for (service, kind, detail), _ in failed_reads.most_common()
        if not missing or service in missing
    ]
    unanswered = sorted(set(missing) - {service for service, _, _ in failed_reads})
    if unanswered:
        details.append(f"no answer in time from {', '.join(unanswered)}")
    return "; ".join([cause, *details])
