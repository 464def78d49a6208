"""The composition root: builds and connects the components of a daemon."""

import random
import time
from functools import partial
from typing import NamedTuple

from cicadalever.api import (
    AdminApplication,
    ArrivalClock,
    CallerApplication,
    encode_answer,
)
from cicadalever.audit import AuditTrail
from cicadalever.budgets import DEFAULT_MAX_BYTES, MemoryBudget
from cicadalever.configuration import ConfigurationHistory, HttpPlatformReader
from cicadalever.membership import (
    Ack,
    MemberTable,
    Ownership,
    Ping,
    PingRequest,
    Prober,
)
from cicadalever.metrics import Metrics
from cicadalever.once import OnceTable
from cicadalever.owners import OwnerService, OwnerView
from cicadalever.quarantine import ProvenFingerprints, Quarantine
from cicadalever.queries import (
    EntryView,
    LatencyByIndex,
    OnceService,
    QueryCoordinator,
    QueryFeatures,
)
from cicadalever.scheduling import (
    AdmissionControl,
    ExtraLoadBudget,
    Rank,
    ReplicaSelector,
)
from cicadalever.settings import Settings
from cicadalever.topology import Host
from cicadalever.transport import PeerNetwork, register_message

from ._baseline import RoundRobinSelector, SelfOwnership, baseline_features
from ._configuration_synchronizer import ConfigurationSynchronizer
from ._daemon import Daemon
from ._drop_report import DropReport
from ._membership_service import MembershipService
from ._server import ADMIN_DESCRIPTOR_SHARE, WsgiServer
from ._views import DaemonViews

PLATFORM_TIMEOUT_S = 2.0
# Admission of the queries of one rank: how many may run at once, and how many may wait.
INITIAL_ADMISSION_WINDOW = 8
MAX_ADMISSION_WINDOW = 1024
MAX_WAITING_QUERIES = 1024
# Unfinished answers of upstreams may take the bytes of so many answers of full size.
FULL_ANSWERS_HELD = 2
# These apply until the first configuration is in force.
INITIAL_HEDGE_QUANTILE = 0.95
INITIAL_EXTRA_LOAD_RATIO = 0.05
# Smallest shares of the reads of a replica that these ranks get.
INITIAL_FLOORS = {Rank.BATCH: 0.10, Rank.REPORT: 0.05}

# Type bytes of the membership messages; the transport registers its own messages.
for _code, _type in ((21, Ping), (22, Ack), (23, PingRequest)):
    register_message(_code, _type)


class DaemonComponents(NamedTuple):
    """The components of a daemon; ``caller_server`` is None without the entry role."""

    membership: MembershipService
    synchronizer: ConfigurationSynchronizer
    owner_service: OwnerService
    coordinator: QueryCoordinator
    once_service: OnceService
    caller_application: CallerApplication
    caller_server: WsgiServer | None
    network: PeerNetwork
    audit: AuditTrail
    metrics: Metrics
    quarantine: Quarantine
    memory: MemoryBudget


class _DaemonProxy:
    """Forwards calls of the components to the daemon, which is built after them."""

    def __init__(self):
        self.daemon: Daemon | None = None

    def send(self, address: str, message):
        return self.daemon.send(address, message)

    def handle(self, message) -> None:
        self.daemon.handle(message)

    def health(self):
        return self.daemon.health()


def build_daemon(settings: Settings) -> tuple[Daemon, WsgiServer]:
    """Return a daemon and its administration server, ready to start."""
    daemon_proxy = _DaemonProxy()
    rng = random.Random(settings["random_seed"])
    host = _build_host(settings)
    incarnation = time.time_ns() // 1_000_000
    metrics = Metrics()
    drops = DropReport(metrics)
    memory = _build_memory(settings, drops)
    audit = AuditTrail(
        host.id, settings["audit_capacity"], time.time, first_sequence=incarnation
    )
    membership = _build_membership(
        settings, host, incarnation, daemon_proxy, audit, rng
    )
    synchronizer = _build_synchronizer(
        settings, membership, daemon_proxy, audit, metrics, rng
    )
    quarantine = Quarantine()
    proven = ProvenFingerprints()
    owner_service = _build_owner_service(
        settings,
        membership,
        synchronizer,
        daemon_proxy,
        quarantine,
        proven,
        audit,
        metrics,
        memory,
    )
    coordinator = _build_coordinator(
        settings,
        membership,
        synchronizer,
        owner_service,
        daemon_proxy,
        quarantine,
        proven,
        metrics,
        rng,
    )
    once_table = OnceTable(host.id, incarnation)
    encode = partial(encode_answer, host=host.id)
    once_service = OnceService(
        once_table,
        coordinator,
        daemon_proxy.send,
        membership.address_of,
        host.address,
        encode,
    )
    caller = CallerApplication(
        coordinator,
        once_service,
        once_table,
        lambda: synchronizer.current,
        daemon_proxy.health,
        metrics,
        encode,
        max_body_bytes=settings["max_body_bytes"],
        arrival_clock=ArrivalClock(time.monotonic()),
    )
    is_entry = "entry" in settings["roles"]
    caller_server = None
    if is_entry:
        caller_server = WsgiServer(
            settings["caller_address"],
            caller,
            on_dropped=partial(drops.connection_dropped, "caller"),
        )
    components = DaemonComponents(
        membership,
        synchronizer,
        owner_service,
        coordinator,
        once_service,
        caller,
        caller_server,
        membership.network,
        audit,
        metrics,
        quarantine,
        memory,
    )
    daemon = daemon_proxy.daemon = Daemon(settings, components)
    membership.on_change = daemon.membership_changed
    membership.on_host_lost = coordinator.host_lost
    membership.on_host_heard = coordinator.host_heard
    coordinator.on_ping_due = membership.ping
    coordinator.on_host_silent = membership.suspect_silent_host
    synchronizer.on_change = daemon.configuration_changed
    admin = AdminApplication(DaemonViews(daemon))
    admin_server = WsgiServer(
        settings["admin_address"],
        admin,
        max_descriptor_share=ADMIN_DESCRIPTOR_SHARE,
        on_dropped=partial(drops.connection_dropped, "admin"),
    )
    return daemon, admin_server


