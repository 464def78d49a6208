"""Times at which a host may read a replica that has named a rate limit."""

from math import ceil
from random import Random

from ._share import PERMIT_VALIDITY_S


class PermitSchedule:
    """Permits for single reads, which open at regular intervals.

    The first one opens at a random time, so that hosts that hear of a limit at the same
    moment do not read at the same moment. A permit that is not used within
    ``PERMIT_VALIDITY_S`` is void: saved permits of many hosts would all be used as soon
    as the other replicas fail. Times are on one monotonic clock in seconds, and
    ``rate_per_s`` is above 0.

    >>> permits = PermitSchedule(0.5, now=0.0, rng=Random(1))
    >>> [permits.is_open(now) for now in (0.2, 0.3, 1.2, 1.3, 2.3)]
    [False, True, True, False, True]
    """

    def __init__(self, rate_per_s: float, now: float, rng: Random):
        self._interval_s = 1.0 / rate_per_s
        self._opens_at = now + rng.random() * self._interval_s

    @property
    def rate_per_s(self) -> float:
        """Permits per second."""
        return 1.0 / self._interval_s

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; the time until the next permit changes in proportion."""
        interval_s = 1.0 / rate_per_s
        left_s = max(0.0, self._opens_at - now)
        self._opens_at += left_s * (interval_s / self._interval_s - 1.0)
        self._interval_s = interval_s

    def is_open(self, now: float) -> bool:
        """Return whether a read may be sent now."""
        late_s = now - PERMIT_VALIDITY_S - self._opens_at
        if late_s > 0.0:
            self._opens_at += self._interval_s * ceil(late_s / self._interval_s)
        return now >= self._opens_at

    def take(self) -> None:
        """Use the permit that is open."""
        self._opens_at += self._interval_s
