"""Suspends a green thread until its socket is ready, a timeout or a notification."""

from enum import Enum, auto

import greenlet

from ._eventlet import eventlet


class WakeReason(Enum):
    """What ended a wait."""

    READABLE = auto()
    WRITABLE = auto()
    TIMEOUT = auto()
    NOTIFIED = auto()
    ABORTED = auto()


class Wait:
    """Suspends the current green thread on one file descriptor.

    One call of ``park`` waits for the descriptor, an optional timer and ``notify`` at
    the same time, so that a request can sleep for its service time and still notice
    that its client closed the connection. Only the first event ends a wait; later ones
    are ignored.
    """

    __slots__ = ("_fileno", "_greenlet", "_is_parked")

    def __init__(self, fileno: int):
        self._fileno = fileno
        self._greenlet = None
        self._is_parked = False

    def park(
        self, seconds: float | None = None, *, read: bool = True, write: bool = False
    ) -> WakeReason:
        """Wait for at most ``seconds`` (None: no limit); return what ended the wait.

        With ``write``, the descriptor must become writable and ``read`` is ignored.
        """
        hub = eventlet.hubs.get_hub()
        self._greenlet = greenlet.getcurrent()
        self._is_parked = True
        timer = listener = None
        if seconds is not None:
            timer = hub.schedule_call_global(seconds, self._deliver, WakeReason.TIMEOUT)
        if write:
            listener = self._listen(hub, hub.WRITE, self._on_writable)
        elif read:
            listener = self._listen(hub, hub.READ, self._on_readable)
        try:
            return hub.switch()
        finally:
            self._is_parked = False
            if listener is not None:
                hub.remove(listener)
            if timer is not None:
                timer.cancel()

    def notify(self, wake: WakeReason = WakeReason.NOTIFIED) -> None:
        """End the wait from another green thread; no effect if none waits."""
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(0, self._deliver, wake)

    def _listen(self, hub, event, callback):
        return hub.add(event, self._fileno, callback, self._on_error, self._on_closed)

    def _on_readable(self, _fileno) -> None:
        self._deliver(WakeReason.READABLE)

    def _on_writable(self, _fileno) -> None:
        self._deliver(WakeReason.WRITABLE)

    def _on_error(self, *_error) -> None:
        self._deliver(WakeReason.ABORTED)

    def _on_closed(self) -> None:
        self._deliver(WakeReason.ABORTED)

    def _deliver(self, wake: WakeReason) -> None:
        if self._is_parked:
            self._is_parked = False
            self._greenlet.switch(wake)
