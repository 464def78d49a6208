"""Hosts that can take over requests of a host without links to its upstreams."""

from collections.abc import Iterable
from random import Random

from ._heartbeat import Heartbeat
from ._peer import Address, Capacity, Peer

# Time for which a host takes over requests after it has reported its state.
REFUGE_ALIVE_S = 1.3
# Factor by which a host of another data centre counts as more loaded.
REMOTE_FACTOR = 2.0
# Most hosts that are kept.
MAX_REFUGES = 64


class Refuges:
    """Hosts that have recently reported that they reach their upstreams.

    ``listed`` are addresses that seeds have named, whether or not these hosts have
    reported anything yet.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._peers: dict[Address, Peer] = {}
        self.listed: list[Address] = []

    def record_report(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the state that a host has reported in answer to a query."""
        peer = self._peers.get(heartbeat.address)
        if peer is None:
            if len(self._peers) >= MAX_REFUGES:
                del self._peers[next(iter(self._peers))]
            peer = self._peers[heartbeat.address] = Peer(heartbeat.address)
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now

    def choose(
        self,
        version: int,
        now: float,
        rng: Random,
        exclude: Iterable[Address] = (),
    ) -> Peer | None:
        """Return the host that should take over a request, or None.

        It must have the same ``version`` of the configuration in force. The host with
        the least requests for its capacity is chosen, near ones first.
        """
        candidates = [
            peer
            for peer in self._peers.values()
            if now - peer.last_heartbeat_at <= REFUGE_ALIVE_S
            and now >= peer.no_queries_until
            and peer.heartbeat.is_serving
            and not peer.heartbeat.is_cut_off
            and peer.heartbeat.version == version
            and peer.address not in exclude
        ]
        return min(
            candidates, key=lambda peer: (self._load(peer), rng.random()), default=None
        )

    def _load(self, peer: Peer) -> float:
        capacity: Capacity = peer.capacity
        load = (peer.in_flight + 1.0) / min(capacity.link_mbps / 10.0, capacity.cores)
        is_remote = peer.heartbeat.data_centre != self._data_centre
        return load * REMOTE_FACTOR if is_remote else load
