"""Shows an answer: its rows, then what it says about itself."""

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


def render_answer(value: dict[str, Any]) -> list[str]:
    """Return the rows of an answer, then what it says about itself."""
    rows = value.get("rows")
    shards = sorted(rows.items()) if isinstance(rows, dict) else []
    table = [
        {"shard": shard, "row": row}
        for shard, shard_rows in shards
        for row in (shard_rows if isinstance(shard_rows, list) else [shard_rows])
    ]
    lines = render_table(ROW_COLUMNS, table) + [""] if table else []
    return lines + align(_summary(value))


def _summary(value: dict[str, Any]) -> list[list[str]]:
    lines = [["outcome", format_field(value.get("outcome"))]]
    if value.get("reason"):
        lines.append(["reason", format_field(value["reason"])])
    lines += _coverage(value.get("coverage"))
    lines += [
        ["snapshot", format_field(value.get("snapshot"))],
        ["version", format_field(value.get("version"))],
        ["latency", f"{format_field(value.get('elapsed_ms'))} ms"],
        ["host", format_field(value.get("host"))],
        ["id", format_field(value.get("id"))],
    ]
    if value.get("retry_after_s") is not None:
        lines.append(["retry after", f"{format_field(value['retry_after_s'])} s"])
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
