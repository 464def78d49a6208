"""Entry point of ``python -m standins.proxy SETTINGS.json``."""

from standins._eventlet import eventlet

eventlet.monkey_patch()

from standins._command import run  # noqa: E402
from standins.proxy._application import start  # noqa: E402

run(start)
