"""Command ``report``."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from cicadalever.outcomes import Failure

from ._exit import ExitCode
from ._output import fail

REPORT_NAME = "report.html"


def report(
    logs: Annotated[list[Path], typer.Argument(help="Logs of gateways.")],
    out: Annotated[Path, typer.Option("--out", help="Folder of the report.")] = Path(),
) -> None:
    """Write an HTML report on the requests in the logs of gateways."""
    # Loaded here, since other commands should not wait for the sketch library.
    from cicadalever.report import render_report, summarize_logs

    for path in logs:
        if not path.is_file():
            fail(f"{path}: no such file", ExitCode.INVALID)
    total = sum(path.stat().st_size for path in logs)

    def show_progress(size: int) -> None:
        if sys.stderr.isatty():
            print(
                f"\r{size / 1e6:.0f} of {total / 1e6:.0f} MB", end="", file=sys.stderr
            )

    summary = summarize_logs(_read(logs), show_progress)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    text = render_report(summary)
    if isinstance(text, Failure):
        fail(text.reason, ExitCode.INVALID)
    target = out / REPORT_NAME
    try:
        out.mkdir(parents=True, exist_ok=True)
        target.write_text(text, encoding="utf-8")
    except OSError as error:
        fail(f"{target}: {error.strerror}", ExitCode.INVALID)
    for name, count in sorted(summary.damaged.items()):
        print(f"{name}: {count} lines could not be read", file=sys.stderr)
    print(target)


def _read(logs: list[Path]) -> Iterator[tuple[str, Iterator[str]]]:
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield path.name, file
