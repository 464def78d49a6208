"""The choice of a replica for a read."""

from collections import Counter
from collections.abc import Container, Sequence
from math import exp, log
from random import Random

from cicadalever.topology import Replica

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01
MIN_LATENCY_S = 1e-4

# Latencies and failures are forgotten with this half-life. A replica that was slow
# once would otherwise never be chosen and so never be measured again.
HALF_LIFE_S = 5.0
DECAY_PER_S = log(2.0) / HALF_LIFE_S

# Each recent failure makes a replica look this much slower.
FAILURE_PENALTY = 4.0
MAX_FAILURES = 8.0

# Latencies that differ by less count as equal. With six entries that all follow small
# differences, the reads of one service crowd on one of its replicas in turn.
SIMILAR_LATENCY = 2.0

# A load must be this much smaller to count as smaller. The rest of a penalty that has
# almost decayed would otherwise decide for minutes.
EQUAL_LOAD = 0.9

# Replicas leave the configuration unannounced. Unused states are dropped when there
# are more than this many, which is above the 3,200 replicas of the largest fleet.
MAX_STATES = 8192
FORGET_AFTER_S = 600.0


class _ReplicaState:
    """What this entry observed of one replica."""

    __slots__ = ("failed_at", "failures", "latency_s", "measured_at", "outstanding")

    def __init__(self):
        self.outstanding = 0
        self.latency_s = INITIAL_LATENCY_S
        self.measured_at = float("-inf")
        self.failures = 0.0
        self.failed_at = 0.0


class ReplicaSelector:
    """Choice between two replicas on own outstanding reads and observed latencies.

    The replica with fewer outstanding reads of this entry is chosen; replicas with
    equally many take turns. Only a replica that is ``SIMILAR_LATENCY`` times slower, or
    failed lately, counts as that much more loaded. Of more than two replicas, the one
    whose turn it is and a random other one are compared. A replica that was not
    measured lately counts as average. Draining replicas are never chosen.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def __init__(self, rng: Random):
        self.rng = rng
        self._states: dict[str, _ReplicaState] = {}
        self._max_states = MAX_STATES
        self._average_s = INITIAL_LATENCY_S
        self._turns: Counter[str] = Counter()

    def choose(
        self, candidates: Sequence[Replica], now: float, exclude: Container[str] = ()
    ) -> Replica | None:
        """Return a replica whose id is not in ``exclude``, or None if none is left."""
        usable = [
            replica
            for replica in candidates
            if not replica.draining and replica.id not in exclude
        ]
        return self._better_of_two(usable, now) if usable else None

    def started(self, replica_id: str, now: float) -> None:
        """Count a read that was sent to a replica."""
        state = self._states.get(replica_id)
        if state is None:
            state = self._add_state(replica_id, now)
        state.outstanding += 1

    def finished(
        self, replica_id: str, latency_s: float | None, ok: bool, now: float
    ) -> None:
        """Count a read that ended.

        ``latency_s`` is None when the read says nothing about latency, for example
        because it was cancelled. The latency of a failed read is not used, since
        failures are often faster than answers.
        """
        state = self._states.get(replica_id)
        if state is None:
            state = self._add_state(replica_id, now)
        if state.outstanding:
            state.outstanding -= 1
        if not ok:
            failures = state.failures * exp(DECAY_PER_S * (state.failed_at - now))
            state.failures = min(MAX_FAILURES, failures + 1.0)
            state.failed_at = now
        elif latency_s is not None:
            self._measure(state, latency_s, now)

    def _measure(self, state: _ReplicaState, latency_s: float, now: float) -> None:
        expected_s = self._expected_latency(state, now)
        state.latency_s = expected_s + LATENCY_WEIGHT * (latency_s - expected_s)
        state.measured_at = now
        self._average_s += LATENCY_WEIGHT * 0.1 * (latency_s - self._average_s)

    def _expected_latency(self, state: _ReplicaState, now: float) -> float:
        remembered = exp(DECAY_PER_S * (state.measured_at - now))
        return self._average_s + remembered * (state.latency_s - self._average_s)

    def _better_of_two(self, replicas: list[Replica], now: float) -> Replica:
        total = len(replicas)
        if total == 1:
            return replicas[0]
        service = replicas[0].service
        first = self._turns[service] % total
        self._turns[service] += 1
        second = (first + 1) % total
        if total > 2:
            second = (first + 1 + int(self.rng.random() * (total - 1))) % total
        one = replicas[first]
        other = replicas[second]
        return other if self._is_better(other.id, one.id, now) else one

    def _is_better(self, replica_id: str, other_id: str, now: float) -> bool:
        latency_s, load = self._measurements(replica_id, now)
        other_latency_s, other_load = self._measurements(other_id, now)
        ratio = latency_s / other_latency_s
        if 1 / SIMILAR_LATENCY < ratio < SIMILAR_LATENCY:
            ratio = 1.0
        return load * ratio < EQUAL_LOAD * other_load

    def _measurements(self, replica_id: str, now: float) -> tuple[float, float]:
        """Return the expected latency in seconds and one more than the load."""
        state = self._states.get(replica_id)
        if state is None:
            return max(MIN_LATENCY_S, self._average_s), 1.0
        load = state.outstanding + 1.0
        if state.failures:
            failures = state.failures * exp(DECAY_PER_S * (state.failed_at - now))
            load *= 1.0 + FAILURE_PENALTY * failures
        return max(MIN_LATENCY_S, self._expected_latency(state, now)), load

    def _add_state(self, replica_id: str, now: float) -> _ReplicaState:
        if len(self._states) >= self._max_states:
            self._forget_unused(now)
        state = self._states[replica_id] = _ReplicaState()
        return state

    def _forget_unused(self, now: float) -> None:
        oldest = now - FORGET_AFTER_S
        self._states = {
            replica_id: state
            for replica_id, state in self._states.items()
            if state.outstanding or state.measured_at >= oldest
        }
        # Doubling keeps the cost of each new state constant when all are in use.
        self._max_states = max(MAX_STATES, 2 * len(self._states))
