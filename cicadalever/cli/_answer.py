"""Shows an answer: its rows, then what it says about itself."""

from typing import Any

from ._tables import Column, align, printable, render_table, show, show_json

ROW_COLUMNS = (Column("SHARD", "shard"), Column("ROW", "row", show_json))


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
    lines = [["outcome", show(value.get("outcome"))]]
    if value.get("reason"):
        lines.append(["reason", show(value["reason"])])
    lines += _coverage(value.get("coverage"))
    lines += [
        ["snapshot", show(value.get("snapshot"))],
        ["version", show(value.get("version"))],
        ["latency", f"{show(value.get('elapsed_ms'))} ms"],
        ["host", show(value.get("host"))],
        ["id", show(value.get("id"))],
    ]
    if value.get("retry_after_s") is not None:
        lines.append(["retry after", f"{show(value['retry_after_s'])} s"])
    return lines


def _coverage(coverage: Any) -> list[list[str]]:
    if not isinstance(coverage, dict):
        return []
    covered = coverage.get("covered")
    count = len(covered) if isinstance(covered, list) else covered
    lines = [["coverage", f"{show(count)}/{show(coverage.get('total'))}"]]
    missing = coverage.get("missing")
    for item in missing if isinstance(missing, list) else []:
        if not isinstance(item, dict):
            item = {"shard": item}
        shard, code, reason = (
            show(item.get(field)) for field in ("shard", "code", "reason")
        )
        lines.append(["missing", printable(f"{shard}  {code}: {reason}")])
    return lines
