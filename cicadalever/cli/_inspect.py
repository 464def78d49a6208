"""Commands that show the state of hosts."""

from collections.abc import Sequence
from typing import Annotated, Any

import typer

from ._client import Client
from ._input import read_address, read_addresses
from ._options import AdminOption, AdminsOption, JsonOption
from ._output import print_rows
from ._tables import Column, format_field, format_ranks
from ._views import fetch_all, require_body, require_rows

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
    Column("RUNNING_I/B/R", "queries_running", format_ranks),
    Column("WAITING_I/B/R", "queries_waiting", format_ranks),
    Column("OWNED", "owned_replicas"),
    Column("ISOLATED", "isolated"),
    Column("VIEW_FRESH", "view_fresh"),
)


def status(admin: AdminsOption = None, as_json: JsonOption = False) -> None:
    """Show the state of one or more hosts.

    RUNNING and WAITING count queries by rank: interactive/batch/report. ISOLATED
    means that no other host acknowledges the probes of this one.
    """
    rows, code = fetch_all(read_addresses(admin), "/v1/status")
    print_rows(STATUS_COLUMNS, rows, as_json)
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
            help="Also show the latest patches, whether they were accepted, and why.",
        ),
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show which configuration version is in force on each host.

    BEHIND is the number of log entries that a host has not applied, compared with the
    host that has applied the most. It is 0 everywhere when no host lags.
    """
    rows, code = fetch_all(read_addresses(hosts or admin), "/v1/versions")
    sequences = [row["sequence"] for row in rows if _is_integer(row.get("sequence"))]
    for row in rows:
        if _is_integer(row.get("sequence")):
            row["behind"] = max(sequences) - row["sequence"]
    print_rows(VERSION_COLUMNS, rows, as_json)
    if verdicts and not as_json:
        print()
        print_rows(VERDICT_COLUMNS, _merge_verdicts(rows), as_json)
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


def routes(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List the query routes.

    Queries with operation 'read' can be repeated safely; 'run' needs 'ask --once'.
    """
    _print_list(admin, "routes", ROUTE_COLUMNS, as_json)


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


def members(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List the hosts that one host knows, as it sees them.

    If the lists of two hosts differ in a state, the network between them may be
    interrupted. LISTED tells whether a host is in the host list of the platform.
    """
    _print_list(admin, "members", MEMBER_COLUMNS, as_json)


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
    Column("QUEUED_I/B/R", "queued", format_ranks),
    Column("CONNECTIONS", "connections"),
    Column("LATENCY_MS", "latency_ms"),
    Column("FAILURES", "recent_failures"),
)


def upstreams(admin: AdminsOption = None, as_json: JsonOption = False) -> None:
    """List the replicas and the load on each.

    Only the host that owns a replica knows its load; other hosts show '-'. Give
    several hosts with --admin to see the load of more replicas: each one is then shown
    as its owner reports it, if its owner is one of these hosts.
    """
    replies, code = fetch_all(read_addresses(admin), "/v1/upstreams")
    rows: dict[Any, dict[str, Any]] = {}
    for reply in replies:
        if "error" in reply:
            continue
        for row in require_rows(reply, "upstreams"):
            key = format_field(row.get("replica"))
            if key not in rows or row.get("running") is not None:
                rows[key] = row
    print_rows(UPSTREAM_COLUMNS, [rows[key] for key in sorted(rows)], as_json)
    raise typer.Exit(code)


QUARANTINE_COLUMNS = (
    Column("FINGERPRINT", "fingerprint"),
    Column("STATE", "state"),
    Column("REMAINING_S", "remaining_s"),
    Column("REASON", "reason"),
)


def quarantine(admin: AdminOption = None, as_json: JsonOption = False) -> None:
    """List the fingerprints of requests that crashed upstreams.

    A suspect request crashed one upstream; its next run is the only read on its
    replica. A quarantined request crashed two and is refused for the time in
    REMAINING_S.
    """
    _print_list(admin, "quarantine", QUARANTINE_COLUMNS, as_json)


def _print_list(
    admin: str | None, name: str, columns: Sequence[Column], as_json: bool
) -> None:
    address = read_address(admin, "--admin", "CICADALEVER_ADMIN")
    body = require_body(Client().get(address, f"/v1/{name}"))
    print_rows(columns, require_rows({**body, "address": address}, name), as_json)


def _merge_verdicts(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the verdicts of all hosts without duplicates, in the order of the log."""
    known: dict[int, dict[str, Any]] = {}
    for row in rows:
        verdicts = row.get("verdicts")
        for verdict in verdicts if isinstance(verdicts, list) else ():
            if isinstance(verdict, dict) and _is_integer(verdict.get("sequence")):
                known[verdict["sequence"]] = verdict
    return [known[sequence] for sequence in sorted(known)]


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
