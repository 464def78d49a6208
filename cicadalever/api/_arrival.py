"""Time at which a request may have arrived, for processes that are paused."""

# A gap between two ticks counts as a pause if it is longer than this.
MIN_PAUSE_S = 0.5
# Requests that are read within this time after a pause may have arrived during it.
AFTER_PAUSE_S = 0.25


class ArrivalClock:
    """Tells the earliest time at which a request that is read now may have arrived.

    A paused process reads a request only after it resumes, and would count the deadline
    of its caller from then. ``tick`` has to be called several times a second. Times are
    on one monotonic clock in seconds.

    >>> clock = ArrivalClock(10.0)
    >>> clock.tick(10.1)
    >>> clock.earliest_arrival(10.2), clock.earliest_arrival(13.2)
    (10.2, 10.1)
    >>> clock.tick(13.2)
    >>> clock.earliest_arrival(13.3)
    10.1
    >>> clock.tick(13.6)
    >>> clock.tick(13.9)
    >>> clock.earliest_arrival(14.0)
    14.0
    """

    def __init__(self, started_at: float):
        self._ticked_at = started_at
        self._pause_started_at = started_at
        self._resumed_at = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self._ticked_at > MIN_PAUSE_S:
            self._pause_started_at = self._ticked_at
            self._resumed_at = now
        self._ticked_at = now

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which a request read ``now`` may have come."""
        if now - self._ticked_at > MIN_PAUSE_S:
            # The process has resumed and not ticked yet.
            return self._ticked_at
        if now - self._resumed_at < AFTER_PAUSE_S:
            return self._pause_started_at
        return now
