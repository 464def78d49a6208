"""Timers and socket callbacks on the event loop that all green threads share."""

import time
from collections import deque
from collections.abc import Callable
from typing import Any

from eventlet import hubs
from loguru import logger

# Callbacks with a shorter gap between them belong to one busy period.
IDLE_GAP_S = 0.0005
# Longest busy period that is reported; longer ones are rare and mostly mean that the
# process was suspended.
MAX_BUSY_S = 0.02
# Time between two log lines about the same failure of a callback.
FAILURE_LOG_PERIOD_S = 10.0


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("_timer",)

    def __init__(self, timer: Any):
        self._timer = timer

    def cancel(self) -> None:
        """Prevent the call, unless it has happened."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class EventLoop:
    """Timers and socket callbacks in the hub of eventlet.

    Callbacks must not block. An exception of a callback is logged and counted, and
    affects no other callback. Times are monotonic and in seconds.
    """

    def __init__(self):
        self._failures = 0
        # When each failure was last logged, by callback and type of the exception.
        self._failures_logged_at: dict[tuple[str, type], float] = {}
        # Callbacks that wait for their turn.
        self._turns: deque[Callable[[], None]] = deque()
        self._busy_since = 0.0
        self._idle_since = 0.0

    @property
    def failures(self) -> int:
        """Number of callbacks that have raised an exception."""
        return self._failures

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def run_guarded(self, callback: Callable, *args: Any) -> bool:
        """Call ``callback`` now and return whether it has raised no exception.

        An exception is logged and counted like those of scheduled callbacks, so that
        the code around the call goes on.
        """
        try:
            callback(*args)
        except Exception as error:
            self._record_failure(callback, error)
            return False
        return True

    def busy_s(self) -> float:
        """Return for how long socket callbacks have run without a pause.

        At most ``MAX_BUSY_S``. Data that is read now may have waited in the kernel for
        that long.
        """
        return min(MAX_BUSY_S, time.monotonic() - self._busy_since)

    def call_later(self, seconds: float, callback: Callable, *args: Any) -> Timer:
        """Schedule a call in ``seconds``; negative values count as 0."""
        hub = hubs.get_hub()
        delay_s = max(0.0, seconds)
        return Timer(
            hub.schedule_call_global(delay_s, self.run_guarded, callback, *args)
        )

    def call_at(self, when: float, callback: Callable, *args: Any) -> Timer:
        """Schedule a call at a monotonic time."""
        return self.call_later(when - self.now(), callback, *args)

    def take_turn(self, callback: Callable[[], None]) -> None:
        """Call back after all that is ready now, and after those that wait already.

        One such callback runs for each pass of the loop over the timers that are due
        and the sockets that are ready, so that these go on whatever number waits.
        """
        self._turns.append(callback)
        if len(self._turns) == 1:
            self.call_later(0.0, self._run_turn)

    def watch_read(self, fileno: int, callback: Callable[[], None]) -> Any:
        """Call back when a descriptor is readable; return a handle for ``unwatch``."""
        return self._watch(hubs.get_hub().READ, fileno, callback)

    def watch_write(self, fileno: int, callback: Callable[[], None]) -> Any:
        """Call back when a descriptor is writable; return a handle for ``unwatch``."""
        return self._watch(hubs.get_hub().WRITE, fileno, callback)

    def unwatch(self, handle: Any) -> None:
        """Stop the callbacks of a handle."""
        hubs.get_hub().remove(handle)

    def _run_turn(self) -> None:
        callback = self._turns[0]
        self.run_guarded(callback)
        self._turns.popleft()
        if self._turns:
            self.call_later(0.0, self._run_turn)

    def _watch(self, event: str, fileno: int, callback: Callable[[], None]) -> Any:
        def on_ready(_fileno):
            now = time.monotonic()
            if now - self._idle_since > IDLE_GAP_S:
                self._busy_since = now
            self.run_guarded(callback)
            self._idle_since = time.monotonic()

        def on_removed(*_details):
            self.run_guarded(callback)

        return hubs.get_hub().add(event, fileno, on_ready, on_removed, on_removed)

    def _record_failure(self, callback: Callable, error: Exception) -> None:
        self._failures += 1
        name = getattr(callback, "__qualname__", repr(type(callback)))
        key, now = (name, type(error)), self.now()
        logged_at = self._failures_logged_at.get(key, float("-inf"))
        if now - logged_at >= FAILURE_LOG_PERIOD_S:
            self._failures_logged_at[key] = now
            logger.exception(f"the callback {name} has failed")
