"""Entry point of the gateway process."""

import gc
import sys
from random import Random

import eventlet

from cicadalever.outcomes import Failure
from cicadalever.startup import ProcessSignals

from ._adapter import PlatformAdapter

EXIT_INVALID_SETTINGS = 2
# Requests leave few reference cycles and a collection blocks the event loop, so
# collections are rare.
GC_THRESHOLD = 20_000


def main(adapter: PlatformAdapter, signals: ProcessSignals) -> None:
    """Run the gateway until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Exits with status 2 if the settings cannot be read.
    """
    signals.forget_reload()
    settings = adapter.load_settings()
    if isinstance(settings, Failure):
        print(f"gateway: {settings.reason}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS)
    from ._composition import build_gateway

    daemon = build_gateway(settings, adapter, Random())
    daemon.components.events.start()
    signals.follow(daemon.request_stop, daemon.request_reload)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    daemon.start()
    eventlet.event.Event().wait()
