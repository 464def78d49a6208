"""Entry point of ``python -m standins.load SETTINGS.json``."""

from standins._eventlet import eventlet

eventlet.monkey_patch()

from standins.load._command import main  # noqa: E402

main()
