"""Chooses the host that owns a replica and holds the connections to it."""

from collections.abc import Callable
from typing import Any

from cicadalever.topology import Host, Replica

from ._members import MemberTable
from ._rendezvous import order_by_weight, rendezvous_weight

OWNER_ROLE = "owner"
MAX_CANDIDATES = 8
# Two successive host lists usually differ by one host. While a new list is being
# distributed, there may thus be one candidate more than counted, so the connections of
# one candidate are kept in reserve. Up to this number of candidates there is no
# reserve, because it would leave no second candidate to take over the replica.
MAX_CANDIDATES_WITHOUT_RESERVE = 2
# Six times the planned number of replicas. A larger cache is cleared, which removes the
# entries of replicas that no longer exist.
MAX_CACHED_REPLICAS = 20_000


def connection_quota(replica: Replica) -> int:
    """Return how many connections one owner may open: the slots and one for probes."""
    return max(1, min(replica.slots + 1, replica.connections))


def candidate_count(replica: Replica) -> int:
    """Return how many hosts of the replica's data centre may own it.

    >>> candidate_count(Replica("r", "s", "127.0.0.1:9001", "dc1", 2, 12))
    3
    """
    affordable = replica.connections // connection_quota(replica)
    if affordable > MAX_CANDIDATES_WITHOUT_RESERVE:
        affordable -= 1
    return max(1, min(affordable, MAX_CANDIDATES))


class _ReplicaCache:
    """Caches ``compute`` by replica for one generation of the member table."""

    def __init__(self, compute: Callable[[Replica], Any]):
        self.compute = compute
        self._generation = -1
        self._results: dict[str, tuple[Replica, Any]] = {}

    def get(self, replica: Replica, generation: int) -> Any:
        """Return the cached or computed result for a replica."""
        is_outdated = generation != self._generation
        if is_outdated or len(self._results) > MAX_CACHED_REPLICAS:
            self._results.clear()
            self._generation = generation
        cached = self._results.get(replica.id)
        if cached is None or cached[0] != replica:
            cached = (replica, self.compute(replica))
            self._results[replica.id] = cached
        return cached[1]


class Ownership:
    """Chooses the owner of each replica from the member table.

    The candidates are chosen by rendezvous hashing and depend only on the platform's
    list. Hosts that disagree about who is alive therefore choose among the same
    candidates, whose quotas add up to no more than the connections of the replica.
    """

    def __init__(self, table: MemberTable):
        self.table = table
        self._owner_cache = _ReplicaCache(self._find_owner)
        self._local_cache = _ReplicaCache(self._choose_local)
        self._remote_cache = _ReplicaCache(self._choose_remote)
        self._hosts: dict[str, list[Host]] = {}
        self._hosts_generation = -1

    def weight(self, replica: Replica, host: Host) -> int:
        """Return the rendezvous weight of a host for a replica."""
        return rendezvous_weight(replica.id, host.id)

    def candidates(self, replica: Replica) -> tuple[Host, ...]:
        """Return the hosts that may own the replica, in order of preference.

        The local candidates, in the replica's data centre, come first. The remote
        candidates follow as a fallback, those in the replica's region first.
        """
        return self._local_hosts(replica) + self._remote_hosts(replica)

    def quota(self, replica: Replica) -> int:
        """Return how many connections this host may open; 0 if it is no candidate."""
        own_id = self.table.self_host.id
        if any(host.id == own_id for host in self._local_hosts(replica)):
            return connection_quota(replica)
        if any(host.id == own_id for host in self._remote_hosts(replica)):
            return min(connection_quota(replica), self._spare_connections(replica))
        return 0

    def owner_of(self, replica: Replica) -> Host | None:
        """Return the first candidate that is live and not leaving, or None."""
        return self._owner_cache.get(replica, self.table.generation)

    def owned_by_self(self, replica: Replica) -> bool:
        """Tell whether this host owns the replica."""
        owner = self.owner_of(replica)
        return owner is not None and owner.id == self.table.self_host.id

    def platform_watchers(self, data_centre: str) -> tuple[Host, ...]:
        """Return the hosts of a data centre, at most two, that watch the platform."""
        return self.table.delegates(data_centre)

    def _find_owner(self, replica: Replica) -> Host | None:
        # Remote candidates are computed only when they are needed: the weights of all
        # hosts of a large fleet for every replica take seconds to compute after each
        # change of the list.
        for choose in (self._local_hosts, self._remote_hosts):
            for host in choose(replica):
                member = self.table.member(host.id)
                if member is not None and member.may_own:
                    return member.host
        return None

    def _local_hosts(self, replica: Replica) -> tuple[Host, ...]:
        return self._local_cache.get(replica, self.table.listed_hosts_generation)

    def _remote_hosts(self, replica: Replica) -> tuple[Host, ...]:
        return self._remote_cache.get(replica, self.table.listed_hosts_generation)

    def _choose_local(self, replica: Replica) -> tuple[Host, ...]:
        hosts = self._owner_hosts_by_data_centre().get(replica.data_centre, ())
        return tuple(order_by_weight(replica.id, hosts)[: candidate_count(replica)])

    def _choose_remote(self, replica: Replica) -> tuple[Host, ...]:
        spare = self._spare_connections(replica)
        if not spare:
            return ()
        affordable = spare // min(connection_quota(replica), spare)
        count = min(affordable, candidate_count(replica))
        near_regions = {
            member.host.region
            for member in self.table.members()
            if member.host.data_centre == replica.data_centre
        }
        remote = [
            host
            for data_centre, hosts in self._owner_hosts_by_data_centre().items()
            for host in hosts
            if data_centre != replica.data_centre
        ]
        ordered = order_by_weight(replica.id, remote)
        ordered.sort(key=lambda host: host.region not in near_regions)
        return tuple(ordered[:count])

    def _spare_connections(self, replica: Replica) -> int:
        """Return the number of connections that the local candidates cannot use.

        Remote candidates share only these, because in a network partition hosts on
        both sides may own the replica.
        """
        used = len(self._local_hosts(replica)) * connection_quota(replica)
        return max(0, replica.connections - used)

    def _owner_hosts_by_data_centre(self) -> dict[str, list[Host]]:
        """Return the listed hosts with the owner role, by data centre."""
        if self._hosts_generation != self.table.listed_hosts_generation:
            self._hosts_generation = self.table.listed_hosts_generation
            self._hosts = {}
            for host in self.table.listed_hosts():
                if OWNER_ROLE in host.roles:
                    self._hosts.setdefault(host.data_centre, []).append(host)
        return self._hosts
