"""Commands ``audit``, ``drain``, ``check-settings`` and ``check-patch``."""

from pathlib import Path
from typing import Annotated, Any

import typer

from ._audit import AuditReader
from ._client import Client
from ._exit import ExitCode
from ._input import read_address, read_object
from ._options import AdminOption, JsonOption
from ._output import fail, print_events, print_json, print_message
from ._tables import escape_unprintable, format_field
from ._views import describe_error, error_exit_code, require_body


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
    """Show the audit events of one host, oldest first.

    Each line has the UTC time, the sequence number, the configuration version, the
    kind of event and its details.
    """
    address = read_address(admin, "--admin", "CICADALEVER_ADMIN")
    reader = AuditReader(
        Client(), address, after=after or 0, kind=kind, notify=print_message
    )
    events = reader.read_available()
    if not isinstance(events, list):
        fail(describe_error(events), error_exit_code(events))
    print_events(events if after is not None else events[-limit:], as_json)
    if follow:
        try:
            print_events(reader.follow(interval_s), as_json)
        except KeyboardInterrupt:
            raise typer.Exit(ExitCode.OK) from None


def drain(
    admin: Annotated[
        str | None,
        typer.Option(
            envvar="CICADALEVER_ADMIN",
            metavar="IP:PORT",
            help="Admin address of the host to drain; exactly one.",
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Shut one host down gracefully, as SIGTERM does.

    The host takes over no more replicas, finishes its requests and exits. No request
    is interrupted. This cannot be undone; start the host again instead.
    """
    address = read_address(admin, "--admin", "CICADALEVER_ADMIN", require_single=True)
    reply = Client().post(address, "/v1/drain", {})
    body = require_body(reply)
    if as_json:
        print_json(body)
    else:
        print(f"{address}: {format_field(body.get('state'))}")


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
        fail(settings.reason, ExitCode.INVALID)
    if as_json:
        print_json(settings)
    else:
        print(f"{file}: valid")


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
    address = read_address(admin, "--admin", "CICADALEVER_ADMIN")
    patch = read_object(file)
    if against is not None:
        patch["against"] = against
    body = require_body(Client().post(address, "/v1/check-patch", patch))
    if as_json:
        print_json(body)
    elif body.get("accepted") is True:
        print(
            f"accepted: would become version {format_field(body.get('next_version'))}"
        )
        for pointer in _strings(body.get("changed")):
            print(f"  changes {escape_unprintable(pointer)}")
    else:
        print(f"refused: {format_field(body.get('reason'))}")
        print(f"version in force: {format_field(body.get('version'))}")
    raise typer.Exit(ExitCode.OK if body.get("accepted") is True else ExitCode.NOT_RUN)


def _strings(value: Any) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []
