"""The baseline policy: each host alone, for comparison in measurements.

Every host connects to every replica with an equal share of its connections, serves
first come first served, chooses replicas by turns, sends no hedges and repeats a
failed read without a budget.
"""

from collections.abc import Container, Sequence
from itertools import count

from cicadalever.membership import Ownership
from cicadalever.queries import QueryFeatures
from cicadalever.topology import Host, Replica


def baseline_features() -> QueryFeatures:
    """Return a policy without hedging, canaries, retry budget and admission."""
    return QueryFeatures(
        hedging=False, canary=False, budgeted_retries=False, admission=False
    )


class SelfOwnership(Ownership):
    """Lets every host own every replica with its share of the connections."""

    def owner_of(self, replica: Replica) -> Host | None:
        """Return this host."""
        return self.table.self_host

    def quota(self, replica: Replica) -> int:
        """Return the share of the connections of each listed host, at least 1."""
        return max(1, replica.connections // max(1, len(self.table.listed_hosts())))


class RoundRobinSelector:
    """Chooses the replicas of a service by turns."""

    def __init__(self):
        self._turns = count()

    def choose(
        self, candidates: Sequence[Replica], now: float, exclude: Container[str] = ()
    ) -> Replica | None:
        """Return the next replica whose id is not in ``exclude``."""
        usable = [replica for replica in candidates if replica.id not in exclude]
        return usable[next(self._turns) % len(usable)] if usable else None

    def started(self, replica_id: str, now: float) -> None:
        """Do nothing; the choice depends on no measurement."""

    def finished(
        self, replica_id: str, latency_s: float | None, ok: bool, now: float
    ) -> None:
        """Do nothing; the choice depends on no measurement."""
