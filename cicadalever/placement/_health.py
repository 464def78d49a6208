"""What a host observed of one replica."""

from math import exp, log

# Weight of the newest answer in the mean relative latency of a replica.
RELATIVE_LATENCY_WEIGHT = 0.25
# Weight of the newest answer in the share of failed reads.
FAILURE_WEIGHT = 0.25
# Observations lose half of their weight in this time, so that a replica that was
# avoided is tried again.
HALF_LIFE_S = 4.0
DECAY_PER_S = log(2.0) / HALF_LIFE_S
# Bounds of one observed relative latency: one outlier must not exclude a replica.
MAX_RELATIVE_LATENCY = 8.0
MIN_RELATIVE_LATENCY = 0.25
# Failures in a row after which a replica is only tried now and then.
EJECT_AFTER_FAILURES = 3
# Times between trials of an ejected replica; each failed trial doubles the time.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


class ReplicaHealth:
    """Relative latency, failures and reads in flight of one replica.

    The relative latency of an answer is its latency divided by the usual latency of its
    route, so that reads of different routes can be compared; 1 is usual.
    """

    __slots__ = (
        "_ejected_until",
        "_ejection_s",
        "_failure_rate",
        "_consecutive_failures",
        "_measured_at",
        "_relative_latency",
        "_unreachable",
        "in_flight",
    )

    def __init__(self):
        # Start times of the reads in flight, by read; insertion keeps them in order.
        self.in_flight: dict[object, float] = {}
        self._relative_latency = 1.0
        self._failure_rate = 0.0
        self._measured_at = float("-inf")
        self._consecutive_failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._ejected_until = float("-inf")
        self._unreachable = False

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempt to reach the replica failed."""
        return self._unreachable

    @property
    def consecutive_failures(self) -> int:
        """Number of failures since the last answer."""
        return self._consecutive_failures

    def is_ejected(self, now: float) -> bool:
        """Tell whether the replica should get no reads before its next trial."""
        return now < self._ejected_until

    def oldest_read_age_s(self, now: float) -> float:
        """Return the age of the oldest read in flight in seconds."""
        for started_at in self.in_flight.values():
            return now - started_at
        return 0.0

    def relative_latency(self, now: float) -> float:
        """Return the expected relative latency; decays to 1 without observations."""
        return 1.0 + (self._relative_latency - 1.0) * self._decay(now)

    def failure_rate(self, now: float) -> float:
        """Return the expected share of failing reads, 0 to 1."""
        return self._failure_rate * self._decay(now)

    def expected_cost(self, now: float, failure_factor: float) -> float:
        """Return the relative latency, increased by the expected failures."""
        decay = self._decay(now)
        relative_latency = 1.0 + (self._relative_latency - 1.0) * decay
        return relative_latency * (1.0 + failure_factor * self._failure_rate * decay)

    def record_answer(self, relative_latency: float, now: float) -> None:
        """Count an answer."""
        relative_latency = min(
            MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, relative_latency)
        )
        expected = self.relative_latency(now)
        self._failure_rate = self.failure_rate(now) * (1.0 - FAILURE_WEIGHT)
        self._relative_latency = expected + RELATIVE_LATENCY_WEIGHT * (
            relative_latency - expected
        )
        self._measured_at = now
        self._consecutive_failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._ejected_until = float("-inf")
        self._unreachable = False

    def record_connected(self) -> None:
        """Note that the replica accepts connections again."""
        self._ejected_until = float("-inf")
        self._unreachable = False

    def record_overdue(self, relative_latency: float, now: float) -> None:
        """Count a read that was given up after ``relative_latency`` without answer."""
        expected = self.relative_latency(now)
        relative_latency = min(MAX_RELATIVE_LATENCY, max(expected, relative_latency))
        self._failure_rate = self.failure_rate(now)
        self._relative_latency = expected + RELATIVE_LATENCY_WEIGHT * (
            relative_latency - expected
        )
        self._measured_at = now

    def record_failure(self, now: float, *, is_unreachable: bool = False) -> bool:
        """Count a failed read; return whether the replica was newly ejected.

        ``is_unreachable`` tells that the replica does not accept connections, which
        ejects it at once.
        """
        relative_latency, rate = self.relative_latency(now), self.failure_rate(now)
        self._relative_latency = relative_latency
        self._failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate)
        self._measured_at = now
        self._consecutive_failures += 1
        self._unreachable = is_unreachable
        if not is_unreachable and self._consecutive_failures < EJECT_AFTER_FAILURES:
            return False
        was_ejected = self.is_ejected(now)
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, 2.0 * self._ejection_s)
        return not was_ejected

    def reset(self) -> None:
        """Forget everything: the replica was replaced by a new start."""
        in_flight = self.in_flight
        self.__init__()
        self.in_flight = in_flight

    def _decay(self, now: float) -> float:
        return exp(DECAY_PER_S * (self._measured_at - now))
