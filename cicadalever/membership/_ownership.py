"""Which host holds the connections to a replica."""

from typing import NamedTuple

from cicadalever.topology import Host, Replica

from ._members import MemberTable
from ._weights import order_by_weight, weight

OWNER_ROLE = "owner"
MAX_CANDIDATES = 8
# Two successive host lists usually differ by one host, so one candidate more than
# counted may exist for a moment. Below this number a reserve would cost the takeover.
HEADROOM_ABOVE = 2
# Six times the replicas planned for; entries of removed replicas are dropped with it.
MAX_CACHED_REPLICAS = 20_000


def connection_quota(replica: Replica) -> int:
    """Return the connections of one owner: one more than the slots, for probes."""
    return max(1, min(replica.slots + 1, replica.connections))


def candidate_count(replica: Replica) -> int:
    """Return how many hosts of the replica's data centre may own it.

    >>> candidate_count(Replica("r", "s", "127.0.0.1:9001", "dc1", 2, 12))
    3
    """
    affordable = replica.connections // connection_quota(replica)
    if affordable > HEADROOM_ABOVE:
        affordable -= 1
    return max(1, min(affordable, MAX_CANDIDATES))


class _Candidates(NamedTuple):
    replica: Replica
    hosts: tuple[Host, ...]
    quota: int


class _Owner(NamedTuple):
    replica: Replica
    host: Host | None


class Ownership:
    """Chooses the owner of each replica from the member table.

    The candidates depend only on the platform's list. Hosts that disagree about who
    is alive therefore choose among the same candidates, whose quotas add up to no
    more than the connections of the replica.
    """

    def __init__(self, table: MemberTable):
        self.table = table
        self._candidates: dict[str, _Candidates] = {}
        self._candidates_generation = -1
        self._owners: dict[str, _Owner] = {}
        self._owners_generation = -1

    def weight(self, replica: Replica, host: Host) -> int:
        """Return the weight of a host for a replica."""
        return weight(replica.id, host.id)

    def candidates(self, replica: Replica) -> tuple[Host, ...]:
        """Return the hosts that may own the replica, in order of preference.

        The hosts of its own data centre come first, then the fallback in other data
        centres, those in the same region first.
        """
        return self._entry(replica).hosts

    def quota(self, replica: Replica) -> int:
        """Return how many connections this host may open; 0 if it is no candidate."""
        return self._entry(replica).quota

    def owner_of(self, replica: Replica) -> Host | None:
        """Return the first candidate that is live and not leaving."""
        if self._owners_generation != self.table.generation:
            self._owners.clear()
            self._owners_generation = self.table.generation
        cached = self._owners.get(replica.id)
        if cached is not None and cached.replica == replica:
            return cached.host
        owner = self._find_owner(replica)
        self._owners[replica.id] = _Owner(replica, owner)
        return owner

    def owned_by_self(self, replica: Replica) -> bool:
        """Tell whether this host owns the replica."""
        owner = self.owner_of(replica)
        return owner is not None and owner.id == self.table.self_host.id

    def watchers(self, data_centre: str) -> tuple[Host, ...]:
        """Return the up to two hosts of a data centre that watch the platform."""
        return self.table.delegates(data_centre)

    def _find_owner(self, replica: Replica) -> Host | None:
        for host in self.candidates(replica):
            member = self.table.member(host.id)
            if member is not None and member.may_own:
                return member.host
        return None

    def _entry(self, replica: Replica) -> _Candidates:
        is_outdated = self._candidates_generation != self.table.roster_generation
        if is_outdated or len(self._candidates) > MAX_CACHED_REPLICAS:
            self._candidates.clear()
            self._owners.clear()
            self._candidates_generation = self.table.roster_generation
        cached = self._candidates.get(replica.id)
        if cached is None or cached.replica != replica:
            cached = self._candidates[replica.id] = self._choose(replica)
        return cached

    def _choose(self, replica: Replica) -> _Candidates:
        roster = self.table.roster()
        ordered = order_by_weight(
            replica.id, (host for host in roster if OWNER_ROLE in host.roles)
        )
        count = candidate_count(replica)
        quota = connection_quota(replica)
        local = [h for h in ordered if h.data_centre == replica.data_centre][:count]
        # The fallback gets only connections that the local candidates cannot use:
        # in a partition both sides may believe that they own the replica.
        spare = max(0, replica.connections - len(local) * quota)
        fallback_quota = min(quota, spare)
        fallback_count = min(count, spare // fallback_quota) if spare else 0
        remote = self._order_remote(replica, roster, ordered)[:fallback_count]
        return _Candidates(
            replica,
            (*local, *remote),
            self._own_quota(local, quota) or self._own_quota(remote, fallback_quota),
        )

    def _own_quota(self, hosts: list[Host], quota: int) -> int:
        is_candidate = any(host.id == self.table.self_host.id for host in hosts)
        return quota if is_candidate else 0

    @staticmethod
    def _order_remote(
        replica: Replica, roster: tuple[Host, ...], ordered: list[Host]
    ) -> list[Host]:
        """Return hosts of other data centres, those in the replica's region first."""
        regions = {h.region for h in roster if h.data_centre == replica.data_centre}
        remote = [h for h in ordered if h.data_centre != replica.data_centre]
        return sorted(remote, key=lambda host: host.region not in regions)
