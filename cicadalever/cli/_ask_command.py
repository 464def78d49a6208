"""Command ``ask``."""

import shlex
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Annotated, Any

import typer

from ._client import Client
from ._exit import ExitCode
from ._input import parse_parameters, read_address
from ._options import EntryOption, JsonOption
from ._output import print_answer, print_message
from ._query_sender import QuerySender, SendPlan, query_exit_code

# Read time-out without --deadline-ms. The deadline of the kind applies then, which this
# program does not know; kinds of rank report have the longest.
ASK_TIMEOUT_S = 600.0
# Added to the deadline for the transfer of the answer.
DEADLINE_GRACE_S = 5.0
MAX_DEADLINE_MS = 3_600_000


class RankName(StrEnum):
    """Values of --rank, the most urgent first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    REPORT = "report"


def ask(
    route: Annotated[
        str, typer.Argument(help="Name of the query route; 'routes' lists them.")
    ],
    entry: EntryOption = None,
    param: Annotated[
        list[str] | None,
        typer.Option(
            metavar="K=V",
            help=(
                "One parameter of the query; repeat for more. K=V passes V as text, "
                "K:=V passes V as JSON, for example --param sku=A7 --param limit:=5."
            ),
        ),
    ] = None,
    kind: Annotated[
        str | None,
        typer.Option(help="Kind of the query; the default is that of the route."),
    ] = None,
    rank: Annotated[
        RankName | None,
        typer.Option(help="Rank, if it is to be less urgent than that of the kind."),
    ] = None,
    deadline_ms: Annotated[
        int | None,
        typer.Option(
            min=1,
            max=MAX_DEADLINE_MS,
            help="Time for the answer; the default is that of the kind.",
        ),
    ] = None,
    once: Annotated[
        bool,
        typer.Option(
            "--once",
            help=(
                "Run the request at most once, for orders and jobs. Gets an id from "
                "the host first and prints it. If the answer is lost, send the same "
                "request again with --id; it then still runs at most once."
            ),
        ),
    ] = False,
    request_id: Annotated[
        str | None,
        typer.Option(
            "--id",
            metavar="ID",
            help="Send the request again with the id of an earlier --once.",
        ),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option(
            "--wait",
            help=(
                "If the request is refused as not run, or the host cannot be "
                "reached, send it again until it is answered."
            ),
        ),
    ] = False,
    give_up_s: Annotated[
        float,
        typer.Option(min=0, help="With --wait: stop sending after this many seconds."),
    ] = 3600.0,
    as_json: JsonOption = False,
) -> None:
    """Send a query and print its rows, outcome and coverage.

    A partial answer (exit code 1) lists each missing shard and the reason. A refused
    request (exit code 3) certainly did not run and can be sent again.

    Example: cicadalever ask lookup --entry 127.0.0.1:8080 --param sku=A7
    """
    address = read_address(entry, "--entry", "CICADALEVER_ENTRY")
    body: dict[str, Any] = {"route": route, "parameters": parse_parameters(param)}
    for name, value in (("kind", kind), ("rank", rank), ("deadline_ms", deadline_ms)):
        if value is not None:
            body[name] = value
    timeout_s = ASK_TIMEOUT_S
    if deadline_ms is not None:
        timeout_s = deadline_ms / 1000 + DEADLINE_GRACE_S
    runs_once = once or request_id is not None
    plan = SendPlan(address, body, runs_once, request_id, wait, give_up_s)

    def print_resend_command(known_id: str) -> None:
        command = _build_resend_command(address, body, param or [], known_id)
        print_message(f"to send it again with the same id: {command}")

    def announce_id(new_id: str) -> None:
        print_message(f"the request has id {new_id}")
        print_resend_command(new_id)

    client = Client(read_timeout_s=timeout_s)
    sender = QuerySender(client, plan, announce_id=announce_id, notify=print_message)
    try:
        reply = sender.send()
    except KeyboardInterrupt:
        if not sender.may_have_run:
            raise
        print_message("interrupted; the request may have run")
        print_resend_command(sender.request_id)
        raise typer.Exit(ExitCode.UNKNOWN) from None
    code = query_exit_code(reply, once=runs_once)
    if sender.may_have_run:
        code = ExitCode.UNKNOWN
    print_answer(reply, as_json)
    if sender.request_id and code in (ExitCode.UNKNOWN, ExitCode.NOT_RUN):
        print_resend_command(sender.request_id)
    raise typer.Exit(code)


def _build_resend_command(
    entry: str, body: Mapping[str, Any], params: Sequence[str], request_id: str
) -> str:
    words = ["cicadalever", "ask", body["route"], "--entry", entry]
    for name in ("kind", "rank", "deadline_ms"):
        if name in body:
            words += [f"--{name.replace('_', '-')}", str(body[name])]
    for param in params:
        words += ["--param", param]
    return shlex.join([*words, "--id", request_id])
