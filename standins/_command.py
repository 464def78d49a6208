"""Start-up that all stand-in processes share: settings file and ready line."""

import json
import sys
from collections.abc import Callable
from pathlib import Path

from ._eventlet import eventlet
from .process import READY_LINE


def run(start: Callable[[dict], None]) -> None:
    """Read the settings file named on the command line, start and serve.

    Prints ``ready`` when ``start`` has returned. Nothing has to be flushed at exit, so
    SIGTERM keeps its default action.
    """
    if len(sys.argv) != 2:
        sys.exit("usage: python -m standins.NAME SETTINGS.json")
    settings = json.loads(Path(sys.argv[1]).read_text())
    start(settings)
    print(READY_LINE, flush=True)
    eventlet.event.Event().wait()