def _build_memory(settings: Settings, drops: DropReport) -> MemoryBudget:
    max_bytes = FULL_ANSWERS_HELD * settings["max_answer_bytes"]
    memory = MemoryBudget(max(DEFAULT_MAX_BYTES, max_bytes))
    memory.on_dropped = drops.answer_dropped
    return memory


def _build_host(settings: Settings) -> Host:
    return Host(
        settings["host_id"],
        settings["peer_address"],
        settings["data_centre"],
        settings["region"],
        tuple(settings["roles"]),
    )


def _build_membership(
    settings, host, incarnation, daemon_proxy, audit, rng
) -> MembershipService:
    table = MemberTable(host, incarnation)
    prober = Prober(table, rng, seeds=settings["seeds"])
    ownership = Ownership(table)
    if settings["policy"] == "baseline":
        ownership = SelfOwnership(table)
    listen_address = settings["peer_listen_address"] or host.address
    network = PeerNetwork(
        listen_address, daemon_proxy.handle, source_ip=settings["source_ip"]
    )
    return MembershipService(table, prober, ownership, network, audit)


def _build_synchronizer(
    settings, membership, daemon_proxy, audit, metrics, rng
) -> ConfigurationSynchronizer:
    reader = HttpPlatformReader(
        settings["platform_url"],
        source_ip=settings["source_ip"],
        timeout_s=PLATFORM_TIMEOUT_S,
    )
    return ConfigurationSynchronizer(
        ConfigurationHistory(),
        reader,
        membership,
        daemon_proxy.send,
        audit,
        metrics,
        rng,
    )


def _build_owner_service(
    settings,
    membership,
    synchronizer,
    daemon_proxy,
    quarantine,
    proven,
    audit,
    metrics,
    memory,
) -> OwnerService:
    def find_replica(replica_id: str):
        return (
            synchronizer.current.replica(replica_id) if synchronizer.current else None
        )

    def floors():
        return (
            synchronizer.current.policy.floors
            if synchronizer.current
            else INITIAL_FLOORS
        )

    view = OwnerView(
        membership.owner_of,
        membership.is_fresh,
        membership.live_addresses,
        find_replica,
        floors,
        membership.ownership.quota,
        membership.is_replacing_live_owner,
    )
    return OwnerService(
        membership.self_host,
        view,
        daemon_proxy.send,
        quarantine,
        proven,
        audit,
        metrics,
        source_ip=settings["source_ip"],
        max_answer_bytes=settings["max_answer_bytes"],
        memory=memory,
        is_baseline=settings["policy"] == "baseline",
    )


def _build_coordinator(
    settings,
    membership,
    synchronizer,
    owner_service,
    daemon_proxy,
    quarantine,
    proven,
    metrics,
    rng,
) -> QueryCoordinator:
    features = QueryFeatures()
    selector = ReplicaSelector(rng)
    if settings["policy"] == "baseline":
        features = baseline_features()
        selector = RoundRobinSelector()
    return QueryCoordinator(
        EntryView(
            lambda: synchronizer.current,
            membership.owner_of,
            membership.is_reachable,
            owner_service.draining_replicas.__contains__,
            membership.self_host.address,
            membership.self_host.region,
        ),
        daemon_proxy.send,
        selector,
        AdmissionControl(
            initial_window=INITIAL_ADMISSION_WINDOW,
            max_window=MAX_ADMISSION_WINDOW,
            max_queue=MAX_WAITING_QUERIES,
            rng=rng,
        ),
        ExtraLoadBudget(INITIAL_EXTRA_LOAD_RATIO),
        LatencyByIndex(INITIAL_HEDGE_QUANTILE),
        quarantine,
        proven,
        metrics,
        features=features,
        rng=rng,
        max_answer_bytes=settings["max_answer_bytes"],
    )
