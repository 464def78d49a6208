"""Hosts known from heartbeats, and the choice of gatherers and sources among them."""

from random import Random
from typing import NamedTuple

from ._heartbeat import Heartbeat
from ._peer import Address, Capacity, Peer
from ._refuges import Refuges

# Time between two heartbeats to a host that may gather for this one.
HEARTBEAT_PERIOD_S = 0.4
# Time between two heartbeats to the seeds: doubles from the minimum to the maximum.
MIN_SEED_PERIOD_S = 0.5
MAX_SEED_PERIOD_S = 8.0
# Time without a heartbeat after which a host is removed. Longer than the longest period
# of the heartbeats to seeds, so that a seed does not remove hosts between two of them.
FORGET_AFTER_S = 30.0
# Time for which a seed must have run before it reports how many hosts there are. By
# then it has received a heartbeat from each host, even if one was lost, because hosts
# send them to seeds at least every ``MAX_SEED_PERIOD_S``.
COUNT_AFTER_S = 2.0 * MAX_SEED_PERIOD_S
# Most hosts of one data centre that are listed to those which gather queries elsewhere.
MAX_FELLOWS_PER_DATA_CENTRE = 4
# Most hosts of one data centre that are listed as refuges, and most hosts that are
# asked at a time whether they reach the replicas that this host does not.
MAX_REFUGES_PER_DATA_CENTRE = 2
MAX_WITNESSES = 6
# Most hosts to which a host passes on what it heard.
MAX_KNOWN_HOSTS = 1024
# Time between two heartbeats to a host that gathers queries in another data centre, and
# for which it counts as alive after one. Between data centres, each byte counts.
FELLOW_PERIOD_S = 4.0
FELLOW_ALIVE_S = 9.0
# Time for which hosts of a data centre are not asked after one of them failed, because
# mostly the whole data centre is out of reach then. It doubles up to the maximum with
# each further failure.
MIN_FELLOW_PAUSE_S = 1.0
MAX_FELLOW_PAUSE_S = 8.0
# Time for which a seed uses the list of hosts that gather queries before it lists them
# again.
GATHERER_LIST_S = 1.0
# Time for which a host gets no queries after it failed to gather one.
FAILURE_PAUSE_S = 1.0
# The same for a host whose answer had more bytes than one may have. It is alive, so
# that the next query would mostly fare no better.
FAULTY_PAUSE_S = 10.0


class HostCount(NamedTuple):
    """Number of ``hosts`` in a data centre.

    ``similar`` of them have about the capacity of the host for which they are counted.
    """

    hosts: int
    similar: int


