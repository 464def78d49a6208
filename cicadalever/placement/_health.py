"""Latency, failures and reads in flight that a host observed at one replica."""

from math import exp, log

# Weight of the newest read in the moving average of the relative latency.
RELATIVE_LATENCY_WEIGHT = 0.25
# Weight of the newest read in the moving average of the failure rate.
FAILURE_WEIGHT = 0.25
# Half-life of the weight of observations, so that a replica that was avoided is tried
# again.
HALF_LIFE_S = 4.0
DECAY_PER_S = log(2.0) / HALF_LIFE_S
# Bounds of one observation, so that a single outlier does not exclude a replica.
MAX_RELATIVE_LATENCY = 8.0
MIN_RELATIVE_LATENCY = 0.25
# Consecutive failures after which a replica is ejected.
EJECT_AFTER_FAILURES = 3
# Bounds of the time for which a replica is ejected before a trial read; each failed
# trial doubles it.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Time for which a replica with an overdue read is avoided: about as long as a short
# pause of a replica. It doubles up to the maximum each time that the replica is late
# again soon after it was tried again.
MIN_AVOIDANCE_S = 0.15
MAX_AVOIDANCE_S = 1.2
# A replica that was not late for this long is avoided for the minimum again.
AVOIDANCE_MEMORY_S = 2.0


class ReplicaHealth:
    """Reads in flight, relative latency, failure rate and ejection of one replica.

    The relative latency of a read is its latency divided by the usual latency of its
    route, so that reads of different routes can be compared; 1 is usual. Times are on
    one monotonic clock in seconds.
    """

    __slots__ = (
        "_ejected_until",
        "_ejection_s",
        "_failure_rate",
        "_consecutive_failures",
        "_updated_at",
        "_relative_latency",
        "_unreachable",
        "_avoidance_s",
        "_avoided_until",
        "_is_proven",
        "in_flight",
    )

    def __init__(self):
        # Start times by read, oldest first because dicts keep the insertion order.
        self.in_flight: dict[object, float] = {}
        self._relative_latency = 1.0
        self._failure_rate = 0.0
        self._updated_at = float("-inf")
        self._consecutive_failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._ejected_until = float("-inf")
        self._unreachable = False
        self._avoidance_s = MIN_AVOIDANCE_S
        self._avoided_until = float("-inf")
        self._is_proven = False

    @property
    def is_proven(self) -> bool:
        """Whether a read was answered since the replica is known or was ejected."""
        return self._is_proven

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempt to reach the replica failed."""
        return self._unreachable

    @property
    def consecutive_failures(self) -> int:
        """Number of failed reads since the last answer."""
        return self._consecutive_failures

    def is_ejected(self, now: float) -> bool:
        """Return whether the replica is ejected until a later trial read."""
        return now < self._ejected_until

    def is_avoided(self, now: float) -> bool:
        """Return whether the replica was late a short time ago."""
        return now < self._avoided_until

    def avoid(self, now: float) -> None:
        """Record that a read of this host or of another one is overdue."""
        if self.is_avoided(now):
            return
        if now - self._avoided_until <= AVOIDANCE_MEMORY_S:
            self._avoidance_s = min(MAX_AVOIDANCE_S, 2.0 * self._avoidance_s)
        else:
            self._avoidance_s = MIN_AVOIDANCE_S
        self._avoided_until = now + self._avoidance_s

    def oldest_read_age_s(self, now: float) -> float:
        """Return the age of the oldest read in flight in seconds, or 0 without any."""
        for started_at in self.in_flight.values():
            return now - started_at
        return 0.0

    def relative_latency(self, now: float) -> float:
        """Return the expected relative latency.

        It decays towards 1 while there are no observations.
        """
        return 1.0 + (self._relative_latency - 1.0) * self._decay_factor(now)

    def failure_rate(self, now: float) -> float:
        """Return the expected share of failed reads, 0 to 1.

        It decays towards 0 while there are no observations.
        """
        return self._failure_rate * self._decay_factor(now)

    def expected_cost(self, now: float, failure_factor: float) -> float:
        """Return the expected relative latency including the cost of failures.

        An expected failure costs as much as ``failure_factor`` answers.
        """
        decay = self._decay_factor(now)
        relative_latency = 1.0 + (self._relative_latency - 1.0) * decay
        return relative_latency * (1.0 + failure_factor * self._failure_rate * decay)

    def record_answer(self, relative_latency: float, now: float) -> None:
        """Record an answer, which ends an ejection."""
        relative_latency = min(
            MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, relative_latency)
        )
        expected = self.relative_latency(now)
        self._failure_rate = self.failure_rate(now) * (1.0 - FAILURE_WEIGHT)
        self._relative_latency = expected + RELATIVE_LATENCY_WEIGHT * (
            relative_latency - expected
        )
        self._updated_at = now
        self._consecutive_failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._ejected_until = float("-inf")
        self._unreachable = False
        self._is_proven = True

    def record_connected(self) -> None:
        """Record that the replica accepts connections, which ends an ejection."""
        self._ejected_until = float("-inf")
        self._unreachable = False

    def record_overdue(self, relative_latency: float, now: float) -> None:
        """Record a read that was abandoned without an answer.

        ``relative_latency`` is its age by then. It can only raise the average, since
        the answer would have taken longer.
        """
        expected = self.relative_latency(now)
        relative_latency = min(MAX_RELATIVE_LATENCY, max(expected, relative_latency))
        self._failure_rate = self.failure_rate(now)
        self._relative_latency = expected + RELATIVE_LATENCY_WEIGHT * (
            relative_latency - expected
        )
        self._updated_at = now

    def record_failure(self, now: float, *, is_unreachable: bool = False) -> bool:
        """Record a failed read and return whether it ejected the replica.

        A replica that does not accept connections (``is_unreachable``) is ejected at
        once, and so is one that fails its first read after an ejection. The result is
        False if the replica was ejected already.
        """
        is_trial = self._ejected_until > float("-inf")
        relative_latency, rate = self.relative_latency(now), self.failure_rate(now)
        self._relative_latency = relative_latency
        self._failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate)
        self._updated_at = now
        self._consecutive_failures += 1
        self._unreachable = is_unreachable
        if not (
            is_unreachable
            or is_trial
            or self._consecutive_failures >= EJECT_AFTER_FAILURES
        ):
            return False
        was_ejected = self.is_ejected(now)
        self._is_proven = False
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, 2.0 * self._ejection_s)
        return not was_ejected

    def reset(self) -> None:
        """Discard all observations, because the replica was restarted.

        Reads in flight are kept, since their ends are still to be recorded.
        """
        in_flight = self.in_flight
        self.__init__()
        self.in_flight = in_flight

    def _decay_factor(self, now: float) -> float:
        return exp(DECAY_PER_S * (self._updated_at - now))
