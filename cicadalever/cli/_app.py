"""The commands of ``cicadalever``."""

import sys

import typer

from ._ask_command import ask
from ._explain import explain
from ._gateway_status import gateway_status
from ._inspect import members, quarantine, routes, status, upstreams, versions
from ._operate import audit, check_patch, check_settings, drain
from ._report import report

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help=(
        "Send queries to cicadalever, a query tier over many shards, and inspect its "
        "hosts.\n\n"
        "A host is one running cicadaleverd. It has an entry address for callers "
        "(command 'ask', option --entry) and an admin address for operators (the "
        "commands that have the option --admin). Both are ip:port and are set as "
        "caller_address and admin_address in the settings file of the host.\n\n"
        "Start with 'cicadalever status', then list the query routes with 'routes'. "
        "Run 'cicadalever COMMAND --help' for each command."
    ),
    epilog=(
        "Exit codes: 0 complete answer or success; 1 partial answer; 2 wrong usage or "
        "invalid input; 3 refused, certainly not run; 4 outcome unknown, it may have "
        "run; 5 host unreachable or no usable answer."
    ),
)

# The help lists the commands in the order in which they are registered.
for _command in (ask, status, versions, routes, members, upstreams, quarantine, audit):
    app.command()(_command)
app.command()(drain)
app.command()(explain)
app.command()(report)
app.command("gateway-status")(gateway_status)
app.command("check-settings")(check_settings)
app.command("check-patch")(check_patch)


def main() -> None:
    """Run the command line; the process ends with an ``ExitCode``."""
    for stream in (sys.stdout, sys.stderr):
        # Names may contain characters that the encoding of the terminal lacks.
        stream.reconfigure(errors="backslashreplace")
    app()