class PeerTable:
    """The hosts that this host knows from heartbeats.

    Hosts find each other through the seeds: each host sends heartbeats to the seeds,
    and a seed lists in its reply the hosts that may gather for the sender. The host
    then sends heartbeats to these itself, more often, so that it knows within about a
    second which of them are alive. Times are on one monotonic clock in seconds.
    """

    def __init__(
        self,
        address: Address,
        data_centre: str,
        capacity: Capacity,
        started_at: float,
    ):
        self.address = address
        self.data_centre = data_centre
        self.capacity = capacity
        self.started_at = started_at
        self.refuges = Refuges(data_centre)
        self._peers: dict[Address, Peer] = {}
        self._seeds: list[Address] = []
        self._is_seed = False
        self._seed_period_s = MIN_SEED_PERIOD_S
        self._seeds_due_at = float("-inf")
        self._reported_counts: list[tuple[float, HostCount]] = []
        # Until when the hosts of a data centre are not asked, and for how long they are
        # not asked after the next failure.
        self._fellow_paused_until: dict[str, float] = {}
        self._fellow_pause_s: dict[str, float] = {}
        self._gatherers: dict[str, list[Address]] = {}
        self._gatherers_listed_at = float("-inf")

    @property
    def is_seed(self) -> bool:
        """Whether this host is one of the seeds, to which all hosts send heartbeats."""
        return self._is_seed

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the seeds and make heartbeats to all of them due at once."""
        self._is_seed = self.address in seeds
        self._seeds = [seed for seed in seeds if seed != self.address]
        self._seed_period_s = MIN_SEED_PERIOD_S
        self._seeds_due_at = float("-inf")

    def get(self, address: Address) -> Peer | None:
        """Return the host at an address, or None if it is unknown."""
        return self._peers.get(address)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat and return whether a gatherer became alive by it."""
        if heartbeat.address == self.address:
            return False
        peer = self._get_or_add(heartbeat.address, now)
        was_alive = peer.is_alive(now)
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now
        for address in heartbeat.peers:
            self._get_or_add(address, now)
        for address in heartbeat.fellows:
            if address != self.address:
                self._get_or_add(address, now).fellow_listed_at = now
        if heartbeat.refuges:
            self.refuges.listed = [
                address for address in heartbeat.refuges if address != self.address
            ]
        if peer.fellow_listed_at > float("-inf"):
            # The heartbeat that was answered or received tells both hosts enough.
            peer.heartbeat_due_at = max(
                peer.heartbeat_due_at, now + self._heartbeat_period_s(peer)
            )
        if heartbeat.hosts > 0:
            self._reported_counts.append(
                (now, HostCount(heartbeat.hosts, heartbeat.similar))
            )
        return not was_alive and self._may_gather(peer)

    def announce(self) -> None:
        """Make the next heartbeat to each gatherer due at once."""
        for peer in self._peers.values():
            if self._may_gather(peer) or self._is_fellow(peer):
                peer.heartbeat_due_at = float("-inf")

    def take_due_addresses(self, now: float) -> list[Address]:
        """Return the addresses that should get a heartbeat now.

        Their next heartbeat becomes due one period later.
        """
        addresses = []
        for peer in self._peers.values():
            if now >= peer.heartbeat_due_at and self._needs_heartbeats(peer):
                peer.heartbeat_due_at = now + self._heartbeat_period_s(peer)
                addresses.append(peer.address)
        if now >= self._seeds_due_at:
            self._seeds_due_at = now + self._seed_period_s
            # Most seeds of a new fleet have started together with this host.
            count_at = self.started_at + COUNT_AFTER_S + MIN_SEED_PERIOD_S
            if now < count_at < self._seeds_due_at:
                self._seeds_due_at = count_at
            self._seed_period_s = min(MAX_SEED_PERIOD_S, 2.0 * self._seed_period_s)
            addresses.extend(seed for seed in self._seeds if seed not in addresses)
        return addresses

    def expire(self, before: float, now: float) -> list[Peer]:
        """Remove hosts after ``FORGET_AFTER_S`` without a heartbeat.

        The result lists the gatherers that were alive at the time ``before`` and are
        not any more.
        """
        lost = [
            peer
            for peer in self._peers.values()
            if peer.is_alive(before)
            and not peer.is_alive(now)
            and self._may_gather(peer)
        ]
        silent = [
            address
            for address, peer in self._peers.items()
            if now - max(peer.last_heartbeat_at, peer.known_since) > FORGET_AFTER_S
        ]
        for address in silent:
            del self._peers[address]
        return lost

    def choose_source(
        self, current: Peer | None, now: float, rng: Random
    ) -> Peer | None:
        """Return the host to follow for platform changes, or None for the platform.

        The ``current`` source is kept as long as it is a candidate.
        """
        candidates = [
            peer
            for peer in self._serving_gatherers(now)
            if now >= peer.not_followed_until
        ]
        if current in candidates:
            return current
        return rng.choice(candidates) if candidates else None

    def choose_gatherer(self, version: int, now: float, rng: Random) -> Peer | None:
        """Return the host that should gather a query, or None for this host itself.

        It must have the same ``version`` of the configuration in force: with an older
        one, callers of this host would get answers from a configuration that has
        already been replaced here. A host whose last heartbeat names another version
        is chosen if there is no other: it may have changed since then, and declines at
        once if it has not.
        """
        available = [
            peer
            for peer in self._serving_gatherers(now)
            if now >= peer.no_queries_until
        ]
        if not available:
            return None
        candidates = [
            peer for peer in available if peer.heartbeat.version == version
        ] or available
        return min(candidates, key=lambda peer: (peer.in_flight, rng.random()))

    def record_failure(
        self, peer: Peer, now: float, *, is_faulty: bool = False
    ) -> None:
        """Record that a peer failed to gather a query, and pause queries to it.

        The pause is longer if the peer ``is_faulty``: it sends without end.
        """
        pause_s = FAULTY_PAUSE_S if is_faulty else FAILURE_PAUSE_S
        peer.no_queries_until = max(peer.no_queries_until, now + pause_s)

    def gatherers_for(self, heartbeat: Heartbeat, now: float) -> list[Address]:
        """Return the addresses of hosts that may gather for a heartbeat's sender."""
        capacity = Capacity(heartbeat.link_mbps, heartbeat.cores)
        return [
            peer.address
            for peer in self._recent_hosts(heartbeat.data_centre, now)
            if peer.capacity.is_much_larger_than(capacity)
        ]

    def fellows_for(
        self, heartbeat: Heartbeat, now: float, rng: Random
    ) -> list[Address]:
        """Return hosts that gather queries, if the sender of a heartbeat does so too.

        The result has at most ``MAX_FELLOWS_PER_DATA_CENTRE`` hosts of each data
        centre, selected at random.
        """
        self._update_gatherers(now)
        if heartbeat.address not in self._gatherers.get(heartbeat.data_centre, ()):
            return []
        fellows = []
        for addresses in self._gatherers.values():
            others = [each for each in addresses if each != heartbeat.address]
            count = min(MAX_FELLOWS_PER_DATA_CENTRE, len(others))
            fellows += rng.sample(others, count)
        return fellows

    def refuges_for(
        self, heartbeat: Heartbeat, now: float, rng: Random
    ) -> list[Address]:
        """Return hosts that can take over requests of the sender of a heartbeat.

        The result has at most ``MAX_REFUGES_PER_DATA_CENTRE`` large hosts of each data
        centre, selected at random from those that reach their upstreams.
        """
        self._update_gatherers(now)
        refuges = []
        for addresses in self._gatherers.values():
            others = [
                address
                for address in addresses
                if address != heartbeat.address and self._is_serving(address)
            ]
            count = min(MAX_REFUGES_PER_DATA_CENTRE, len(others))
            refuges += rng.sample(others, count)
        return refuges

    def choose_witnesses(self, rng: Random) -> list[Address]:
        """Return hosts to ask about replicas, at most ``MAX_WITNESSES`` at random."""
        known = dict.fromkeys([*self.refuges.listed, *self.advisers()])
        return rng.sample(list(known), min(MAX_WITNESSES, len(known)))

    def fellows(self) -> list[Address]:
        """Return the other hosts that gather queries, as the seeds listed them."""
        return [peer.address for peer in self._peers.values() if self._is_fellow(peer)]

    def advisers(self) -> list[Address]:
        """Return the seeds and the hosts that gather queries for or beside this one."""
        addresses = dict.fromkeys(self._seeds)
        addresses.update(
            dict.fromkeys(
                peer.address
                for peer in self._peers.values()
                if self._may_gather(peer) or self._is_fellow(peer)
            )
        )
        return list(addresses)

    def known_hosts(self) -> list[Address]:
        """Return at most ``MAX_KNOWN_HOSTS`` hosts with a heartbeat."""
        known = [
            peer.address for peer in self._peers.values() if peer.heartbeat is not None
        ]
        return known[:MAX_KNOWN_HOSTS]

    def choose_fellows(self, version: int, now: float, rng: Random) -> dict[str, Peer]:
        """Return a host of each other data centre that can read shards for this one.

        It must have the same ``version`` of the configuration in force. Hosts that have
        failed since their last heartbeat come last.
        """
        candidates: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            if (
                self._is_fellow(peer)
                and peer.heartbeat.data_centre != self.data_centre
                and peer.heartbeat.version == version
                and peer.heartbeat.is_serving
                and now - peer.last_heartbeat_at <= FELLOW_ALIVE_S
            ):
                candidates.setdefault(peer.heartbeat.data_centre, []).append(peer)
        return {
            data_centre: min(
                peers,
                key=lambda peer: (
                    peer.failed_at >= peer.last_heartbeat_at,
                    peer.in_flight,
                    rng.random(),
                ),
            )
            for data_centre, peers in candidates.items()
            if now >= self._fellow_paused_until.get(data_centre, 0.0)
        }

    def record_fellow_failure(self, peer: Peer, now: float) -> None:
        """Pause queries to the data centre of a peer that did not answer one."""
        peer.failed_at = now
        data_centre = peer.heartbeat.data_centre
        if now < self._fellow_paused_until.get(data_centre, 0.0):
            # Several queries that were sent together count as one failure.
            return
        pause_s = self._fellow_pause_s.get(data_centre, MIN_FELLOW_PAUSE_S)
        self._fellow_paused_until[data_centre] = now + pause_s
        self._fellow_pause_s[data_centre] = min(MAX_FELLOW_PAUSE_S, 2.0 * pause_s)

    def record_fellow_answer(self, peer: Peer) -> None:
        """Record that a peer of another data centre has answered a query."""
        self._fellow_pause_s.pop(peer.heartbeat.data_centre, None)

    def _is_serving(self, address: Address) -> bool:
        peer = self._peers.get(address)
        return peer is not None and peer.heartbeat.is_serving

    def _is_fellow(self, peer: Peer) -> bool:
        """Return whether a seed listed a known peer that gathers queries like this."""
        return peer.heartbeat is not None and peer.fellow_listed_at > float("-inf")

    def _heartbeat_period_s(self, peer: Peer) -> float:
        is_near = self._may_gather(peer) or peer.heartbeat is None
        return HEARTBEAT_PERIOD_S if is_near else FELLOW_PERIOD_S

    def _update_gatherers(self, now: float) -> None:
        if now - self._gatherers_listed_at > GATHERER_LIST_S:
            self._gatherers_listed_at = now
            self._gatherers = self._list_gatherers(now)

    def _list_gatherers(self, now: float) -> dict[str, list[Address]]:
        """Return the hosts without a much larger one in each data centre."""
        capacities: dict[str, list[tuple[Address, Capacity]]] = {
            self.data_centre: [(self.address, self.capacity)]
        }
        for peer in self._peers.values():
            if (
                peer.heartbeat is not None
                and now - peer.last_heartbeat_at <= FORGET_AFTER_S
            ):
                hosts = capacities.setdefault(peer.heartbeat.data_centre, [])
                hosts.append((peer.address, peer.capacity))
        gatherers = {}
        for data_centre, hosts in capacities.items():
            kinds = {capacity for _, capacity in hosts}
            largest = {
                capacity
                for capacity in kinds
                if not any(other.is_much_larger_than(capacity) for other in kinds)
            }
            gatherers[data_centre] = [
                address for address, each in hosts if each in largest
            ]
        return gatherers

    def count_hosts_for(self, heartbeat: Heartbeat, now: float) -> HostCount:
        """Count the hosts in the data centre of a heartbeat's sender.

        ``similar`` counts those with about the capacity of the sender. Both are 0 until
        this host has run for ``COUNT_AFTER_S``.
        """
        capacity = Capacity(heartbeat.link_mbps, heartbeat.cores)
        return self._count_hosts(heartbeat.data_centre, capacity, now)

    def _count_hosts(
        self, data_centre: str, capacity: Capacity, now: float
    ) -> HostCount:
        if now - self.started_at < COUNT_AFTER_S:
            return HostCount(0, 0)
        capacities = [peer.capacity for peer in self._recent_hosts(data_centre, now)]
        if data_centre == self.data_centre:
            capacities.append(self.capacity)
        similar = [
            other
            for other in capacities
            if not other.is_much_larger_than(capacity)
            and not capacity.is_much_larger_than(other)
        ]
        return HostCount(len(capacities), len(similar))

    def reported_count(self, now: float) -> HostCount | None:
        """Return the greatest count reported within ``FORGET_AFTER_S``, or None.

        A smaller one may come from a seed that does not know all hosts. A seed counts
        by itself as well, because the other seeds may be down.
        """
        self._reported_counts = [
            report
            for report in self._reported_counts
            if now - report[0] <= FORGET_AFTER_S
        ]
        counts = [count for _, count in self._reported_counts]
        if self._is_seed:
            own = self._count_hosts(self.data_centre, self.capacity, now)
            counts += [own] if own.hosts else []
        return max(counts, default=None)

    def knows_gatherer(self) -> bool:
        """Return whether a known host, alive or not, may gather for this one."""
        return any(self._may_gather(peer) for peer in self._peers.values())

    def _get_or_add(self, address: Address, now: float) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address)
            peer.known_since = now
        return peer

    def _recent_hosts(self, data_centre: str, now: float) -> list[Peer]:
        """Return the hosts with a heartbeat within ``FORGET_AFTER_S``."""
        return [
            peer
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.heartbeat.data_centre == data_centre
            and now - peer.last_heartbeat_at <= FORGET_AFTER_S
        ]

    def _needs_heartbeats(self, peer: Peer) -> bool:
        """Return whether a peer gathers queries, or has sent no heartbeat yet."""
        return peer.heartbeat is None or self._may_gather(peer) or self._is_fellow(peer)

    def _live_gatherers(self, now: float) -> list[Peer]:
        """Return the live hosts that may gather for this one."""
        return [
            peer
            for peer in self._peers.values()
            if peer.is_alive(now) and self._may_gather(peer)
        ]

    def _serving_gatherers(self, now: float) -> list[Peer]:
        return [peer for peer in self._live_gatherers(now) if peer.heartbeat.is_serving]

    def _may_gather(self, peer: Peer) -> bool:
        return (
            peer.heartbeat is not None
            and peer.heartbeat.data_centre == self.data_centre
            and peer.capacity.is_much_larger_than(self.capacity)
        )
