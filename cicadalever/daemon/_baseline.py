"""The baseline policy, which measurements compare with: hosts do not cooperate.

Every host connects to every replica and uses an equal share of its connections. It
serves requests first come first served, selects replicas round-robin, sends no hedges
and retries failed reads without a budget.
"""

from collections.abc import Container, Sequence
from itertools import count

from cicadalever.membership import Ownership
from cicadalever.queries import QueryFeatures
from cicadalever.topology import Host, Replica


def baseline_features() -> QueryFeatures:
    """Return features without hedging, canaries, retry budget and admission control."""
    return QueryFeatures(
        hedging=False, canary=False, budgeted_retries=False, admission=False
    )


class SelfOwnership(Ownership):
    """Ownership in which each host regards itself as the owner of every replica."""

    def owner_of(self, replica: Replica) -> Host | None:
        """Return this host."""
        return self.table.self_host

    def quota(self, replica: Replica) -> int:
        """Return how many connections each listed host may open, at least 1."""
        return max(1, replica.connections // max(1, len(self.table.listed_hosts())))


class RoundRobinSelector:
    """Selects replicas round-robin, in place of ``ReplicaSelector``."""

    def __init__(self):
        self._turns = count()

    def choose(
        self, candidates: Sequence[Replica], now: float, exclude: Container[str] = ()
    ) -> Replica | None:
        """Return the next replica whose id is not in ``exclude``."""
        usable = [replica for replica in candidates if replica.id not in exclude]
        return usable[next(self._turns) % len(usable)] if usable else None

    def started(self, replica_id: str, now: float) -> None:
        """Do nothing, since the selection uses no measurements."""

    def finished(
        self, replica_id: str, latency_s: float | None, ok: bool, now: float
    ) -> None:
        """Do nothing, since the selection uses no measurements."""
