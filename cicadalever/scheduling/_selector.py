"""The choice of a replica for a read."""

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

# A replica of another data centre is used when it is this much faster.
REMOTE_FACTOR = 2.0

# Scores this close count as equal. Otherwise the least difference would send all
# reads of an idle entry to one replica and leave the other unmeasured.
TIE_FACTOR = 1.1

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
    """Power of two choices on own outstanding reads and observed latencies.

    The score of a replica is its expected latency times one more than the reads that
    this entry has outstanding there, raised by recent failures. A replica that was
    not measured lately counts as average. Replicas of ``data_centre`` are preferred
    unless their score is ``REMOTE_FACTOR`` times that of another. Draining replicas
    are never chosen.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def __init__(self, rng: Random, *, data_centre: str):
        self.rng = rng
        self.data_centre = data_centre
        self._states: dict[str, _ReplicaState] = {}
        self._max_states = MAX_STATES
        self._average_s = INITIAL_LATENCY_S

    def choose(
        self, candidates: Sequence[Replica], now: float, exclude: Container[str] = ()
    ) -> Replica | None:
        """Return a replica whose id is not in ``exclude``, or None if none is left."""
        local = []
        remote = []
        for replica in candidates:
            if replica.draining or replica.id in exclude:
                continue
            is_local = replica.data_centre == self.data_centre
            (local if is_local else remote).append(replica)
        if not remote:
            return self._better_of_two(local, now) if local else None
        if not local:
            return self._better_of_two(remote, now)
        near = self._better_of_two(local, now)
        far = self._better_of_two(remote, now)
        if self._score(near.id, now) > REMOTE_FACTOR * self._score(far.id, now):
            return far
        return near

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

    def _score(self, replica_id: str, now: float) -> float:
        state = self._states.get(replica_id)
        if state is None:
            return max(MIN_LATENCY_S, self._average_s)
        latency_s = max(MIN_LATENCY_S, self._expected_latency(state, now))
        score = latency_s * (state.outstanding + 1)
        if state.failures:
            failures = state.failures * exp(DECAY_PER_S * (state.failed_at - now))
            score *= 1.0 + FAILURE_PENALTY * failures
        return score

    def _better_of_two(self, replicas: list[Replica], now: float) -> Replica:
        total = len(replicas)
        if total == 1:
            return replicas[0]
        # The offset makes the two distinct and their order random, which breaks ties.
        first = int(self.rng.random() * total)
        second = (first + 1) % total
        if total > 2:
            second = (first + 1 + int(self.rng.random() * (total - 1))) % total
        one = replicas[first]
        other = replicas[second]
        if TIE_FACTOR * self._score(other.id, now) < self._score(one.id, now):
            return other
        return one

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
