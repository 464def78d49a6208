"""Selection of a replica for a read."""

from collections import Counter
from collections.abc import Container, Sequence
from math import exp, log
from random import Random

from cicadalever.topology import Replica

# Weight of the latest read in the moving average of the latency of its replica. Its
# weight in the average of all replicas is a tenth of this.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01
MIN_LATENCY_S = 1e-4

# Measured latencies decay to the average of all replicas, and failures to 0, with this
# half-life. Otherwise a replica that was slow once would never be chosen, and so never
# be measured, again.
DECAY_HALF_LIFE_S = 5.0
DECAY_PER_S = log(2.0) / DECAY_HALF_LIFE_S

# Each recent failure increases the load of its replica by this multiple.
FAILURE_PENALTY = 4.0
MAX_FAILURES = 8.0

# A replica none of whose reads was answered for this long, although some were sent and
# cancelled, has failed. Shorter pauses are those of a replica that is only slow.
UNANSWERED_TIMEOUT_S = 0.5

# Latencies whose ratio is smaller count as equal. If six entries all followed small
# differences, they would send the reads of a service to one of its replicas at a time.
SIMILAR_LATENCY_RATIO = 2.0

# A load counts as smaller only below this fraction of the other. Otherwise a failure
# penalty that has almost decayed would decide for minutes.
EQUAL_LOAD_RATIO = 0.9

# The selector is not told when replicas leave the configuration. Unused states are
# evicted when there are this many, which is above the 3,200 replicas of the largest
# fleet.
MAX_STATES = 8192
# Time without a measurement after which a state without outstanding reads is unused.
STATE_RETENTION_S = 600.0


class _ReplicaState:
    """What this entry has observed of one replica.

    ``failures`` is the decaying number of failures as of ``failed_at``.
    ``unanswered_since`` is the time of the first read that was cancelled since the last
    answer, or None.
    """

    __slots__ = (
        "failed_at",
        "failures",
        "latency_s",
        "measured_at",
        "outstanding",
        "unanswered_since",
    )

    def __init__(self):
        self.outstanding = 0
        self.latency_s = INITIAL_LATENCY_S
        self.measured_at = float("-inf")
        self.failures = 0.0
        self.failed_at = 0.0
        self.unanswered_since: float | None = None


class ReplicaSelector:
    """Selects the less loaded of two replicas.

    Two replicas of a service are compared: the next in turn and, if there are more than
    two, a random other one. The load of a replica is the number of outstanding reads of
    this entry, increased by recent failures. With equal loads the next in turn is
    selected. If one latency is at least ``SIMILAR_LATENCY_RATIO`` times the other, each
    load is multiplied by the latency of its replica. A replica without recent
    measurements has the average latency. Draining replicas are never selected.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def __init__(self, rng: Random):
        self.rng = rng
        self._states: dict[str, _ReplicaState] = {}
        self._max_states = MAX_STATES
        self._average_latency_s = INITIAL_LATENCY_S
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
        """Record that a read was sent to a replica."""
        state = self._states.get(replica_id)
        if state is None:
            state = self._add_state(replica_id, now)
        state.outstanding += 1

    def finished(
        self, replica_id: str, latency_s: float | None, ok: bool, now: float
    ) -> None:
        """Record that a read ended.

        ``latency_s`` is None if the read has no meaningful latency, for example because
        it was cancelled. The latency of a failed read (``ok`` is False) is not
        used, since failures are often faster than answers. A cancelled read counts as
        failed if the replica has answered no other one for ``UNANSWERED_TIMEOUT_S``:
        hedges would otherwise hide that it is out of reach, until the budget for them
        is used up.
        """
        state = self._states.get(replica_id)
        if state is None:
            state = self._add_state(replica_id, now)
        if state.outstanding:
            state.outstanding -= 1
        if not ok:
            self._record_failure(state, now)
        elif latency_s is not None:
            state.unanswered_since = None
            self._record_latency(state, latency_s, now)
        elif state.unanswered_since is None:
            state.unanswered_since = now
        elif now - state.unanswered_since >= UNANSWERED_TIMEOUT_S:
            self._record_failure(state, now)

    @staticmethod
    def _record_failure(state: _ReplicaState, now: float) -> None:
        failures = state.failures * exp(DECAY_PER_S * (state.failed_at - now))
        state.failures = min(MAX_FAILURES, failures + 1.0)
        state.failed_at = now

    def _record_latency(
        self, state: _ReplicaState, latency_s: float, now: float
    ) -> None:
        expected_s = self._expected_latency(state, now)
        state.latency_s = expected_s + LATENCY_WEIGHT * (latency_s - expected_s)
        state.measured_at = now
        self._average_latency_s += (
            LATENCY_WEIGHT * 0.1 * (latency_s - self._average_latency_s)
        )

    def _expected_latency(self, state: _ReplicaState, now: float) -> float:
        weight = exp(DECAY_PER_S * (state.measured_at - now))
        return self._average_latency_s + weight * (
            state.latency_s - self._average_latency_s
        )

    def _better_of_two(self, replicas: list[Replica], now: float) -> Replica:
        total = len(replicas)
        if total == 1:
            return replicas[0]
        service = replicas[0].service
        first_index = self._turns[service] % total
        self._turns[service] += 1
        second_index = (first_index + 1) % total
        if total > 2:
            second_index = (
                first_index + 1 + int(self.rng.random() * (total - 1))
            ) % total
        first = replicas[first_index]
        second = replicas[second_index]
        return second if self._is_better(second.id, first.id, now) else first

    def _is_better(self, replica_id: str, other_id: str, now: float) -> bool:
        latency_s, load = self._latency_and_load(replica_id, now)
        other_latency_s, other_load = self._latency_and_load(other_id, now)
        ratio = latency_s / other_latency_s
        if 1 / SIMILAR_LATENCY_RATIO < ratio < SIMILAR_LATENCY_RATIO:
            ratio = 1.0
        return load * ratio < EQUAL_LOAD_RATIO * other_load

    def _latency_and_load(self, replica_id: str, now: float) -> tuple[float, float]:
        """Return the expected latency in seconds and the load plus one.

        One is added so that latency and failures count for an idle replica as well.
        """
        state = self._states.get(replica_id)
        if state is None:
            return max(MIN_LATENCY_S, self._average_latency_s), 1.0
        load = state.outstanding + 1.0
        if state.failures:
            failures = state.failures * exp(DECAY_PER_S * (state.failed_at - now))
            load *= 1.0 + FAILURE_PENALTY * failures
        return max(MIN_LATENCY_S, self._expected_latency(state, now)), load

    def _add_state(self, replica_id: str, now: float) -> _ReplicaState:
        if len(self._states) >= self._max_states:
            self._evict_unused_states(now)
        state = self._states[replica_id] = _ReplicaState()
        return state

    def _evict_unused_states(self, now: float) -> None:
        cutoff = now - STATE_RETENTION_S
        self._states = {
            replica_id: state
            for replica_id, state in self._states.items()
            if state.outstanding or state.measured_at >= cutoff
        }
        # Doubling keeps the amortized cost of a new state constant if all are in use.
        self._max_states = max(MAX_STATES, 2 * len(self._states))
