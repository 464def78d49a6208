"""Selection of the replica of a service that gets a read."""

from collections.abc import Callable, Container, Iterable
from enum import StrEnum
from random import Random

from cicadalever.discovery import ReplicaEntry

from ._health import ReplicaHealth

# Cost factor of a replica in another data centre.
REMOTE_FACTOR = 2.0
# Cost factor of a replica without an idle connection: connecting takes a few
# milliseconds.
CONNECT_FACTOR = 1.4
# Cost factor of a replica whose entry says that it is warming up.
WARMUP_FACTOR = 1.5
# An expected failure costs as much as this many answers.
FAILURE_FACTOR = 8.0
# A replica is probably paused when its oldest read in flight is older than this many
# usual latencies; its cost is then multiplied by ``OVERDUE_FACTOR``.
OVERDUE_LATENCIES = 2.5
OVERDUE_FACTOR = 6.0
# Cost factor of a replica that this host or another one found late.
AVOIDED_FACTOR = 4.0
# Width of the random factor on each cost, so that replicas whose costs differ by less
# are chosen at random.
COST_JITTER = 0.05
# Usual latency assumed for a route before its first answer.
INITIAL_LATENCY_S = 0.02
# Weight of the newest answer in the moving average of the usual latency.
LATENCY_WEIGHT = 0.05
# Standing of a replica that is ejected and a last resort.
_WORST_STANDING = 3
# Least age at which a read can count as overdue, whatever the usual latency.
MIN_OVERDUE_S = 0.02


class ReadOutcome(StrEnum):
    """How a read ended, as far as it concerns the health of its replica.

    ``OVERDUE`` is a read that was abandoned without an answer. ``UNREACHABLE`` is a
    read that could not be sent, or that another replica received at the address.
    ``DEFERRED`` is a read that the replica or this host has put off, which tells
    nothing about the health of the replica.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    OVERDUE = "overdue"
    DEFERRED = "deferred"


class LeastCostSelector:
    """Selects the replica with the least expected cost for each read.

    The cost of a replica is its expected relative latency, multiplied by factors for
    failures, reads in flight, another data centre, a new connection, warm-up and an
    overdue read. A replica that has not answered counts with no more slots than any
    other one of its service. An ejected replica is chosen only when no other one is
    left. After its ejection it is compared with the others again, and its next read is
    a trial.
    """

    def __init__(self, data_centre: str, rng: Random):
        self.data_centre = data_centre
        self.rng = rng
        self._health: dict[str, ReplicaHealth] = {}
        self._usual_latencies_s: dict[str, float] = {}

    def health(self, replica_id: str) -> ReplicaHealth:
        """Return the health of a replica, created on first use."""
        health = self._health.get(replica_id)
        if health is None:
            health = self._health[replica_id] = ReplicaHealth()
        return health

    def forget(self, replica_id: str) -> None:
        """Discard the health of a replica that was removed."""
        self._health.pop(replica_id, None)

    def usual_latency_s(self, route: str) -> float:
        """Return the moving average of the latency of one read of a route."""
        return self._usual_latencies_s.get(route, INITIAL_LATENCY_S)

    def overdue_s(self, route: str) -> float:
        """Return the age in seconds from which a read of a route is overdue."""
        return max(MIN_OVERDUE_S, OVERDUE_LATENCIES * self.usual_latency_s(route))

    def choose(
        self,
        replicas: Iterable[ReplicaEntry],
        now: float,
        *,
        route: str,
        exclude: Container[str] = (),
        is_connected: Callable[[str], bool] = lambda replica_id: True,
        last_resorts: Container[str] = (),
    ) -> ReplicaEntry | None:
        """Return the replica with the least cost, or None when all are excluded.

        ``exclude`` holds ids of replicas. ``is_connected`` returns whether there is an
        idle connection to the replica of an id. Replicas whose ids are in
        ``last_resorts`` are chosen only when all others are ejected or excluded.
        """
        replicas = list(replicas)
        best, best_cost, best_standing = None, float("inf"), _WORST_STANDING
        usual_latency_s = self.usual_latency_s(route)
        least_slots = min((each.slots for each in replicas), default=1)
        for replica in replicas:
            if replica.id in exclude:
                continue
            health = self.health(replica.id)
            standing = 2 * health.is_ejected(now) + (replica.id in last_resorts)
            if standing > best_standing:
                continue
            # A replica that has not answered yet may not be what its entry says, and
            # would otherwise draw as many reads as the entry claims.
            slots = replica.slots if health.is_proven else least_slots
            cost = self._cost(replica, health, now, usual_latency_s, slots)
            if not is_connected(replica.id):
                cost *= CONNECT_FACTOR
            cost *= 1.0 + COST_JITTER * self.rng.random()
            if cost < best_cost or standing < best_standing:
                best, best_cost, best_standing = replica, cost, standing
        return best

    def record_start(self, replica_id: str, read: object, now: float) -> None:
        """Record that a read was sent; ``read`` is its key until it ends."""
        self.health(replica_id).in_flight[read] = now

    def record_end(
        self,
        replica_id: str,
        read: object,
        outcome: ReadOutcome,
        route: str,
        now: float,
    ) -> bool:
        """Record the end of a read and return whether it ejected the replica.

        Reads of a replica that was removed meanwhile are ignored.
        """
        health = self._health.get(replica_id)
        if health is None:
            return False
        started_at = health.in_flight.pop(read, now)
        latency_s = now - started_at
        usual_latency_s = self.usual_latency_s(route)
        if outcome is ReadOutcome.ANSWERED:
            # Capped, so that one slow answer hardly moves the average.
            self._usual_latencies_s[route] = usual_latency_s + LATENCY_WEIGHT * (
                min(latency_s, 4.0 * usual_latency_s) - usual_latency_s
            )
            health.record_answer(latency_s / usual_latency_s, now)
        elif outcome is ReadOutcome.OVERDUE:
            health.record_overdue(latency_s / usual_latency_s, now)
        elif outcome is not ReadOutcome.DEFERRED:
            return health.record_failure(
                now, is_unreachable=outcome is ReadOutcome.UNREACHABLE
            )
        return False

    def _cost(
        self,
        replica: ReplicaEntry,
        health: ReplicaHealth,
        now: float,
        usual_latency_s: float,
        slots: int,
    ) -> float:
        in_flight = len(health.in_flight)
        # Squared, because reads hardly queue while the replica has free slots.
        cost = 1.0 + (in_flight / slots) ** 2
        cost *= health.expected_cost(now, FAILURE_FACTOR)
        if replica.data_centre != self.data_centre:
            cost *= REMOTE_FACTOR
        if replica.warmup_s > 0.0:
            cost *= WARMUP_FACTOR
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_LATENCIES * usual_latency_s)
        if in_flight and health.oldest_read_age_s(now) > overdue_s:
            cost *= OVERDUE_FACTOR
        elif health.is_avoided(now):
            cost *= AVOIDED_FACTOR
        return cost
