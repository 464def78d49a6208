"""Signals that may arrive before a program can act on them."""

import os
import signal
from collections.abc import Callable


class ProcessSignals:
    """Handles SIGHUP, SIGTERM and SIGINT from the first statements of a program on.

    SIGHUP asks to read the settings again; its default action would end a process that
    is still loading. Until ``follow``, it is noted, and SIGTERM and SIGINT end the
    process at once.

    >>> signals = ProcessSignals()
    >>> signals.request_reload()
    >>> signals.follow(on_stop=lambda: None, on_reload=lambda: print("reload"))
    reload
    """

    def __init__(self):
        self._reload_requested = False
        self._on_stop: Callable[[], None] = _exit
        self._on_reload: Callable[[], None] | None = None

    def install(self) -> None:
        """Take the signals from now on."""
        signal.signal(signal.SIGHUP, lambda *_: self.request_reload())
        signal.signal(signal.SIGTERM, lambda *_: self._on_stop())
        signal.signal(signal.SIGINT, lambda *_: self._on_stop())

    def request_reload(self) -> None:
        """Handle SIGHUP."""
        if self._on_reload is None:
            self._reload_requested = True
        else:
            self._on_reload()

    def forget_reload(self) -> None:
        """Forget what was noted; to be called just before the settings are read."""
        self._reload_requested = False

    def follow(
        self, on_stop: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Call back from now on, and at once for a reload that was noted."""
        self._on_stop, self._on_reload = on_stop, on_reload
        if self._reload_requested:
            on_reload()


def _exit() -> None:
    # Nothing has been accepted or written that an orderly end would have to finish.
    os._exit(0)
