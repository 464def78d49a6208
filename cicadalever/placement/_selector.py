"""Choice between the replicas of a service."""

from collections.abc import Callable, Container, Iterable
from enum import StrEnum
from random import Random

from cicadalever.discovery import ReplicaEntry

from ._health import ReplicaHealth

# Cost of a replica relative to an equal one in the own data centre.
REMOTE_FACTOR = 2.0
# Cost of a replica that needs a new connection, which takes some milliseconds.
CONNECT_FACTOR = 1.4
# Cost of a replica that says it is still warming up.
WARMUP_FACTOR = 1.5
# Each expected failure counts like this many answers.
FAILURE_FACTOR = 8.0
# A replica whose oldest read takes this many usual latencies is probably paused.
OVERDUE_LATENCIES = 2.5
OVERDUE_FACTOR = 6.0
# Replicas whose costs differ by less are chosen at random.
EQUAL_COST = 0.05
# Usual latency of a route before its first answer.
INITIAL_LATENCY_S = 0.02
LATENCY_WEIGHT = 0.05
# Age at which a read without answer starts to count against its replica.
MIN_OVERDUE_S = 0.02


class ReadOutcome(StrEnum):
    """How a read ended, as far as its replica is judged by it."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    OVERDUE = "overdue"


class LeastCostSelector:
    """Chooses replicas and learns from how reads end.

    The cost of a replica is the time that a read is expected to take there: its
    relative latency, times the reads that wait before it, with additions for distance,
    a new connection, warm-up, failures, and a read that is overdue. Ejected replicas
    are only chosen when no other is left, or once their trial is due.
    """

    def __init__(self, data_centre: str, rng: Random):
        self.data_centre = data_centre
        self.rng = rng
        self._health: dict[str, ReplicaHealth] = {}
        self._usual_latency: dict[str, float] = {}

    def health(self, replica_id: str) -> ReplicaHealth:
        """Return the observations of a replica."""
        health = self._health.get(replica_id)
        if health is None:
            health = self._health[replica_id] = ReplicaHealth()
        return health

    def forget(self, replica_id: str) -> None:
        """Drop the observations of a replica that is gone."""
        self._health.pop(replica_id, None)

    def usual_latency_s(self, route: str) -> float:
        """Return the usual latency in seconds of one read of a route."""
        return self._usual_latency.get(route, INITIAL_LATENCY_S)

    def choose(
        self,
        replicas: Iterable[ReplicaEntry],
        now: float,
        *,
        route: str,
        exclude: Container[str] = (),
        is_connected: Callable[[str], bool] = lambda replica_id: True,
    ) -> ReplicaEntry | None:
        """Return the replica with the least cost whose id is not in ``exclude``."""
        best, best_cost, best_ejected = None, float("inf"), True
        usual_s = self.usual_latency_s(route)
        for replica in replicas:
            if replica.id in exclude:
                continue
            health = self.health(replica.id)
            is_ejected = health.is_ejected(now)
            if is_ejected and not best_ejected:
                continue
            cost = self._cost(replica, health, now, usual_s)
            if not is_connected(replica.id):
                cost *= CONNECT_FACTOR
            cost *= 1.0 + EQUAL_COST * self.rng.random()
            if cost < best_cost or (best_ejected and not is_ejected):
                best, best_cost, best_ejected = replica, cost, is_ejected
        return best

    def record_start(self, replica_id: str, read: object, now: float) -> None:
        """Count a read that was sent."""
        self.health(replica_id).in_flight[read] = now

    def record_end(
        self, replica_id: str, read: object, end: ReadOutcome, route: str, now: float
    ) -> bool:
        """Count the end of a read; return whether the replica was newly ejected."""
        health = self._health.get(replica_id)
        if health is None:
            return False
        started_at = health.in_flight.pop(read, now)
        latency_s = now - started_at
        usual_s = self.usual_latency_s(route)
        if end is ReadOutcome.ANSWERED:
            self._usual_latency[route] = usual_s + LATENCY_WEIGHT * (
                min(latency_s, 4.0 * usual_s) - usual_s
            )
            health.record_answer(latency_s / usual_s, now)
        elif end is ReadOutcome.OVERDUE:
            health.record_overdue(latency_s / usual_s, now)
        else:
            return health.record_failure(
                now, is_unreachable=end is ReadOutcome.UNREACHABLE
            )
        return False

    def _cost(self, replica, health: ReplicaHealth, now: float, usual_s: float):
        waiting = len(health.in_flight)
        # Reads below the number of slots hardly wait for each other.
        cost = 1.0 + (waiting / replica.slots) ** 2
        cost *= health.expected_cost(now, FAILURE_FACTOR)
        if replica.data_centre != self.data_centre:
            cost *= REMOTE_FACTOR
        if replica.warmup_s > 0.0:
            cost *= WARMUP_FACTOR
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_LATENCIES * usual_s)
        if waiting and health.oldest_read_age_s(now) > overdue_s:
            cost *= OVERDUE_FACTOR
        return cost
