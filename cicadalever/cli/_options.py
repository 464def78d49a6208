"""Options that several commands share."""

from typing import Annotated

import typer

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
