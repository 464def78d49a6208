"""The number of reads that may run on a replica at once."""

from enum import StrEnum

DECREASE_FACTOR = 0.7

# The limit probes for one more concurrent read every four service times. A faster
# rise makes an upstream with two slots shed every second round.
INCREASE_PER_ROUND = 0.25

SERVICE_TIME_WEIGHT = 0.1


class Feedback(StrEnum):
    """What a finished read says about the load of its replica."""

    OK = "ok"
    SHED = "shed"
    TIMEOUT = "timeout"
    LOST = "lost"
    IGNORED = "ignored"


class AdaptiveLimit:
    """Additive increase, multiplicative decrease of a concurrency limit.

    The limit starts at ``initial`` and stays within ``minimum`` and ``maximum``. It
    falls on ``SHED`` and ``TIMEOUT`` and rises on ``OK`` while it is fully used.
    ``LOST`` and ``IGNORED`` only free the place: a crash says nothing about load.

    After a fall, the reads that ran at that moment and, where ``service_s`` is given,
    one service time must pass before the next fall, so that one burst of shed answers
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
        self._value = float(initial)
        self._in_flight = 0
        self._service_s = 0.0
        self._held_releases = 0
        self._held_until = float("-inf")

    @property
    def limit(self) -> int:
        """The number of reads that may run at once."""
        return int(self._value)

    @property
    def in_flight(self) -> int:
        """The number of reads that run."""
        return self._in_flight

    def try_acquire(self) -> bool:
        """Take a place for one read, if one is free."""
        if self._in_flight >= int(self._value):
            return False
        self._in_flight += 1
        return True

    def release(
        self, feedback: Feedback, now: float, service_s: float | None = None
    ) -> None:
        """Give a place back and adapt the limit.

        ``service_s`` is the time in seconds that the upstream took.
        """
        if self._in_flight == 0:
            raise RuntimeError("release without try_acquire")
        fully_used = self._in_flight >= int(self._value)
        self._in_flight -= 1
        if feedback is Feedback.OK:
            self._learn_service_time(service_s)
            if fully_used:
                self._increase()
        elif feedback is Feedback.SHED or feedback is Feedback.TIMEOUT:
            self._decrease(now)
        if self._held_releases:
            self._held_releases -= 1

    def _learn_service_time(self, service_s: float | None) -> None:
        if service_s is None:
            return
        if not self._service_s:
            self._service_s = service_s
        self._service_s += SERVICE_TIME_WEIGHT * (service_s - self._service_s)

    def _increase(self) -> None:
        raised = self._value + INCREASE_PER_ROUND / self._value
        self._value = min(float(self.maximum), raised)

    def _decrease(self, now: float) -> None:
        if self._held_releases or now < self._held_until:
            return
        self._value = max(float(self.minimum), self._value * DECREASE_FACTOR)
        # The release that caused the fall is counted too; hence the one more.
        self._held_releases = self._in_flight + 1
        self._held_until = now + self._service_s
