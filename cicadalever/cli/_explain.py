"""Command ``explain``."""

import sys
from itertools import chain
from pathlib import Path
from typing import Annotated

import typer

from cicadalever.explain import LogLine, explain_request, read_lines

from ._exit import ExitCode
from ._output import fail, print_json
from ._tables import escape_unprintable


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of gateways; standard input if none are given."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Explain how a request ended, and why, from the logs of gateways."""
    try:
        texts = [path.read_text(errors="replace").splitlines() for path in logs or []]
    except OSError as error:
        fail(f"{error.filename}: {error.strerror}", ExitCode.INVALID)
    lines = read_lines(chain.from_iterable(texts) if logs else sys.stdin)
    explanation = explain_request(lines, request_id)
    if explanation is None:
        fail(f"no line about request {request_id}", ExitCode.INVALID)
    if as_json:
        rows = [
            {"time": line.time, "host": line.host, "event": line.event, **line.fields}
            for line in explanation.lines
        ]
        print_json({"id": request_id, "cause": explanation.cause, "lines": rows})
        return
    end = explanation.lines[-1].time
    for line in explanation.lines:
        print(escape_unprintable(_render(line, end)))
    print(escape_unprintable(f"cause: {explanation.cause}"))


def _render(line: LogLine, end: float) -> str:
    """Return a log line with its time relative to ``end`` in milliseconds."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name != "id"
    )
    offset_ms = (line.time - end) * 1000
    return f"{offset_ms:9.1f} ms  {line.host}  {line.event}  {fields}"
