"""Renders the answer to a query as text for a terminal."""

from typing import Any

from ._tables import (
    Column,
    align,
    escape_unprintable,
    format_field,
    format_json,
    render_table,
)

ROW_COLUMNS = (Column("SHARD", "shard"), Column("ROW", "row", format_json))


def render_answer(answer: dict[str, Any]) -> list[str]:
    """Return the lines of an answer: its rows, then outcome, coverage and origin."""
    rows = answer.get("rows")
    shards = sorted(rows.items()) if isinstance(rows, dict) else []
    table = [
        {"shard": shard, "row": row}
        for shard, shard_rows in shards
        for row in (shard_rows if isinstance(shard_rows, list) else [shard_rows])
    ]
    lines = render_table(ROW_COLUMNS, table) + [""] if table else []
    return lines + align(_summary(answer))


def _summary(answer: dict[str, Any]) -> list[list[str]]:
    lines = [["outcome", format_field(answer.get("outcome"))]]
    if answer.get("reason"):
        lines.append(["reason", format_field(answer["reason"])])
    lines += _coverage(answer.get("coverage"))
    lines += [
        ["snapshot", format_field(answer.get("snapshot"))],
        ["version", format_field(answer.get("version"))],
        ["latency", f"{format_field(answer.get('elapsed_ms'))} ms"],
        ["host", format_field(answer.get("host"))],
        ["id", format_field(answer.get("id"))],
    ]
    if answer.get("retry_after_s") is not None:
        lines.append(["retry after", f"{format_field(answer['retry_after_s'])} s"])
    return lines


def _coverage(coverage: Any) -> list[list[str]]:
    if not isinstance(coverage, dict):
        return []
    covered = coverage.get("covered")
    count = len(covered) if isinstance(covered, list) else covered
    lines = [
        ["coverage", f"{format_field(count)}/{format_field(coverage.get('total'))}"]
    ]
    missing = coverage.get("missing")
    for item in missing if isinstance(missing, list) else []:
        if not isinstance(item, dict):
            item = {"shard": item}
        shard, code, reason = (
            format_field(item.get(field)) for field in ("shard", "code", "reason")
        )
        lines.append(["missing", escape_unprintable(f"{shard}  {code}: {reason}")])
    return lines
