"""Interface between the gateway and the adapter of a deployment's platform."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from cicadalever.discovery import ReplicaEntry
from cicadalever.outcomes import Failure
from cicadalever.peers import Capacity, Position
from cicadalever.routing import RoutingTable
from cicadalever.wire import HeaderNames


class RetryLimits(NamedTuple):
    """Limit on hedges and retries per service, for all hosts together.

    An extra read is any read from a service after the first one for the same request.
    In every window of ``window_s`` seconds, at most ``ratio`` times the number of first
    reads, plus ``slack``, may be extra.
    """

    ratio: float
    window_s: float
    slack: float


class HostSettings(NamedTuple):
    """Settings of one host; addresses are pairs of IPv4 address and port.

    ``data_centres`` is the number of data centres of the deployment. ``seeds`` are the
    peer addresses of some other hosts, which may be down. The platform kills a process
    that takes more than ``memory_bytes``; it can open ``max_descriptors`` files and
    sockets. The times are bounds of the deployment in seconds: after SIGTERM the
    process is killed when ``grace_s`` have passed; a host must be up to date again
    within ``contact_s`` after a disturbance; a new configuration must be in force on
    all hosts within ``apply_s``; and a replica that is leaving keeps serving for
    another ``drain_s``. ``is_first_start`` tells that no host of the deployment has run
    before.
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
    memory_bytes: int
    max_descriptors: int
    grace_s: float
    contact_s: float
    apply_s: float
    drain_s: float
    retries: RetryLimits
    is_first_start: bool


class PlatformUpdate(NamedTuple):
    """The full state of the platform, or its changes, up to ``revision``.

    ``table`` is None when the configuration is not part of the update, and a failure
    when it is not valid. ``entries`` are new or changed replicas, ``removed`` the ids
    of removed ones, and ``unreadable`` maps the ids of replicas whose entry is not
    valid to the reason. An update that ``is_complete`` lists all replicas. ``raw`` is
    the answer of the platform as received; it is relayed to hosts that follow this one.
    ``era`` numbers the histories of the platform: when it comes back from an older copy
    of its data, a new one begins, in which revisions are given out again.
    """

    table: RoutingTable | Failure | None
    entries: list[ReplicaEntry]
    removed: list[str]
    unreadable: dict[str, str]
    revision: int
    is_complete: bool
    raw: bytes = b""
    era: int = 0

    @property
    def position(self) -> Position:
        """Place in the history of the platform up to which the update goes."""
        return Position(self.era, self.revision)

    @property
    def change_count(self) -> int:
        """Number of new, changed, removed and invalid items in the update."""
        replicas = len(self.entries) + len(self.removed) + len(self.unreadable)
        return replicas + (self.table is not None)


class HistoryLost:
    """The platform no longer has the changes after a revision; read the full state."""


class PlatformClient(Protocol):
    """Calls to the platform, which block the calling green thread only.

    ``calls`` is the number of calls made so far.
    """

    calls: int

    def close(self) -> None:
        """Close all connections; a call after that opens new ones."""

    def read_all(
        self, *, allow_stale: bool, timeout_s: float
    ) -> PlatformUpdate | Failure:
        """Return the full state; with ``allow_stale`` it may be a few seconds old.

        Each of the calls that it takes fails after ``timeout_s`` seconds.
        """

    def watch(
        self, after: int, wait_s: float, timeout_s: float
    ) -> PlatformUpdate | HistoryLost | Failure:
        """Return the changes after a revision, after at most ``wait_s`` seconds.

        Without changes, the update is empty. The call fails if the answer, with the
        time to connect, is not complete ``timeout_s`` seconds after its begin.
        """


class PlatformAdapter(NamedTuple):
    """What the adapter of a deployment provides to the gateway.

    ``readiness_path`` is the path that the load balancer requests, ``settings_path``
    the file that ``load_settings`` reads, ``connect`` returns a client for the address
    of the platform, and ``decode_changes`` decodes ``PlatformUpdate.raw``.
    """

    header_names: HeaderNames
    readiness_path: bytes
    settings_path: str
    load_settings: Callable[[], HostSettings | Failure]
    connect: Callable[[tuple[str, int]], PlatformClient]
    decode_changes: Callable[[bytes], PlatformUpdate | Failure]
