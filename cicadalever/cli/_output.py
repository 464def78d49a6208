"""What commands print, and how they end on an error."""

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
    print(f"cicadalever: {escape_unprintable(text)}", file=sys.stderr, flush=True)


def fail(text: str, code: ExitCode) -> NoReturn:
    print_message(text)
    raise typer.Exit(code)


def print_rows(
    columns: Sequence[Column], rows: Sequence[Mapping[str, Any]], as_json: bool
) -> None:
    if as_json:
        print_json(rows)
        return
    good = [row for row in rows if "error" not in row]
    if rows and not good:
        return
    print("\n".join(render_table(columns, good)))


def print_json(value: Any) -> None:
    print(json.dumps(value, ensure_ascii=False, indent=2))


def print_events(events: Iterable[dict[str, Any]], as_json: bool) -> None:
    render: Callable[[Any], str] = format_json if as_json else render_event
    for event in events:
        print(render(event), flush=True)


def print_answer(answer: Reply | NoReply, as_json: bool) -> None:
    if isinstance(answer, NoReply):
        print_message(str(answer))
    elif "outcome" not in answer.body:
        is_other = answer.status == HTTPStatus.NOT_FOUND
        hint = " (ask needs the entry address)" if is_other else ""
        print_message(f"{answer.address}: {answer.reason}{hint}")
    elif answer.body["outcome"] == Outcome.INVALID and not as_json:
        print_message(f"{answer.address}: {answer.reason}")
    elif as_json:
        print_json(answer.body)
    else:
        print("\n".join(render_answer(answer.body)))
