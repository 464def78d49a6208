"""Output of the commands, and their exit after an error."""

import json
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from http import HTTPStatus
from typing import Any, NoReturn

import typer

from cicadalever.outcomes import Outcome

from ._answer import render_answer
from ._audit import render_event
from ._client import NoReply, Reply
from ._exit import ExitCode
from ._tables import Column, escape_unprintable, format_json, render_table


def print_message(text: str) -> None:
    """Print a message for the operator to standard error."""
    print(f"cicadalever: {escape_unprintable(text)}", file=sys.stderr, flush=True)


def fail(text: str, code: ExitCode) -> NoReturn:
    """Print an error message and end the command with ``code``."""
    print_message(text)
    raise typer.Exit(code)


def print_rows(
    columns: Sequence[Column], rows: Sequence[Mapping[str, Any]], as_json: bool
) -> None:
    """Print rows as a table or as JSON.

    The table omits hosts with an error, whose message was printed already. Without
    any other host, no table is printed.
    """
    if as_json:
        print_json(rows)
        return
    available = [row for row in rows if "error" not in row]
    if rows and not available:
        return
    print("\n".join(render_table(columns, available)))


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, ensure_ascii=False, indent=2))


def print_events(events: Iterable[dict[str, Any]], as_json: bool) -> None:
    """Print audit events as they arrive, one line for each."""
    render: Callable[[Any], str] = format_json if as_json else render_event
    for event in events:
        print(render(event), flush=True)


def print_answer(reply: Reply | NoReply, as_json: bool) -> None:
    """Print the answer to a query, or the reason why there is none."""
    if isinstance(reply, NoReply):
        print_message(str(reply))
    elif "outcome" not in reply.body:
        is_unknown_path = reply.status == HTTPStatus.NOT_FOUND
        hint = " (ask needs the entry address)" if is_unknown_path else ""
        print_message(f"{reply.address}: {reply.reason}{hint}")
    elif reply.body["outcome"] == Outcome.INVALID and not as_json:
        print_message(f"{reply.address}: {reply.reason}")
    elif as_json:
        print_json(reply.body)
    else:
        print("\n".join(render_answer(reply.body)))
