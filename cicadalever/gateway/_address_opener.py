"""Opens the addresses of a process as soon as they are free."""

from collections.abc import Callable

from cicadalever.wire import EventLoop

from ._events import EventLog


class AddressOpener:
    """Opens addresses, and tries again while that fails.

    An address may be taken for a moment, for example by a process that still ends. The
    first failure is logged, and when the address is open after all. ``is_stopped`` ends
    the attempts.
    """

    def __init__(self, loop: EventLoop, events: EventLog):
        self.loop = loop
        self.events = events
        self.is_stopped = False

    def open(self, name: str, start: Callable[[], None], period_s: float) -> None:
        """Call ``start`` every ``period_s`` seconds until it raises no ``OSError``.

        The events are called after ``name``.
        """
        self._try(name, start, period_s, None)

    def _try(
        self,
        name: str,
        start: Callable[[], None],
        period_s: float,
        failed_at: float | None,
    ) -> None:
        if self.is_stopped:
            return
        now = self.loop.now()
        try:
            start()
        except OSError as error:
            if failed_at is None:
                failed_at = now
                self.events.emit(f"{name}_unavailable", reason=str(error))
            self.loop.call_later(period_s, self._try, name, start, period_s, failed_at)
            return
        if failed_at is not None:
            seconds = round(now - failed_at, 2)
            self.events.emit(f"{name}_available", seconds=seconds)
