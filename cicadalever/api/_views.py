"""What an operator sees of a daemon: the bodies of the administration interface."""

from typing import Any, Literal, Protocol, TypedDict

HealthState = Literal["starting", "ready", "draining"]


class RankCounts(TypedDict):
    """One number for each rank."""

    interactive: float
    batch: float
    report: float


class StatusView(TypedDict):
    """The state of one host.

    ``queries_running``, ``queries_waiting`` and ``admission_windows`` count caller
    queries on this entry. ``platform_age_s`` is None before the first contact with
    the platform. ``isolated`` means that the host serves alone because no peer
    acknowledged it; ``view_fresh`` is False after a pause until a peer did.
    """

    host_id: str
    data_centre: str
    region: str
    roles: list[str]
    state: HealthState
    uptime_s: float
    incarnation: int
    version: int
    sequence: int
    platform_age_s: float | None
    queries_running: RankCounts
    queries_waiting: RankCounts
    admission_windows: RankCounts
    owned_replicas: int
    isolated: bool
    view_fresh: bool


class VerdictView(TypedDict):
    """What became of one patch; ``version`` is the version after the verdict."""

    sequence: int
    patch_id: str
    author: str
    against: int
    accepted: bool
    version: int
    reason: str


class VersionsView(TypedDict):
    """The configuration in force on one host and its latest verdicts, oldest first.

    ``source`` is where the version came from: ``platform``, ``peer`` or ``none``.
    """

    host_id: str
    version: int
    sequence: int
    source: str
    in_force_since_unix: float | None
    platform_age_s: float | None
    verdicts: list[VerdictView]


class MemberView(TypedDict):
    """One member as this host sees it.

    ``version``, ``sequence`` and ``platform_age_s`` are the ones it last announced,
    None if it has not been heard. ``listed`` tells whether the platform's host list
    names it.
    """

    host_id: str
    address: str
    data_centre: str
    region: str
    roles: list[str]
    state: str
    incarnation: int
    listed: bool
    heard_age_s: float | None
    version: int | None
    sequence: int | None
    platform_age_s: float | None


class RouteView(TypedDict):
    """One query route; ``shards`` counts those of the newest snapshot."""

    name: str
    operation: str
    kind: str
    rank: str
    deadline_ms: int
    indexes: list[str]
    shards: int
    snapshot: int | None


class UpstreamView(TypedDict):
    """One replica.

    Only its owner knows the fields from ``running`` on; on other hosts they are
    None. ``state`` is ``up``, ``down``, ``draining`` or ``taking_over`` on the owner
    and ``remote`` or ``draining`` elsewhere. ``latency_ms`` is the median service
    time of recent reads; ``recent_failures`` counts those of the last 60 s.
    """

    replica: str
    service: str
    address: str
    data_centre: str
    owner: str | None
    state: str
    slots: int
    running: int | None
    limit: int | None
    queued: RankCounts | None
    connections: int | None
    latency_ms: float | None
    recent_failures: int | None


class AuditEventView(TypedDict):
    """One event of the audit trail."""

    sequence: int
    time_unix: float
    kind: str
    version: int
    details: dict[str, Any]


class AuditView(TypedDict):
    """Events after the requested sequence, oldest first.

    ``last_sequence`` is the newest of the trail. ``incarnation`` changes when the
    host restarts; the sequence then begins again.
    """

    host_id: str
    incarnation: int
    last_sequence: int
    events: list[AuditEventView]


class QuarantineView(TypedDict):
    """One fingerprint that crashed upstreams; ``state`` is suspect or quarantined."""

    fingerprint: str
    state: str
    reason: str
    remaining_s: float | None


class PatchCheckView(TypedDict):
    """The verdict on a patch against the version in force.

    ``version`` is the version in force; ``next_version`` is the one that the patch
    would make, None if it is refused. ``changed`` lists JSON pointers.
    """

    accepted: bool
    against: int | None
    version: int
    next_version: int | None
    reason: str
    changed: list[str]


class AdminViews(Protocol):
    """What the daemon shows and does for an operator."""

    def status(self) -> StatusView:
        """Return the state of this host."""

    def versions(self) -> VersionsView:
        """Return the configuration in force and the latest verdicts."""

    def members(self) -> list[MemberView]:
        """Return all members that this host knows, itself included."""

    def routes(self) -> list[RouteView]:
        """Return the routes of the configuration in force."""

    def upstreams(self) -> list[UpstreamView]:
        """Return all replicas of the configuration in force."""

    def audit(self, after: int, kind: str | None, limit: int) -> AuditView:
        """Return at most ``limit`` events above ``after``, of ``kind`` if given."""

    def quarantine(self) -> list[QuarantineView]:
        """Return suspects and quarantined fingerprints."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def health(self) -> HealthState:
        """Return the state that the balancer is told."""

    def drain(self) -> None:
        """Begin to leave, as on SIGTERM; a second call changes nothing."""

    def check_patch(self, patch: dict[str, Any]) -> PatchCheckView:
        """Explain the verdict on ``patch`` without putting it in force."""
