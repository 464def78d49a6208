"""Reads the views of hosts from their administration interface."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from ._client import Client, NoReply, Reply
from ._exit import ExitCode
from ._output import fail, print_message


def require_body(reply: Reply | NoReply) -> dict[str, Any]:
    """Return the body of a good reply; end the command otherwise."""
    if isinstance(reply, NoReply):
        fail(str(reply), ExitCode.UNREACHABLE)
    if reply.status >= 400:
        fail(describe_error(reply), error_exit_code(reply))
    return reply.body


def error_exit_code(reply: Reply | NoReply) -> ExitCode:
    """Return the exit code for a reply that does not hold what was asked for."""
    if reply and 400 <= reply.status < 500:
        return ExitCode.INVALID
    return ExitCode.UNREACHABLE


def describe_error(reply: Reply | NoReply) -> str:
    """Return one line on a reply that does not hold what was asked for."""
    text = f"{reply.address}: {reply.reason}"
    if reply and reply.status == HTTPStatus.NOT_FOUND:
        # The two addresses of a host are easily confused.
        text += " (commands other than ask need the admin address)"
    return text


def fetch_all(
    addresses: Sequence[str], path: str
) -> tuple[list[dict[str, Any]], ExitCode]:
    """Return the body of each host, or its error, with the code of the worst."""
    client = Client()
    rows = []
    code = ExitCode.OK
    for address in addresses:
        reply = client.get(address, path)
        if reply and reply.status == 200:
            rows.append({**reply.body, "address": address})
            continue
        print_message(describe_error(reply))
        rows.append({"address": address, "error": reply.reason})
        code = max(code, error_exit_code(reply))
    return rows, code


def require_rows(value: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = value.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        text = f"{value['address']}: the answer holds no list of {name}"
        fail(text, ExitCode.UNREACHABLE)
    return rows
