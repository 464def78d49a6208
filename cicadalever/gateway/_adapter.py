"""What the gateway needs from an adapter, and in which form."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from cicadalever.discovery import ReplicaEntry
from cicadalever.outcomes import Failure
from cicadalever.peers import Capacity
from cicadalever.routing import RoutingTable
from cicadalever.wire import HeaderNames


class RetryLimits(NamedTuple):
    """Bound on extra reads of a service over all hosts together.

    In every window of ``window_s`` seconds, at most ``ratio`` of the first reads plus
    ``slack`` may be extra.
    """

    ratio: float
    window_s: float
    slack: float


class HostSettings(NamedTuple):
    """What a host is told at its start; addresses are IPv4 address and port.

    ``seeds`` are the peer addresses of some other hosts, which may be down.
    """

    host_id: str
    data_centre: str
    data_centres: int
    caller_address: tuple[str, int]
    readiness_address: tuple[str, int]
    platform_address: tuple[str, int]
    peer_address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    capacity: Capacity
    grace_s: float
    contact_s: float
    apply_s: float
    drain_s: float
    retries: RetryLimits


class PlatformUpdate(NamedTuple):
    """Everything, or what has changed, up to a revision.

    ``table`` is None when the configuration is not part of the update. ``unreadable``
    gives the reason for each replica whose entry is not valid. A complete update lists
    all replicas. ``raw`` is the answer of the platform, for hosts that follow this one.
    """

    table: RoutingTable | Failure | None
    entries: list[ReplicaEntry]
    removed: list[str]
    unreadable: dict[str, str]
    revision: int
    is_complete: bool
    raw: bytes = b""

    @property
    def change_count(self) -> int:
        """Number of items that the update is about."""
        replicas = len(self.entries) + len(self.removed) + len(self.unreadable)
        return replicas + (self.table is not None)


class HistoryLost:
    """The changes after a revision are no longer known; everything must be read."""


class PlatformClient(Protocol):
    """Blocking calls to the platform; they yield to the other green threads."""

    calls: int

    def close(self) -> None:
        """Close all connections."""

    def read_all(self, *, allow_stale: bool) -> PlatformUpdate | Failure:
        """Return everything, possibly as it was some seconds ago."""

    def watch(
        self, after: int, wait_s: float
    ) -> PlatformUpdate | HistoryLost | Failure:
        """Wait for changes after a revision."""


class PlatformAdapter(NamedTuple):
    """What a deployment provides."""

    header_names: HeaderNames
    readiness_path: bytes
    settings_path: str
    load_settings: Callable[[], HostSettings | Failure]
    connect: Callable[[tuple[str, int]], PlatformClient]
    decode_changes: Callable[[bytes], PlatformUpdate | Failure]
