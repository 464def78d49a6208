"""Reads views of hosts from their administration interface."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from ._client import Client, NoReply, Reply
from ._exit import ExitCode
from ._output import fail, print_message


def require_body(reply: Reply | NoReply) -> dict[str, Any]:
    """Return the body of a successful reply; end the command for any other."""
    if isinstance(reply, NoReply):
        fail(str(reply), ExitCode.UNREACHABLE)
    if reply.status >= 400:
        fail(describe_error(reply), error_exit_code(reply))
    return reply.body


def error_exit_code(reply: Reply | NoReply) -> ExitCode:
    """Return the exit code for a reply without the requested data."""
    if reply and 400 <= reply.status < 500:
        return ExitCode.INVALID
    return ExitCode.UNREACHABLE


def describe_error(reply: Reply | NoReply) -> str:
    """Return an error message for a reply without the requested data."""
    text = f"{reply.address}: {reply.reason}"
    if reply and reply.status == HTTPStatus.NOT_FOUND:
        # The path is unknown when the entry address was given by mistake.
        text += " (commands other than ask need the admin address)"
    return text


def fetch_all(
    addresses: Sequence[str], path: str
) -> tuple[list[dict[str, Any]], ExitCode]:
    """Return the body or error of each host, and the highest exit code of all.

    Each row has the address of its host; a row with an error has no other data.
    """
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


def require_rows(body: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the list of objects in the field ``name``; end the command without one."""
    rows = body.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        text = f"{body['address']}: the answer holds no list of {name}"
        fail(text, ExitCode.UNREACHABLE)
    return rows
