"""Another host, its capacity, and what this host knows of it."""

from typing import NamedTuple

from ._heartbeat import Heartbeat

# IPv4 address and port.
Address = tuple[str, int]

# A host gathers queries for another one if its link or its processor is larger by this
# factor and neither is smaller. The extra hop takes about a millisecond, while the
# requests and answers of a query over many shards take tens of milliseconds on the
# smaller link.
MIN_CAPACITY_RATIO = 2.0
# Time for which a host counts as alive after a heartbeat, so that two lost datagrams in
# a row do not exclude it.
ALIVE_TIMEOUT_S = 1.3
# Round trip that is assumed to a host before it has been measured, and the weight of
# the newest measurement.
INITIAL_ROUND_TRIP_S = 0.005
ROUND_TRIP_WEIGHT = 0.2
# Longest round trip that is planned for.
MAX_ROUND_TRIP_S = 0.1


class Capacity(NamedTuple):
    """Capacity of a host; ``cores`` is the sum of its shares of processor cores."""

    link_mbps: float
    cores: float

    def is_much_larger_than(self, other: "Capacity") -> bool:
        """Return whether this host should gather for one with the other capacity."""
        link_ratio = self.link_mbps / other.link_mbps
        core_ratio = self.cores / other.cores
        return (
            min(link_ratio, core_ratio) >= 1.0
            and max(link_ratio, core_ratio) >= MIN_CAPACITY_RATIO
        )


class Peer:
    """Another host, with its latest heartbeat and what this host has sent to it."""

    def __init__(self, address: Address):
        self.address = address
        self.heartbeat: Heartbeat | None = None
        # Number of queries of this host that the peer is gathering.
        self.in_flight = 0
        # Seconds until the peer acknowledged a query, averaged.
        self.round_trip_s = INITIAL_ROUND_TRIP_S
        # When a seed last listed the peer as one that gathers queries elsewhere.
        self.fellow_listed_at = float("-inf")
        self.last_heartbeat_at = float("-inf")
        self.known_since = float("-inf")
        # When this host should send the next heartbeat to the peer.
        self.heartbeat_due_at = float("-inf")
        self.no_queries_until = float("-inf")
        # When the peer last did not answer for shards that it should read.
        self.failed_at = float("-inf")
        # Until then the peer is not chosen as the source of platform changes.
        self.not_followed_until = float("-inf")

    @property
    def capacity(self) -> Capacity | None:
        """Capacity of the peer, or None before its first heartbeat."""
        heartbeat = self.heartbeat
        return (
            None
            if heartbeat is None
            else Capacity(heartbeat.link_mbps, heartbeat.cores)
        )

    def observe_round_trip(self, seconds: float) -> None:
        """Add a measured time until the peer acknowledged a query.

        A longer one than ``MAX_ROUND_TRIP_S`` comes from a suspension of either host.
        """
        seconds = min(MAX_ROUND_TRIP_S, seconds)
        self.round_trip_s += ROUND_TRIP_WEIGHT * (seconds - self.round_trip_s)

    def is_alive(self, now: float) -> bool:
        """Return whether a heartbeat of the peer arrived within ``ALIVE_TIMEOUT_S``."""
        return now - self.last_heartbeat_at <= ALIVE_TIMEOUT_S
