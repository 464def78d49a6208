"""The hosts that one host knows, and the choice of one that gathers a query for it."""

from random import Random
from typing import NamedTuple

from ._heartbeat import Heartbeat

Address = tuple[str, int]

# A host gathers for another one when neither its link nor its processor is smaller and
# one of them is larger by this factor. The extra hop takes about a millisecond, and
# requests and answers of a wide query take tens of them on the smaller link.
MUCH_LARGER = 2.0
# Time between two heartbeats to a host that may gather for this one.
HEARTBEAT_PERIOD_S = 0.4
# Two lost datagrams in a row must not exclude a host.
ALIVE_S = 1.3
# Time between two heartbeats to the seeds: doubled from the first to the last.
MIN_SEED_PERIOD_S = 0.5
MAX_SEED_PERIOD_S = 8.0
# A host that has been silent for so long is forgotten. Longer than the longest period
# of the heartbeats to seeds, so that a seed does not forget hosts between two of them.
FORGET_S = 30.0
# Time after its start in which a host has heard of all others, which send heartbeats to
# seeds at least every ``MAX_SEED_PERIOD_S``; one heartbeat may be lost.
COUNT_AFTER_S = 2.0 * MAX_SEED_PERIOD_S
# Time for which a host gets no queries after one was lost there.
FAILURE_PAUSE_S = 1.0


class Capacity(NamedTuple):
    """What a host can do; ``cores`` is the sum of its shares of processor cores."""

    link_mbps: float
    cores: float

    def is_much_larger_than(self, other: "Capacity") -> bool:
        """Tell whether this host should gather for one with the ``other`` capacity."""
        link = self.link_mbps / other.link_mbps
        cores = self.cores / other.cores
        return min(link, cores) >= 1.0 and max(link, cores) >= MUCH_LARGER


class HostCount(NamedTuple):
    """Hosts of a data centre, and those of them that are as capable as one of them."""

    hosts: int
    similar: int


class Peer:
    """Another host, as its heartbeats describe it."""

    def __init__(self, address: Address):
        self.address = address
        self.heartbeat: Heartbeat | None = None
        # Queries of this host that the peer is gathering.
        self.in_flight = 0
        self.last_heartbeat_at = float("-inf")
        self.known_since = float("-inf")
        self.heartbeat_due_at = float("-inf")
        self.no_queries_until = float("-inf")
        # Until then the peer is not followed for changes of the platform.
        self.not_followed_until = float("-inf")

    @property
    def capacity(self) -> Capacity | None:
        """What the peer can do, or None before its first heartbeat."""
        heartbeat = self.heartbeat
        return (
            None
            if heartbeat is None
            else Capacity(heartbeat.link_mbps, heartbeat.cores)
        )

    def is_alive(self, now: float) -> bool:
        """Tell whether the peer has been heard lately."""
        return now - self.last_heartbeat_at <= ALIVE_S


