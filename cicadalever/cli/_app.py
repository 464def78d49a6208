"""The commands of ``cicadalever`` and their options."""

import json
import shlex
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from ._ask import Asker, AskPlan, exit_code, render_answer
from ._audit import AuditReader, render_event
from ._client import Client, NoAnswer, Reply, is_address
from ._exit import ExitCode
from ._tables import Column, printable, render_table, show, show_json, show_ranks

# A query without a deadline of its own gets that of its kind, which the tool does not
# know. Reports are the longest.
ASK_TIMEOUT_S = 600.0
# Time for the answer to travel after the deadline.
DEADLINE_GRACE_S = 5.0
MAX_DEADLINE_MS = 3_600_000

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help=(
        "Ask queries and inspect the hosts of cicadalever, a query tier over many "
        "shards.\n\n"
        "A host is one running cicadaleverd. It has an entry address, where callers "
        "ask (command 'ask', option --entry), and an admin address, where operators "
        "look (all other commands, option --admin). Both are ip:port and stand in "
        "the host's settings file as caller_address and admin_address.\n\n"
        "Start with 'cicadalever status', then 'routes' to see what can be asked. "
        "Run 'cicadalever COMMAND --help' for each command."
    ),
    epilog=(
        "Exit codes: 0 complete answer or success; 1 partial answer; 2 wrong usage or "
        "invalid input; 3 refused, certainly not run; 4 outcome unknown, it may have "
        "run; 5 host unreachable or no usable answer."
    ),
)


