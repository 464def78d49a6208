"""Adaptive limit of the reads that may run on a replica at once."""

from enum import StrEnum

DECREASE_FACTOR = 0.7

# While fully used, the limit rises by one concurrent read in four service times. If it
# rose faster, an upstream with two slots would shed reads in every second service time.
INCREASE_PER_SERVICE_TIME = 0.25

# Weight of the latest read in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1


class Feedback(StrEnum):
    """What the result of a read shows about the load of its replica."""

    OK = "ok"
    SHED = "shed"
    TIMEOUT = "timeout"
    LOST = "lost"
    IGNORED = "ignored"


class AdaptiveLimit:
    """A concurrency limit with additive increase and multiplicative decrease.

    The limit starts at ``initial`` and stays within ``minimum`` and ``maximum``. It
    falls on ``SHED`` and ``TIMEOUT`` and rises on ``OK`` while it is fully used.
    ``LOST`` and ``IGNORED`` do not change it, since a crash shows nothing about load.

    It falls again only after as many reads have ended as ran at the last fall and, if
    ``service_s`` is given, one service time has passed, so that a burst of shed reads
    counts once.
    """

    def __init__(self, initial: int, *, minimum: int = 1, maximum: int):
        if not 1 <= minimum <= initial <= maximum:
            raise ValueError(
                "limits must be 1 <= minimum <= initial <= maximum,"
                f" got {minimum}, {initial}, {maximum}"
            )
        self.initial = initial
        self.minimum = minimum
        self.maximum = maximum
        self._exact_limit = float(initial)
        self._in_flight = 0
        self._service_s = 0.0
        self._releases_until_decrease = 0
        self._no_decrease_before = float("-inf")

    @property
    def limit(self) -> int:
        """The number of reads that may run at once."""
        return int(self._exact_limit)

    @property
    def in_flight(self) -> int:
        """The number of running reads."""
        return self._in_flight

    def try_acquire(self) -> bool:
        """Count one more running read; return False if the limit is reached."""
        if self._in_flight >= int(self._exact_limit):
            return False
        self._in_flight += 1
        return True

    def release(
        self, feedback: Feedback, now: float, service_s: float | None = None
    ) -> None:
        """Count one running read less and adapt the limit.

        ``service_s`` is the time in seconds that the upstream took.
        """
        if self._in_flight == 0:
            raise RuntimeError("release without try_acquire")
        was_fully_used = self._in_flight >= int(self._exact_limit)
        self._in_flight -= 1
        if feedback is Feedback.OK:
            self._update_service_time(service_s)
            if was_fully_used:
                self._increase()
        elif feedback is Feedback.SHED or feedback is Feedback.TIMEOUT:
            self._decrease(now)
        if self._releases_until_decrease:
            self._releases_until_decrease -= 1

    def _update_service_time(self, service_s: float | None) -> None:
        if service_s is None:
            return
        if not self._service_s:
            self._service_s = service_s
        self._service_s += SERVICE_TIME_WEIGHT * (service_s - self._service_s)

    def _increase(self) -> None:
        raised = self._exact_limit + INCREASE_PER_SERVICE_TIME / self._exact_limit
        self._exact_limit = min(float(self.maximum), raised)

    def _decrease(self, now: float) -> None:
        if self._releases_until_decrease or now < self._no_decrease_before:
            return
        self._exact_limit = max(
            float(self.minimum), self._exact_limit * DECREASE_FACTOR
        )
        # One more than the running reads, since this release is counted down too.
        self._releases_until_decrease = self._in_flight + 1
        self._no_decrease_before = now + self._service_s