class PeerTable:
    """Aggregate of all hosts that this host has heard of.

    Hosts find each other through the seeds: each host sends heartbeats there, and a
    seed names the more capable hosts of the sender's data centre in its reply. To these
    the host then sends heartbeats itself, more often, so that it knows within about a
    second which of them are alive.
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
        self._peers: dict[Address, Peer] = {}
        self._seeds: list[Address] = []
        self._seed_period_s = MIN_SEED_PERIOD_S
        self._seeds_due_at = float("-inf")
        self._counts: list[tuple[float, HostCount]] = []

    def set_seeds(self, seeds: list[Address]) -> None:
        """Take the seeds of the settings; heartbeats go to all of them soon."""
        self._seeds = [seed for seed in seeds if seed != self.address]
        self._seed_period_s = MIN_SEED_PERIOD_S
        self._seeds_due_at = float("-inf")

    def get(self, address: Address) -> Peer | None:
        """Return a known host."""
        return self._peers.get(address)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; return whether a host that may gather has come back."""
        if heartbeat.address == self.address:
            return False
        peer = self._add(heartbeat.address, now)
        was_alive = peer.is_alive(now)
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now
        for address in heartbeat.peers:
            self._add(address, now)
        if heartbeat.hosts > 0:
            self._counts.append((now, HostCount(heartbeat.hosts, heartbeat.similar)))
        return not was_alive and self._may_gather(peer)

    def take_due_addresses(self, now: float) -> list[Address]:
        """Return the addresses that should get a heartbeat now."""
        addresses = []
        for peer in self._peers.values():
            if now >= peer.heartbeat_due_at and self._is_followed(peer):
                peer.heartbeat_due_at = now + HEARTBEAT_PERIOD_S
                addresses.append(peer.address)
        if now >= self._seeds_due_at:
            self._seeds_due_at = now + self._seed_period_s
            self._seed_period_s = min(MAX_SEED_PERIOD_S, 2.0 * self._seed_period_s)
            addresses.extend(seed for seed in self._seeds if seed not in addresses)
        return addresses

    def expire(self, before: float, now: float) -> list[Peer]:
        """Return the gatherers lost since ``before`` and forget long silent hosts."""
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
            if now - max(peer.last_heartbeat_at, peer.known_since) > FORGET_S
        ]
        for address in silent:
            del self._peers[address]
        return lost

    def choose_source(
        self, current: Peer | None, now: float, rng: Random
    ) -> Peer | None:
        """Return the host whose changes this one should follow, or None.

        The ``current`` one is kept as long as it may be followed.
        """
        candidates = [
            peer for peer in self._serving(now) if now >= peer.not_followed_until
        ]
        if current in candidates:
            return current
        return rng.choice(candidates) if candidates else None

    def choose_gatherer(self, version: int, now: float, rng: Random) -> Peer | None:
        """Return the host that should gather a query, or None for this host itself.

        It must have the same ``version`` in force: with an older one it would answer
        from a configuration that callers of this host have already left behind.
        """
        candidates = [
            peer
            for peer in self._serving(now)
            if peer.heartbeat.version == version and now >= peer.no_queries_until
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda peer: (peer.in_flight, rng.random()))

    def record_failure(self, peer: Peer, now: float) -> None:
        """Note that a peer did not gather a query; it is left alone for a while."""
        peer.no_queries_until = now + FAILURE_PAUSE_S

    def gatherers_for(self, heartbeat: Heartbeat, now: float) -> list[Address]:
        """Return the hosts that may gather for the sender of a heartbeat."""
        capacity = Capacity(heartbeat.link_mbps, heartbeat.cores)
        return [
            peer.address
            for peer in self._known_in(heartbeat.data_centre, now)
            if peer.capacity.is_much_larger_than(capacity)
        ]

    def count_hosts_for(self, heartbeat: Heartbeat, now: float) -> HostCount:
        """Return the count for the sender of a heartbeat; zero while unknown."""
        if now - self.started_at < COUNT_AFTER_S:
            return HostCount(0, 0)
        sender = Capacity(heartbeat.link_mbps, heartbeat.cores)
        capacities = [
            peer.capacity for peer in self._known_in(heartbeat.data_centre, now)
        ]
        if heartbeat.data_centre == self.data_centre:
            capacities.append(self.capacity)
        similar = [
            each
            for each in capacities
            if not each.is_much_larger_than(sender)
            and not sender.is_much_larger_than(each)
        ]
        return HostCount(len(capacities), len(similar))

    def reported_count(self, now: float) -> HostCount | None:
        """Return the greatest count that seeds have lately told, or None."""
        self._counts = [each for each in self._counts if now - each[0] <= FORGET_S]
        return max((count for _, count in self._counts), default=None)

    def is_cut_off(self, now: float) -> bool:
        """Tell whether all larger hosts of the data centre are cut off from upstreams.

        They gather most queries of the data centre and find out first.
        """
        alive = self._alive(now)
        return bool(alive) and all(peer.heartbeat.is_cut_off for peer in alive)

    def knows_gatherer(self) -> bool:
        """Tell whether a larger host of the data centre was heard of lately."""
        return any(self._may_gather(peer) for peer in self._peers.values())

    def _add(self, address: Address, now: float) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address)
            peer.known_since = now
        return peer

    def _known_in(self, data_centre: str, now: float) -> list[Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.heartbeat.data_centre == data_centre
            and now - peer.last_heartbeat_at <= FORGET_S
        ]

    def _is_followed(self, peer: Peer) -> bool:
        return peer.heartbeat is None or self._may_gather(peer)

    def _alive(self, now: float) -> list[Peer]:
        """Return the hosts that may gather and were heard lately."""
        return [
            peer
            for peer in self._peers.values()
            if peer.is_alive(now) and self._may_gather(peer)
        ]

    def _serving(self, now: float) -> list[Peer]:
        return [peer for peer in self._alive(now) if peer.heartbeat.is_serving]

    def _may_gather(self, peer: Peer) -> bool:
        return (
            peer.heartbeat is not None
            and peer.heartbeat.data_centre == self.data_centre
            and peer.capacity.is_much_larger_than(self.capacity)
        )