class RankName(StrEnum):
    """Names of the urgency ranks."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    REPORT = "report"


EntryOption = Annotated[
    str | None,
    typer.Option(
        envvar="CICADALEVER_ENTRY",
        metavar="IP:PORT",
        help="Entry address of a host (caller_address in its settings).",
    ),
]
AdminOption = Annotated[
    str | None,
    typer.Option(
        envvar="CICADALEVER_ADMIN",
        metavar="IP:PORT",
        help=(
            "Admin address of a host (admin_address in its settings). If the "
            "environment variable names several, the first is used."
        ),
    ),
]
AdminsOption = Annotated[
    list[str] | None,
    typer.Option(
        "--admin",
        envvar="CICADALEVER_ADMIN",
        metavar="IP:PORT",
        help="Admin address of a host; repeat the option to see several hosts.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print the data as JSON instead of a table.")
]


@app.command()
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
        typer.Option(help="Kind of work, if it is not the usual one of the route."),
    ] = None,
    rank: Annotated[
        RankName | None,
        typer.Option(help="Urgency, if it is not the usual one of the kind."),
    ] = None,
    deadline_ms: Annotated[
        int | None,
        typer.Option(
            min=1,
            max=MAX_DEADLINE_MS,
            help="Time for the answer, if it is not the usual one of the kind.",
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
        typer.Option(min=0, help="With --wait: send nothing more after this time."),
    ] = 3600.0,
    as_json: JsonOption = False,
) -> None:
    """Ask a query and print its rows, outcome and coverage.

    A partial answer (exit code 1) lists each missing shard and the reason. A refused
    request (exit code 3) certainly did not run and can be sent again.

    Example: cicadalever ask lookup --entry 127.0.0.1:8080 --param sku=A7
    """
    address = _one_address(entry, "--entry", "CICADALEVER_ENTRY")
    body: dict[str, Any] = {"route": route, "parameters": _parse_parameters(param)}
    for name, value in (("kind", kind), ("rank", rank), ("deadline_ms", deadline_ms)):
        if value is not None:
            body[name] = value
    timeout_s = ASK_TIMEOUT_S
    if deadline_ms is not None:
        timeout_s = deadline_ms / 1000 + DEADLINE_GRACE_S
    runs_once = once or request_id is not None
    plan = AskPlan(address, body, runs_once, request_id, wait, give_up_s)

    def announce_id(new_id: str) -> None:
        nonlocal request_id
        request_id = new_id
        _note(f"the request has id {new_id}")
        _note(f"to send it again with the same id: {resend_command()}")

    asker = Asker(
        Client(read_timeout_s=timeout_s), plan, announce_id=announce_id, note=_note
    )

    def resend_command() -> str:
        return _resend_command(address, body, param or [], request_id)

    try:
        answer = asker.ask()
    except KeyboardInterrupt:
        if not asker.may_have_run:
            raise
        _note("interrupted; the request may have run")
        _note(f"to send it again with the same id: {resend_command()}")
        raise typer.Exit(ExitCode.UNKNOWN) from None
    code = exit_code(answer, once=runs_once)
    _print_answer(answer, as_json)
    if code == ExitCode.UNKNOWN and runs_once:
        _note(f"to send it again with the same id: {resend_command()}")
    if code == ExitCode.NOT_RUN and plan.request_id is not None:
        _note("this id is used up; send the request with --once to get a new one")
    raise typer.Exit(code)


STATUS_COLUMNS = (
    Column("HOST", "host_id"),
    Column("DATA_CENTRE", "data_centre"),
    Column("REGION", "region"),
    Column("ROLES", "roles"),
    Column("STATE", "state"),
    Column("UPTIME_S", "uptime_s"),
    Column("VERSION", "version"),
    Column("SEQUENCE", "sequence"),
    Column("PLATFORM_AGE_S", "platform_age_s"),
    Column("RUNNING_I/B/R", "queries_running", show_ranks),
    Column("WAITING_I/B/R", "queries_waiting", show_ranks),
    Column("OWNED", "owned_replicas"),
    Column("ISOLATED", "isolated"),
    Column("VIEW_FRESH", "view_fresh"),
)


@app.command()
def status(admin: AdminsOption = None, as_json: JsonOption = False) -> None:
    """Show the state of one or more hosts.

    RUNNING and WAITING count queries by rank: interactive/batch/report. ISOLATED
    means that no other host answers this one.
    """
    rows, code = _collect(_addresses(admin), "/v1/status")
    _print_rows(STATUS_COLUMNS, rows, as_json)
    raise typer.Exit(code)


VERSION_COLUMNS = (
    Column("ADDRESS", "address"),
    Column("HOST", "host_id"),
    Column("VERSION", "version"),
    Column("SEQUENCE", "sequence"),
    Column("BEHIND", "behind"),
    Column("PLATFORM_AGE_S", "platform_age_s"),
    Column("SOURCE", "source"),
)
VERDICT_COLUMNS = (
    Column("SEQUENCE", "sequence"),
    Column("PATCH", "patch_id"),
    Column("AUTHOR", "author"),
    Column("AGAINST", "against"),
    Column("ACCEPTED", "accepted"),
    Column("VERSION", "version"),
    Column("REASON", "reason"),
)


@app.command()
def versions(
    hosts: Annotated[
        list[str] | None,
        typer.Argument(metavar="[IP:PORT]...", help="Admin addresses of hosts."),
    ] = None,
    admin: AdminsOption = None,
    verdicts: Annotated[
        bool,
        typer.Option(
            "--verdicts",
            help="Also show the latest patches, accepted or refused, and why.",
        ),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show which configuration version is in force on each host.

    BEHIND counts the log entries that a host has not applied, compared with the host
    that is furthest. It is 0 everywhere when no host lags.
    """
    rows, code = _collect(_addresses(hosts or admin), "/v1/versions")
    sequences = [row["sequence"] for row in rows if _is_integer(row.get("sequence"))]
    for row in rows:
        if _is_integer(row.get("sequence")):
            row["behind"] = max(sequences) - row["sequence"]
    _print_rows(VERSION_COLUMNS, rows, as_json)
    if verdicts and not as_json:
        print()
        _print_rows(VERDICT_COLUMNS, _latest_verdicts(rows), as_json)
    raise typer.Exit(code)


ROUTE_COLUMNS = (
    Column("ROUTE", "name"),
    Column("OPERATION", "operation"),
    Column("KIND", "kind"),
    Column("RANK", "rank"),
    Column("DEADLINE_MS", "deadline_ms"),
    Column("SHARDS", "shards"),
    Column("SNAPSHOT", "snapshot"),
    Column("INDEXES", "indexes"),
)


