"""Composition root: creates the components of the gateway and connects them."""

from random import Random

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    MemoryBudget,
)
from cicadalever.crashes import CrashLedger, SharedMemory
from cicadalever.discovery import UpstreamDirectory
from cicadalever.freshness import WatchTiming
from cicadalever.peers import PeerTable
from cicadalever.placement import LeastCostSelector
from cicadalever.retries import SLACK_PER_HOST, RetryBudget
from cicadalever.routing import Limits
from cicadalever.wire import CallerServer, EventLoop, ServerLimits

from ._adapter import HostSettings, PlatformAdapter
from ._crash_gossip import CrashGossip
from ._daemon import GatewayComponents, GatewayDaemon
from ._drop_report import DropReport
from ._events import EventLog
from ._follower import PlatformFollower
from ._metrics import GatewayMetrics
from ._peers import PeerLink
from ._readiness import Readiness
from ._reads import ReadRunner
from ._relay import RELAY_PATH, ChangeRelay, limit_waiting_polls
from ._service import GatewayService
from ._upstream_contact import UpstreamContact

METRICS_PORT = 9464
# Share of a host's memory for what it holds for callers, replicas and peers.
HELD_MEMORY_SHARE = 0.25
# Share of a host's descriptors for connections in advance; callers need the others.
ADVANCE_DESCRIPTOR_SHARE = 0.5


def build_gateway(
    settings: HostSettings, adapter: PlatformAdapter, rng: Random
) -> GatewayDaemon:
    """Return a gateway that is ready to start."""
    loop = EventLoop()
    events = EventLog(settings.host_id)
    metrics = GatewayMetrics()
    directory = UpstreamDirectory()
    memory = MemoryBudget(int(HELD_MEMORY_SHARE * settings.memory_bytes))

    def report_drop(dropped):
        metrics.holder_dropped(dropped.kind)
        events.emit(
            "memory_dropped",
            kind=dropped.kind,
            bytes=dropped.size,
            seconds=round(dropped.seconds, 3),
        )

    memory.on_dropped = report_drop
    descriptors = DescriptorBudget(settings.max_descriptors)
    drops = DropReport(loop, events, metrics)
    descriptors.on_dropped = drops.record

    def open_server(address, on_request, kind):
        share = DescriptorShare(descriptors, kind)
        return CallerServer(loop, address, on_request, limits, memory, share)

    runner = ReadRunner(
        loop,
        adapter.header_names,
        directory,
        LeastCostSelector(settings.data_centre, rng),
        RetryBudget(
            settings.retries.ratio,
            settings.retries.window_s,
            slack=min(SLACK_PER_HOST, settings.retries.slack),
        ),
        events,
        metrics,
        memory,
        settings.drain_s,
        int(ADVANCE_DESCRIPTOR_SHARE * settings.max_descriptors),
        CrashLedger(settings.host_id),
        descriptors,
    )
    limits = ServerLimits(*Limits())
    service: GatewayService
    daemon: GatewayDaemon

    def handle_peer_request(connection, request):
        if request.target.startswith(RELAY_PATH):
            relay.handle(connection, request)
        else:
            service.handle_peer(connection, request)

    peers = PeerTable(
        settings.peer_address, settings.data_centre, settings.capacity, loop.now()
    )
    peers.set_seeds(settings.seeds)
    link = PeerLink(
        loop,
        adapter.header_names,
        settings.host_id,
        peers,
        open_server(settings.peer_address, handle_peer_request, DescriptorKind.PEER),
        events,
        rng,
        memory,
        descriptors,
    )
    contact = UpstreamContact(
        runner, link, events, has_other_data_centres=settings.data_centres > 1
    )
    service = GatewayService(runner, events, link, contact)
    timing = WatchTiming.plan(settings.contact_s, settings.apply_s, settings.drain_s)
    relay = ChangeRelay(
        loop,
        link,
        timing,
        age_s=lambda: daemon.follower.data_age_s,
        grace_s=lambda: directory.remaining_grace_s(loop.now()),
        on_first_follower=lambda: daemon.follower.restart(),
        max_waiting=limit_waiting_polls(descriptors.guaranteed(DescriptorKind.PEER)),
        on_refused=lambda: drops.record(DescriptorKind.PEER, "polls"),
    )

    def handle_readiness_request(connection, request):
        daemon.handle_readiness(connection, request)

    def handle_metrics_request(connection, request):
        daemon.handle_metrics(connection, request)

    metrics_address = (settings.caller_address[0], METRICS_PORT)
    components = GatewayComponents(
        settings,
        adapter,
        loop,
        events,
        metrics,
        directory,
        runner,
        service,
        link,
        Readiness(),
        contact,
        CrashGossip(
            loop,
            link,
            runner.guard.ledger,
            events,
            SharedMemory(loop.now(), is_first_start=settings.is_first_start),
        ),
        open_server(settings.caller_address, service.handle, DescriptorKind.CALLER),
        open_server(
            settings.readiness_address,
            handle_readiness_request,
            DescriptorKind.READINESS,
        ),
        open_server(metrics_address, handle_metrics_request, DescriptorKind.METRICS),
    )
    service.is_cut_off = lambda: components.readiness.is_cut_off
    service.lacks_upstreams = lambda: components.readiness.lacks_upstreams
    daemon = GatewayDaemon(components, adapter.settings_path)
    daemon.follower = PlatformFollower(
        adapter.connect(settings.platform_address),
        timing,
        loop,
        rng,
        events,
        daemon.apply_update,
        daemon.start_grace_period,
        relay,
        adapter.decode_changes,
    )
    link.on_late_replicas = runner.avoid_late
    runner.on_late = link.report_late
    runner.guard.gossip = components.gossip
    components.gossip.on_news = runner.guard.record_news
    link.on_limit_report = runner.statements.record_limit_reports
    link.on_crash_report = runner.guard.record_older_report
    link.on_newer_version = daemon.follower.notice_newer_version
    return daemon
