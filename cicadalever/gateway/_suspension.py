"""Detection of times in which the process did not run."""

from collections.abc import Callable

# A tick that is later than this was delayed by a suspension of the host, not by load.
SUSPENSION_THRESHOLD_S = 1.0
# Time after the end of a suspension in which the process reads what arrived during it.
CATCH_UP_S = 0.1


class SuspensionMonitor:
    """Tells whether the process has just resumed after a suspension.

    Requests that are read then may have waited for as long as the suspension, although
    no clock of the process tells so. ``boot_time`` returns the time since the host was
    booted in seconds, including suspensions; ``tick_s`` is the period of
    ``record_tick``.

    >>> times = iter([0.0, 0.2, 5.0, 5.05, 5.06, 5.2])
    >>> monitor = SuspensionMonitor(times.__next__, tick_s=0.2)
    >>> monitor.has_just_resumed(), monitor.has_just_resumed()
    (False, True)
    >>> monitor.record_tick()
    >>> monitor.has_just_resumed(), monitor.has_just_resumed()
    (True, False)
    """

    def __init__(self, boot_time: Callable[[], float], tick_s: float):
        self._boot_time = boot_time
        self._longest_gap_s = tick_s + SUSPENSION_THRESHOLD_S
        self._ticked_at = boot_time()
        self._caught_up_at = float("-inf")

    def record_tick(self) -> None:
        """Note that the process runs."""
        now = self._boot_time()
        if now - self._ticked_at >= self._longest_gap_s:
            self._caught_up_at = now + CATCH_UP_S
        self._ticked_at = now

    def has_just_resumed(self) -> bool:
        """Return whether a request that is read now may have waited for long."""
        now = self._boot_time()
        has_missed_ticks = now - self._ticked_at >= self._longest_gap_s
        return has_missed_ticks or now < self._caught_up_at
