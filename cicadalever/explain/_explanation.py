"""Selection of the log lines that explain a request, and the cause they show."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

# Seconds before the end of a request from which changes on its host are shown.
CONTEXT_S = 3.0
CONTEXT_EVENTS = frozenset(
    (
        "configuration_in_force",
        "cut_off",
        "draining",
        "gatherer_found",
        "gatherer_lost",
        "history_lost",
        "platform_back",
        "platform_lost",
        "reconnected",
        "source_changed",
        "started",
        "suspended",
    )
)
# Events that tell how a request ended.
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
    "cancelled": "the caller left",
    "delegated": "gathered by another host, whose log tells more",
    "no_configuration": "refused: the host knew no configuration",
    "no_route": "no route of the version in force allows it",
    "no_request_id": "refused: the request has no id",
}


class LogLine(NamedTuple):
    """One line of a log; ``time`` is Unix time in seconds."""

    time: float
    host: str
    event: str
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """The lines about a request and its host, in order, and the cause."""

    lines: list[LogLine]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text; prefixes of objects are skipped."""
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
    """Return the story of a request, or None when no line names it."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("id") == request_id]
    if not own:
        return None
    hosts = {line.host for line in own}
    first, last = own[0].time - CONTEXT_S, own[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and line.host in hosts
        and first <= line.time <= last
    ]
    story = sorted([*own, *context], key=lambda line: line.time)
    return Explanation(story, _find_cause(own))


def _find_cause(own: list[LogLine]) -> str:
    ends = [line for line in own if line.event in END_EVENTS]
    if not ends:
        return "the end of the request is not in these logs"
    # The host that gathered an answer knows why it is as it is.
    gathered = [line for line in ends if line.fields.get("end") != "delegated"]
    end = (gathered or ends)[-1]
    reason = end.fields.get("end") or end.fields.get("reason")
    cause = _CAUSES.get(reason, f"ended as {reason}")
    reads = Counter(
        (line.fields.get("service"), line.fields.get("kind"), line.fields.get("detail"))
        for line in own
        if line.event == "read_failed"
    )
    missing = end.fields.get("missing_services") or []
    details = [
        f"{service}: {kind} ({detail})"
        for (service, kind, detail), _ in reads.most_common()
        if not missing or service in missing
    ]
    silent = sorted(set(missing) - {service for service, _, _ in reads})
    if silent:
        details.append(f"no answer in time from {', '.join(silent)}")
    return "; ".join([cause, *details])
