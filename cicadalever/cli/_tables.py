"""Plain text tables with aligned columns, stable for scripts."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

ABSENT = "-"
RANKS = ("interactive", "batch", "report")


class Column(NamedTuple):
    """One column: its header, the field of a row that it shows, and its format.

    ``format`` returns the text of a cell; ``format_field`` is the default.
    """

    header: str
    field: str
    format: Callable[[Any], str] | None = None


def render_table(columns: Sequence[Column], rows: Iterable[Mapping]) -> list[str]:
    """Return the header and one line for each row.

    Columns are separated by at least two spaces. A missing value is shown as ``-``, so
    that every line has the same number of columns.
    """
    lines = [[column.header for column in columns]]
    lines += [[_cell(column, row) for column in columns] for row in rows]
    return align(lines)


def align(lines: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines with their cells padded to equal width."""
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]


def format_field(value: Any) -> str:
    """Return the value of a JSON field as text on one line."""
    if value is None or value == "" or value == []:
        return ABSENT
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return ",".join(map(format_field, value))
    if isinstance(value, dict):
        return format_json(value)
    return escape_unprintable(str(value))


def format_ranks(value: Any) -> str:
    """Return the numbers of the three ranks as ``interactive/batch/report``."""
    if not isinstance(value, dict):
        return ABSENT
    return "/".join(format_field(value.get(rank)) for rank in RANKS)


def format_json(value: Any) -> str:
    """Return a value as compact JSON on one line."""
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"))
    return escape_unprintable(text)


def escape_unprintable(text: str) -> str:
    """Escape characters that are not printable: some could control the terminal."""
    if text.isprintable():
        return text
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape", "backslashreplace").decode()
        for character in text
    )


def _cell(column: Column, row: Mapping) -> str:
    return (column.format or format_field)(row.get(column.field))