@app.command()
def routes(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List the query routes that can be asked.

    Operation 'read' can be repeated safely; 'run' needs 'ask --once'.
    """
    _show_list(admin, "routes", ROUTE_COLUMNS, as_json)


MEMBER_COLUMNS = (
    Column("HOST", "host_id"),
    Column("ADDRESS", "address"),
    Column("DATA_CENTRE", "data_centre"),
    Column("REGION", "region"),
    Column("ROLES", "roles"),
    Column("STATE", "state"),
    Column("LISTED", "listed"),
    Column("HEARD_AGE_S", "heard_age_s"),
    Column("VERSION", "version"),
    Column("SEQUENCE", "sequence"),
    Column("PLATFORM_AGE_S", "platform_age_s"),
)


@app.command()
def members(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List the hosts that one host knows, as it sees them.

    Ask two hosts and compare: different states mean that the network between them
    is cut. LISTED tells whether the platform's host list names the host.
    """
    _show_list(admin, "members", MEMBER_COLUMNS, as_json)


UPSTREAM_COLUMNS = (
    Column("REPLICA", "replica"),
    Column("SERVICE", "service"),
    Column("ADDRESS", "address"),
    Column("DATA_CENTRE", "data_centre"),
    Column("OWNER", "owner"),
    Column("STATE", "state"),
    Column("RUNNING", "running"),
    Column("LIMIT", "limit"),
    Column("SLOTS", "slots"),
    Column("QUEUED_I/B/R", "queued", show_ranks),
    Column("CONNECTIONS", "connections"),
    Column("LATENCY_MS", "latency_ms"),
    Column("FAILURES", "recent_failures"),
)


@app.command()
def upstreams(admin: AdminsOption = None, as_json: JsonOption = False) -> None:
    """List the replicas and the load on each.

    Only the host that owns a replica knows its load ('-' elsewhere). Name several
    hosts with --admin to see more of them: each replica is then shown as its owner
    sees it.
    """
    replies, code = _collect(_addresses(admin), "/v1/upstreams")
    rows: dict[Any, dict[str, Any]] = {}
    for reply in replies:
        if "error" in reply:
            continue
        for row in _list_of(reply, "upstreams"):
            key = show(row.get("replica"))
            if key not in rows or row.get("running") is not None:
                rows[key] = row
    _print_rows(UPSTREAM_COLUMNS, [rows[key] for key in sorted(rows)], as_json)
    raise typer.Exit(code)


QUARANTINE_COLUMNS = (
    Column("FINGERPRINT", "fingerprint"),
    Column("STATE", "state"),
    Column("REMAINING_S", "remaining_s"),
    Column("REASON", "reason"),
)


@app.command()
def quarantine(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List requests that crashed upstreams.

    A suspect crashed one upstream and runs alone next time. A quarantined request
    crashed two and is refused until the time remaining is over.
    """
    _show_list(admin, "quarantine", QUARANTINE_COLUMNS, as_json)


@app.command()
def audit(
    admin: AdminOption = None,
    kind: Annotated[
        str | None, typer.Option(help="Show only events of this kind.")
    ] = None,
    after: Annotated[
        int | None, typer.Option(min=0, help="Show only events after this sequence.")
    ] = None,
    limit: Annotated[
        int, typer.Option(min=1, help="Without --after: show this many latest events.")
    ] = 50,
    follow: Annotated[
        bool, typer.Option("--follow", help="Keep printing new events until Ctrl-C.")
    ] = False,
    interval_s: Annotated[
        float, typer.Option(min=0.1, help="With --follow: time between two polls.")
    ] = 1.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object for each event.")
    ] = False,
) -> None:
    """Show what one host decided and saw, oldest first.

    Each line has the UTC time, the sequence, the configuration version, the kind of
    event and its details.
    """
    address = _one_address(admin, "--admin", "CICADALEVER_ADMIN")
    reader = AuditReader(Client(), address, after=after or 0, kind=kind, note=_note)
    events = reader.read_available()
    if isinstance(events, NoAnswer):
        _fail(str(events), ExitCode.UNREACHABLE)
    _print_events(events if after is not None else events[-limit:], as_json)
    if follow:
        try:
            _print_events(reader.follow(interval_s), as_json)
        except KeyboardInterrupt:
            raise typer.Exit(ExitCode.OK) from None


@app.command()
def drain(
    admin: Annotated[
        str | None,
        typer.Option(
            envvar="CICADALEVER_ADMIN",
            metavar="IP:PORT",
            help="Admin address of the host that shall leave; exactly one.",
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Make one host leave, as SIGTERM does.

    The host takes no new ownership, finishes the work that it has and exits. No
    request is interrupted. This cannot be undone; start the host again instead.
    """
    address = _one_address(admin, "--admin", "CICADALEVER_ADMIN", exactly=True)
    reply = Client().post(address, "/v1/drain", {})
    value = _value_of(reply)
    if as_json:
        _print_json(value)
    else:
        print(f"{address}: {show(value.get('state'))}")


@app.command("check-settings")
def check_settings(
    file: Annotated[Path, typer.Argument(help="Settings file of a daemon (JSON).")],
    as_json: JsonOption = False,
) -> None:
    """Check the settings file of a host before the host is started with it.

    An error names the field, its allowed range and the value found.
    """
    from cicadalever.outcomes import Failure
    from cicadalever.settings import load_settings

    settings = load_settings(file)
    if isinstance(settings, Failure):
        _fail(f"{file}: {settings.reason}", ExitCode.INVALID)
    if as_json:
        _print_json(settings)
    else:
        print(f"{file}: valid")


@app.command("check-patch")
def check_patch(
    file: Annotated[Path, typer.Argument(help="Configuration patch (JSON).")],
    against: Annotated[
        int | None,
        typer.Option(
            min=0, help="Version that the patch is for, instead of the one in the file."
        ),
    ] = None,
    admin: AdminOption = None,
    as_json: JsonOption = False,
) -> None:
    """Ask a host whether it would accept a patch now, and why not.

    Nothing is changed. Exit code 3 means that the patch would be refused.
    """
    address = _one_address(admin, "--admin", "CICADALEVER_ADMIN")
    patch = _read_object(file)
    if against is not None:
        patch["against"] = against
    value = _value_of(Client().post(address, "/v1/check-patch", patch))
    if as_json:
        _print_json(value)
    elif value.get("accepted") is True:
        print(f"accepted: would become version {show(value.get('next_version'))}")
        for pointer in _strings(value.get("changed")):
            print(f"  changes {printable(pointer)}")
    else:
        print(f"refused: {show(value.get('reason'))}")
        print(f"version in force: {show(value.get('version'))}")
    raise typer.Exit(ExitCode.OK if value.get("accepted") is True else ExitCode.NOT_RUN)


def main() -> None:
    """Run the tool; the exit code tells how it went."""
    for stream in (sys.stdout, sys.stderr):
        # Names may hold any letter, and a terminal may not be able to show it.
        stream.reconfigure(errors="backslashreplace")
    app()


def _note(text: str) -> None:
    print(f"cicadalever: {printable(text)}", file=sys.stderr, flush=True)


def _fail(text: str, code: ExitCode) -> NoReturn:
    _note(text)
    raise typer.Exit(code)


def _split(values: Iterable[str]) -> list[str]:
    return [part for value in values for part in value.replace(",", " ").split()]


def _addresses(
    given: Sequence[str] | None,
    option: str = "--admin",
    variable: str = "CICADALEVER_ADMIN",
) -> list[str]:
    addresses = list(dict.fromkeys(_split(given or ())))
    if not addresses:
        _fail(f"no address: give {option} IP:PORT or set {variable}", ExitCode.INVALID)
    for address in addresses:
        if not is_address(address):
            _fail(f"{address!r} is not of the form ip:port", ExitCode.INVALID)
    return addresses


def _one_address(
    given: str | None, option: str, variable: str, *, exactly: bool = False
) -> str:
    addresses = _addresses([given] if given else None, option, variable)
    if exactly and len(addresses) > 1:
        text = f"{len(addresses)} addresses given; name one with {option} IP:PORT"
        _fail(text, ExitCode.INVALID)
    return addresses[0]


def _parse_parameters(given: Sequence[str] | None) -> dict[str, Any]:
    parameters: dict[str, Any] = {}
    for text in given or ():
        name, equals, value = text.partition("=")
        is_json = name.endswith(":")
        name = name.removesuffix(":")
        if not equals or not name:
            _fail(f"--param {text!r} is not of the form K=V or K:=V", ExitCode.INVALID)
        if name in parameters:
            _fail(f"--param {name} is given twice", ExitCode.INVALID)
        parameters[name] = _parse_json(value, f"--param {name}") if is_json else value
    return parameters


def _parse_json(text: str | bytes, source: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        _fail(f"{source}: not JSON: {error}", ExitCode.INVALID)


def _read_object(file: Path) -> dict[str, Any]:
    try:
        content = file.read_bytes()
    except OSError as error:
        _fail(f"{file}: {error.strerror}", ExitCode.INVALID)
    value = _parse_json(content, str(file))
    if not isinstance(value, dict):
        _fail(f"{file}: must hold a JSON object", ExitCode.INVALID)
    return value


def _resend_command(
    entry: str, body: Mapping[str, Any], params: Sequence[str], request_id: str | None
) -> str:
    words = ["cicadalever", "ask", body["route"], "--entry", entry]
    for name in ("kind", "rank", "deadline_ms"):
        if name in body:
            words += [f"--{name.replace('_', '-')}", str(body[name])]
    for param in params:
        words += ["--param", param]
    return shlex.join([*words, "--id", request_id or ""])


def _value_of(reply: Reply | NoAnswer) -> dict[str, Any]:
    """Return the body of a good reply; end the command otherwise."""
    if isinstance(reply, NoAnswer):
        _fail(str(reply), ExitCode.UNREACHABLE)
    if reply.status >= 400:
        code = ExitCode.INVALID if reply.status < 500 else ExitCode.UNREACHABLE
        _fail(f"{reply.address}: {reply.reason}", code)
    return reply.value


def _collect(
    addresses: Sequence[str], path: str
) -> tuple[list[dict[str, Any]], ExitCode]:
    """Return the body of each host, or its error, with the code of the worst."""
    client = Client()
    rows = []
    code = ExitCode.OK
    for address in addresses:
        reply = client.get(address, path)
        if reply and reply.status == 200:
            rows.append({**reply.value, "address": address})
            continue
        reason = reply.reason
        _note(f"{address}: {reason}")
        rows.append({"address": address, "error": reason})
        code = ExitCode.UNREACHABLE
    return rows, code


def _show_list(
    admin: str | None, name: str, columns: Sequence[Column], as_json: bool
) -> None:
    address = _one_address(admin, "--admin", "CICADALEVER_ADMIN")
    value = _value_of(Client().get(address, f"/v1/{name}"))
    _print_rows(columns, _list_of({**value, "address": address}, name), as_json)


def _list_of(value: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = value.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        text = f"{value['address']}: the answer holds no list of {name}"
        _fail(text, ExitCode.UNREACHABLE)
    return rows


def _latest_verdicts(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the verdicts known to any of the hosts, in the order of the log."""
    known: dict[int, dict[str, Any]] = {}
    for row in rows:
        verdicts = row.get("verdicts")
        for verdict in verdicts if isinstance(verdicts, list) else ():
            if isinstance(verdict, dict) and _is_integer(verdict.get("sequence")):
                known[verdict["sequence"]] = verdict
    return [known[sequence] for sequence in sorted(known)]


def _print_rows(
    columns: Sequence[Column], rows: Sequence[Mapping[str, Any]], as_json: bool
) -> None:
    if as_json:
        _print_json(rows)
        return
    good = [row for row in rows if "error" not in row]
    print("\n".join(render_table(columns, good)))


def _print_json(value: Any) -> None:
    print(json.dumps(value, ensure_ascii=False, indent=2))


def _print_events(events: Iterable[dict[str, Any]], as_json: bool) -> None:
    render: Callable[[Any], str] = show_json if as_json else render_event
    for event in events:
        print(render(event), flush=True)


def _print_answer(answer: Reply | NoAnswer, as_json: bool) -> None:
    if isinstance(answer, NoAnswer):
        _note(str(answer))
    elif "outcome" not in answer.value:
        _note(f"{answer.address}: {answer.reason}")
    elif as_json:
        _print_json(answer.value)
    else:
        print("\n".join(render_answer(answer.value)))


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _strings(value: Any) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []
