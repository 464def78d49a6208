"""The command ``cicadaleverd``."""

import faulthandler
import gc
import os
import signal
import sys
import warnings
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from loguru import logger

from cicadalever.outcomes import Failure
from cicadalever.startup import ProcessSignals, open_missing_streams

if TYPE_CHECKING:
    from cicadalever.settings import Settings

EXIT_USAGE = 2


def run(
    settings: Annotated[
        Path, typer.Option(help="JSON file with the settings of this daemon.")
    ],
) -> None:
    """Run one host of the query tier until SIGTERM or SIGINT."""
    from cicadalever.settings import load_settings

    checked = load_settings(settings)
    if isinstance(checked, Failure):
        print(f"cicadaleverd: {checked.reason}", file=sys.stderr)
        raise typer.Exit(EXIT_USAGE)
    _set_up_logs(checked)
    _serve(checked)


def main() -> None:
    """Parse the command line and run the daemon."""
    # SIGHUP has no effect, since changes of the settings need a restart. The handlers
    # of the other signals are replaced when the daemon runs.
    ProcessSignals().install()
    open_missing_streams()
    # eventlet patches the locks of all modules that are loaded already. pydantic, which
    # the settings and typer load later, does not work with patched locks.
    _patch_blocking_calls()
    typer.run(run)


def _patch_blocking_calls() -> None:
    """Make blocking calls of libraries, such as urllib3, yield to the event loop."""
    with warnings.catch_warnings():
        # Operators can do nothing about the deprecation warning of eventlet.
        warnings.simplefilter("ignore")
        import eventlet
    eventlet.monkey_patch()


def _set_up_logs(settings: "Settings") -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        level=settings["log_level"],
        serialize=settings["log_json"],
        format=("{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}"),
    )
    logger.configure(extra={"host": settings["host_id"]})


def _serve(settings: "Settings") -> None:
    from ._composition import build_daemon

    daemon, admin_server = build_daemon(settings)

    def stop(signum: int, frame: object) -> None:
        daemon.begin_drain(signal.Signals(signum).name)

    # Objects created so far live as long as the process. Exempting them from garbage
    # collection shortens its pauses, which stop the only thread.
    gc.freeze()
    # Prints the stacks on SIGUSR2, which shows where a daemon hangs that no longer
    # answers its administration interface.
    faulthandler.register(signal.SIGUSR2)
    daemon.start(admin_server)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    logger.info("listening for callers on {}", settings["caller_address"])
    daemon.wait()
    # The requests have ended. A normal exit would take many seconds more if a socket
    # still has messages for a peer that cannot be reached.
    sys.stderr.flush()
    os._exit(0)
