"""Checks of an answer against the request for which it was sent."""

from typing import Any, NamedTuple

# Outcomes that the load tool itself sets, for requests without an answer of an entry.
NO_ANSWER = "no_answer"
NOT_SENT = "not_sent"


class JudgedAnswer(NamedTuple):
    """The fields of an answer and the results of the checks of its rows.

    The ``rows_`` fields are None when the answer has no rows to check.
    """

    outcome: str
    reason: str = ""
    snapshot: int | None = None
    version: int | None = None
    total: int = 0
    covered: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    rows_own: bool | None = None
    rows_one_snapshot: bool | None = None
    rows_match_coverage: bool | None = None
    host: str = ""


def judge_answer(answer: dict[str, Any], request_id: str, echo: Any) -> JudgedAnswer:
    """Return the fields of an entry's answer to the request ``request_id``.

    Rows are the caller's own when the answer names its request and every row repeats
    ``echo``. Rows match the coverage when exactly the covered shards have rows, and
    each row names the shard under which it stands.
    """
    coverage = answer.get("coverage") or {}
    rows = answer.get("rows") or {}
    covered = tuple(coverage.get("covered", ()))
    judged = JudgedAnswer(
        outcome=answer["outcome"],
        reason=answer.get("reason") or "",
        snapshot=answer.get("snapshot"),
        version=answer.get("version"),
        total=coverage.get("total", 0),
        covered=covered,
        missing=tuple(item["shard"] for item in coverage.get("missing", ())),
        host=answer.get("host") or "",
    )
    if judged.outcome not in ("complete", "partial"):
        return judged
    pairs = [(shard, row) for shard, group in rows.items() for row in group]
    is_own = answer.get("id") == request_id
    return judged._replace(
        rows_own=is_own and all(row.get("echo") == echo for _, row in pairs),
        rows_one_snapshot=all(r.get("snapshot") == judged.snapshot for _, r in pairs),
        rows_match_coverage=(
            set(rows) == set(covered)
            and all(rows.values())
            and all(row.get("shard") == shard for shard, row in pairs)
        ),
    )
