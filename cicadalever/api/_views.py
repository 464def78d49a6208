"""Bodies of the administration interface: the state of a daemon for operators."""

from typing import Any, Literal, Protocol, TypedDict

HealthState = Literal["starting", "ready", "draining"]


class RankCounts(TypedDict):
    """One number for each rank."""

    interactive: float
    batch: float
    report: float


class StatusView(TypedDict):
    """The state of one host.

    ``version`` is the configuration version in force and ``sequence`` the last applied
    entry of the platform's log. ``platform_age_s`` is the time since the last contact
    with the platform, None before the first. ``queries_running`` and
    ``queries_waiting`` count queries that callers sent to this host, and
    ``admission_windows`` limits the running ones of a rank.
    ``isolated`` means that no peer acknowledges probes, so that the host serves on its
    own. ``view_fresh`` is False after a pause of the process, until a peer acknowledges
    a probe or the time-out for that has passed.
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
    """Whether a patch was accepted, or a full document if ``patch_id`` is empty.

    ``against`` is the version that the patch was written for, ``version`` the version
    in force after the verdict. ``reason`` is empty for an accepted patch.
    """

    sequence: int
    patch_id: str
    author: str
    against: int
    accepted: bool
    version: int
    reason: str


class VersionsView(TypedDict):
    """The configuration in force on one host and its latest verdicts, oldest first.

    ``source`` is where the host got the configuration: ``platform``, ``peer`` or
    ``none``.
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

    ``version``, ``sequence`` and ``platform_age_s`` are those that the member last
    announced, None if it has announced none. ``listed`` tells whether it is in the
    host list of the platform. ``heard_age_s`` is not determined and always None.
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
    """One query route; ``shards`` is their number in the newest snapshot."""

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

    Only the owner of the replica knows the fields from ``running`` on; on other hosts
    they are None. ``state`` is ``up``, ``down`` or ``draining`` on the owner and
    ``remote`` or ``draining`` elsewhere. ``latency_ms`` is a moving average of the
    service time of reads; ``recent_failures`` counts failed connects and lost
    connections since the last successful read.
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

    ``last_sequence`` is that of the newest event of the trail. ``incarnation`` changes
    when the host restarts; the trail is then empty, and its sequence numbers start at
    the new incarnation.
    """

    host_id: str
    incarnation: int
    last_sequence: int
    events: list[AuditEventView]


class QuarantineView(TypedDict):
    """One fingerprint whose requests crashed upstreams.

    ``state`` is ``suspect`` or ``quarantined``; ``remaining_s`` is the time until it
    expires.
    """

    fingerprint: str
    state: str
    reason: str
    remaining_s: float | None


class PatchCheckView(TypedDict):
    """Whether a patch would be accepted now; it is not applied.

    ``against`` is the version that the patch was written for, ``version`` the version
    in force and ``next_version`` the version that the patch would create, None if it is
    refused. ``changed`` lists JSON pointers to the values that it would change.
    """

    accepted: bool
    against: int | None
    version: int
    next_version: int | None
    reason: str
    changed: list[str]


class AdminViews(Protocol):
    """Views and commands of a daemon that ``AdminApplication`` serves."""

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
        """Return at most ``limit`` events with a sequence above ``after``.

        With ``kind``, only events of that kind are returned.
        """

    def quarantine(self) -> list[QuarantineView]:
        """Return the suspect and the quarantined fingerprints."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def health(self) -> HealthState:
        """Return the state that health checks of the load balancer report."""

    def drain(self) -> None:
        """Start a graceful shutdown, as on SIGTERM; a second call changes nothing."""

    def check_patch(self, patch: dict[str, Any]) -> PatchCheckView:
        """Return whether ``patch`` would be accepted, without applying it."""
