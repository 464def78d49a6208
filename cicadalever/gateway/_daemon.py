"""The running gateway: start, periodic work, reload and shutdown."""

import os
import time
from typing import NamedTuple

from cicadalever.discovery import RejectedEntries, UpstreamDirectory
from cicadalever.freshness import MISSING_ENTRY_GRACE_S, GraceBounds, Outage
from cicadalever.outcomes import Failure
from cicadalever.peers import COUNT_AFTER_S
from cicadalever.placement import HostCounts
from cicadalever.retries import compute_host_slack
from cicadalever.wire import (
    CallerConnection,
    CallerRequest,
    CallerResponse,
    CallerServer,
    EventLoop,
    ServerLimits,
)

from ._adapter import HostSettings, PlatformAdapter, PlatformUpdate
from ._address_opener import AddressOpener
from ._crash_gossip import CrashGossip
from ._events import EventLog
from ._follower import PlatformFollower
from ._metrics import GatewayMetrics
from ._peers import PeerLink, plan_peer_limits
from ._readiness import Readiness
from ._reads import ReadRunner
from ._service import GatewayService
from ._settings_review import SettingsReview
from ._settings_update import apply_settings
from ._suspension import SUSPENSION_THRESHOLD_S, SuspensionMonitor
from ._upstream_contact import UpstreamContact

# Period of the tasks in ``GatewayDaemon._tick``.
TICK_S = 0.2
# Number of ticks between two checks of the settings file for changes.
TICKS_PER_SETTINGS_CHECK = 10
# Number of ticks between two passes that close expired idle connections and update the
# slack.
TICKS_PER_IDLE_CHECK = 5
# Number of ticks after the start before connections are opened in advance. By then, a
# host knows whether others gather its queries, so that it needs none.
TICKS_BEFORE_WARM_UP = 10
# Time for which a draining host still accepts requests. The load balancer checks the
# readiness every second and stops sending requests after two failed checks; one more
# second covers requests that are already in transit.
DRAIN_LINGER_S = 3.0
# Time between two attempts to open an address that is taken. A host works without peers
# and metrics, but without the other addresses it serves no callers.
OPEN_PERIOD_S = 0.2
OPEN_RARELY_PERIOD_S = 1.0
# The process exits at least this long before the platform would kill it.
EXIT_MARGIN_S = 0.4
# Time between two checks whether the last requests have been answered.
DRAIN_POLL_S = 0.05


class GatewayComponents(NamedTuple):
    """The components of the gateway that ``GatewayDaemon`` runs."""

    settings: HostSettings
    adapter: PlatformAdapter
    loop: EventLoop
    events: EventLog
    metrics: GatewayMetrics
    directory: UpstreamDirectory
    runner: ReadRunner
    service: GatewayService
    link: PeerLink
    readiness: Readiness
    contact: UpstreamContact
    gossip: CrashGossip
    caller_server: CallerServer
    readiness_server: CallerServer
    metrics_server: CallerServer


class GatewayDaemon:
    """Runs the components of the gateway on one event loop.

    ``settings_path`` is the file that is checked for changes, if there is one. The
    ``follower`` must be set before the start.
    """

    def __init__(self, components: GatewayComponents, settings_path: str | None = None):
        self.components = components
        self.settings_path = settings_path
        self.settings = components.settings
        self.follower: PlatformFollower | None = None
        self._rejected = RejectedEntries()
        # Era of the platform to which the directory belongs.
        self._era = 0
        self._ticks = 0
        self._tick_due_at = 0.0
        self._suspended_s = _total_suspended_s()
        self._suspension = SuspensionMonitor(_boot_time, TICK_S)
        components.service.has_just_resumed = self._suspension.has_just_resumed
        components.service.stops_in_s = self._stops_in_s
        self._lag_s = 0.0
        self._stop_requested = False
        self._reload_requested = False
        self._draining_since: float | None = None
        # Why the settings are being read again, and the failure that was reported.
        self._reload_cause: str | None = None
        self._failure_reported: str | None = None
        self._review = SettingsReview()
        # State of the settings file when it was last read. It is unknown at first: the
        # file may have changed since the settings were read.
        self._file_state: tuple[int, ...] | None = None
        self._opener = AddressOpener(components.loop, components.events)

    def start(self) -> None:
        """Open the sockets and begin to receive updates from the platform."""
        components = self.components
        for name, server, period_s in (
            ("callers", components.caller_server, OPEN_PERIOD_S),
            ("readiness", components.readiness_server, OPEN_PERIOD_S),
            ("metrics", components.metrics_server, OPEN_RARELY_PERIOD_S),
            ("peers", components.link, OPEN_RARELY_PERIOD_S),
        ):
            self._opener.open(name, server.start, period_s)
        components.contact.on_change = self._handle_contact_change
        components.contact.on_doubt = components.service.hand_over_overdue
        components.contact.start()
        components.gossip.start()
        self.follower.start()
        self._tick_due_at = components.loop.now() + TICK_S
        components.loop.call_later(TICK_S, self._tick)
        components.events.emit(
            "started",
            data_centre=self.settings.data_centre,
            callers=self.settings.caller_address,
            platform=self.settings.platform_address,
        )

    def request_stop(self) -> None:
        """Begin to drain at the next tick; may be called in a signal handler."""
        self._stop_requested = True

    def request_reload(self) -> None:
        """Reload the settings at the next tick; may be called in a signal handler."""
        self._reload_requested = True

    # Requests of the load balancer and the monitoring system

    def handle_readiness(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Tell the load balancer with 200 or 503 whether to send requests here."""
        path = request.target.partition(b"?")[0]
        if path != self.components.adapter.readiness_path:
            connection.respond(CallerResponse(404, []))
            return
        is_ready = (
            self.components.caller_server.is_listening
            and self.components.readiness.is_ready(self.components.service.table)
        )
        connection.respond(CallerResponse(200 if is_ready else 503, []))

    def handle_metrics(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Respond with the metrics in the text format of Prometheus."""
        components = self.components
        table = components.service.table
        components.metrics.set_gauges(
            calls=self.follower.client.calls,
            age_s=self.follower.contact_age_s,
            upstream_age_s=components.runner.contact_age_s,
            version=table.version if table else 0,
            replicas=len(components.directory),
            limited=len(components.runner.limits),
            leaving=components.runner.notices.count_leaving(),
            paused=components.runner.notices.count_paused(components.loop.now()),
            quarantined=components.runner.guard.count_refused(),
            lag_s=self._lag_s,
        )
        components.metrics.set_held(
            components.runner.memory.bytes_by_kind,
            {
                "callers": len(components.caller_server.connections),
                "readiness": len(components.readiness_server.connections),
                "metrics": len(components.metrics_server.connections),
                "peers": len(components.link.server.connections),
            },
        )
        components.metrics.set_faults(
            rejected_entries=len(self._rejected),
            failed_callbacks=components.loop.failures,
        )
        content_type = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
        connection.respond(
            CallerResponse(200, [content_type], components.metrics.render())
        )

    # Updates from the platform

    def apply_update(self, update: PlatformUpdate) -> None:
        """Apply an update to the directory and the routing table.

        Replicas whose entry was rejected are removed; an invalid configuration is
        logged and the one in force stays.
        """
        components = self.components
        if isinstance(update.table, Failure):
            components.events.emit(
                "configuration_unreadable", reason=update.table.reason
            )
        elif update.table is not None:
            self._apply_table(update.table, update)
        self._report_rejected(update)
        now = components.loop.now()
        directory = components.directory
        if update.era != self._era:
            self._era = update.era
            directory.begin_era()
        if update.is_complete:
            changes = directory.replace_all(
                update.entries, set(update.unreadable), now, update.revision
            )
        else:
            changes = [directory.apply(entry) for entry in update.entries]
            changes += [
                directory.remove(each, now, revision=update.revision)
                for each in update.removed
            ]
            changes += [directory.reject(each) for each in update.unreadable]
        self._schedule_held(now)
        self._handle_directory_changes(
            [change for change in changes if change is not None]
        )

    def _schedule_held(self, now: float) -> None:
        """Log the removals that are held back, and apply them when they are due."""
        held = self.components.directory.take_held_removals()
        for replica_id, removal_at in held:
            self.components.events.emit_detail(
                "removal_held", replica=replica_id, seconds=round(removal_at - now, 2)
            )
        for removal_at in {removal_at for _, removal_at in held}:
            self.components.loop.call_at(removal_at, self._expire_entries)

    def _report_rejected(self, update: PlatformUpdate) -> None:
        sound = {entry.id for entry in update.entries}.union(update.removed)
        unreported = self._rejected.record(
            update.unreadable, sound, is_complete=update.is_complete
        )
        for replica_id, reason in unreported.items():
            self.components.metrics.entry_rejected()
            self.components.events.emit(
                "entry_unreadable", replica=replica_id, reason=reason
            )

    def start_grace_period(self, outage: Outage, grace_s: float | None) -> None:
        """Give replicas time to publish entries again that expired in an outage.

        ``grace_s`` is what is left of it for the larger host that this one follows, or
        None if this host has reached the platform itself.
        """
        directory, now = self.components.directory, self.components.loop.now()
        previous_s = directory.remaining_grace_s(now)
        bounds = GraceBounds(self.settings.contact_s, self.settings.drain_s)
        full_s = MISSING_ENTRY_GRACE_S if grace_s is None else grace_s
        directory.start_grace_period(bounds.end_of_grace(outage, full_s))
        remaining_s = directory.remaining_grace_s(now)
        # Each poll of a larger host names the rest of the same grace period.
        is_new = grace_s is None or previous_s == 0.0
        if is_new and remaining_s > previous_s:
            self.components.events.emit(
                "grace_started",
                seconds=round(remaining_s, 2),
                source="platform" if grace_s is None else "larger host",
            )

    def _apply_table(self, table, update: PlatformUpdate) -> None:
        service = self.components.service
        current = service.table
        if current is not None and table.version <= current.version:
            return
        service.table = table
        runner = self.components.runner
        runner.statements.gathered_services = table.shard_names
        runner.named_services = table.service_names.union(table.services)
        limits = table.limits
        self.components.caller_server.limits = ServerLimits(*limits)
        self.components.link.server.limits = plan_peer_limits(limits)
        self.components.events.emit(
            "configuration_in_force",
            version=table.version,
            previous=current.version if current else None,
            revision=update.revision,
            era=update.era,
            routes=len(table.routes),
        )

    def _handle_directory_changes(self, changes: list) -> None:
        for change in changes:
            self.components.loop.run_guarded(
                self.components.runner.directory_changed, change
            )
            entry = change.current or change.previous
            self.components.events.emit_detail(
                "replica_changed",
                replica=change.replica_id,
                service=entry.service,
                address=f"{entry.address[0]}:{entry.address[1]}",
                known=change.previous is not None,
                reason=change.reason,
            )

    # Periodic work

    def _tick(self) -> None:
        components = self.components
        now = components.loop.now()
        self._lag_s = max(0.0, now - self._tick_due_at)
        self._tick_due_at = now + TICK_S
        components.loop.call_later(TICK_S, self._tick)
        self._ticks += 1
        self._suspension.record_tick()
        # Each step runs whatever becomes of the others.
        for step in (
            self._check_suspension,
            self._expire_entries,
            self._update_readiness,
            self._send_heartbeats,
            self._update_limits,
            self._warm_up,
            self._run_rare_steps,
            self._follow_signals,
        ):
            components.loop.run_guarded(step)

    def _expire_entries(self) -> None:
        now = self.components.loop.now()
        self._handle_directory_changes(self.components.directory.expire(now))

    def _warm_up(self) -> None:
        components = self.components
        table = components.service.table
        if (
            table is not None
            and self._ticks >= TICKS_BEFORE_WARM_UP
            and not components.link.peer_table.knows_gatherer()
        ):
            components.runner.warm_up(table)

    def _run_rare_steps(self) -> None:
        loop = self.components.loop
        if self._ticks % TICKS_PER_IDLE_CHECK == 0:
            loop.run_guarded(self._update_slack)
            loop.run_guarded(self.components.runner.close_expired)
            loop.run_guarded(self.components.link.close_expired)
        if self._ticks % TICKS_PER_SETTINGS_CHECK == 0:
            loop.run_guarded(self._check_settings_file)

    def _follow_signals(self) -> None:
        if self._reload_requested:
            self._reload_requested = False
            self._begin_reload("signal")
        self.components.loop.run_guarded(self._continue_reload)
        if self._stop_requested and self._draining_since is None:
            self._begin_drain()

    def _check_suspension(self) -> None:
        total_s = _total_suspended_s()
        suspended_s = max(total_s - self._suspended_s, self._lag_s)
        self._suspended_s = total_s
        if suspended_s >= SUSPENSION_THRESHOLD_S:
            self.components.events.emit("suspended", seconds=round(suspended_s, 2))
            self.follower.restart()

    def _update_readiness(self) -> None:
        now = self.components.loop.now()
        readiness = self.components.readiness
        was_cut_off = readiness.is_cut_off
        runner, contact = self.components.runner, self.components.contact
        table = self.components.service.table
        readiness.update(
            table,
            runner.is_reachable,
            now,
            has_lost_links=contact.is_cut_off,
            is_shared_outage=contact.is_outage_shared(),
        )
        if readiness.lacks_upstreams and table is not None:
            runner.probe_unreachable(table)
            contact.ask_about({each.id for each in runner.find_unreachable(table)})
        elif not readiness.is_cut_off:
            contact.forget_outage()
        if readiness.is_cut_off != was_cut_off:
            event = "cut_off" if readiness.is_cut_off else "reconnected"
            age_s = round(runner.contact_age_s, 2)
            self.components.events.emit(event, upstream_age_s=age_s)
            self._update_connection_closing()

    def _handle_contact_change(self) -> None:
        """React at once when the links to the upstreams are lost or back."""
        components = self.components
        if not components.contact.is_cut_off:
            components.runner.forget_unreachable()
        self._update_readiness()
        self._send_heartbeats()
        if components.contact.is_cut_off:
            components.service.hand_over_unanswered()

    def _send_heartbeats(self) -> None:
        table = self.components.service.table
        self.components.link.tick(
            table.version if table else 0,
            is_serving=self.components.readiness.is_ready(table),
            is_cut_off=self.components.readiness.is_cut_off,
        )

    def _update_limits(self) -> None:
        """Report the limits of replicas, and divide them by the number of hosts.

        A host takes part in the division only when the others have counted it as well:
        after that time, each has got a count that includes it.
        """
        now = self.components.loop.now()
        runner, peer_table = self.components.runner, self.components.link.peer_table
        runner.statements.end_unconfirmed_limits()
        runner.notices.forget_ended_pauses(now)
        reports = runner.limits.take_reports(now)
        if reports:
            self.components.link.report_limits(reports)
        counts = None
        if now - peer_table.started_at >= COUNT_AFTER_S:
            counts = self._host_counts(now)
        is_gatherer = not peer_table.knows_gatherer()
        runner.limits.divide(
            counts, now, is_gatherer=is_gatherer, is_seed=peer_table.is_seed
        )

    def _host_counts(self, now: float) -> HostCounts | None:
        count = self.components.link.peer_table.reported_count(now)
        data_centres = self.settings.data_centres
        return count and HostCounts(
            count.hosts * data_centres, count.similar * data_centres
        )

    def _update_slack(self) -> None:
        """Set this host's shares of slack and connections for the number of hosts."""
        now = self.components.loop.now()
        peer_table = self.components.link.peer_table
        count = peer_table.reported_count(now)
        if count is None:
            return
        data_centres = self.settings.data_centres
        is_gatherer = not peer_table.knows_gatherer()
        slack = compute_host_slack(
            self.settings.retries.slack,
            data_centres,
            count.hosts,
            count.similar,
            is_delegating=not is_gatherer,
        )
        self.components.runner.share_connections(
            self._host_counts(now), is_gatherer=is_gatherer
        )
        budget = self.components.runner.retry_budget
        if slack != budget.slack:
            self.components.events.emit(
                "slack_shared",
                slack=slack,
                previous=budget.slack,
                hosts=count.hosts,
                similar=count.similar,
            )
            budget.slack = slack

    def _update_connection_closing(self) -> None:
        """Close the connections of callers while this host is cut off or draining.

        Their next requests then reach another host.
        """
        readiness = self.components.readiness
        server = self.components.caller_server
        server.closes_after_response = readiness.is_draining or readiness.is_cut_off
        if readiness.is_cut_off:
            server.close_idle()

    def _check_settings_file(self) -> None:
        is_reading = self._reload_cause is not None
        if not is_reading and self._read_file_state() != self._file_state:
            self._begin_reload("file changed")

    def _read_file_state(self) -> tuple[int, ...] | None:
        """Return what differs if the settings file was written or replaced."""
        if self.settings_path is None:
            return None
        try:
            state = os.stat(self.settings_path)
        except OSError:
            # The file is being replaced; the next check finds it.
            return None
        return state.st_mtime_ns, state.st_size, state.st_ino

    def _begin_reload(self, cause: str) -> None:
        # A series of signals does not put off what is being read already.
        if self._reload_cause is None or self._failure_reported is not None:
            self._review = SettingsReview()
        self._reload_cause = cause
        self._failure_reported = None

    def _continue_reload(self) -> None:
        """Read the settings until they can be used; see ``SettingsReview``."""
        if self._reload_cause is None:
            return
        is_due = self._ticks % TICKS_PER_SETTINGS_CHECK == 0
        if self._review.reason is not None and not is_due:
            return
        # Before the file is read, so that a later change is noticed.
        self._file_state = self._read_file_state()
        read = self.components.adapter.load_settings()
        settings = self._review.record(read, self.components.loop.now())
        if settings is not None:
            cause, self._reload_cause = self._reload_cause, None
            self._reload(settings, cause)
        elif isinstance(read, Failure) and read.reason != self._failure_reported:
            self._failure_reported = read.reason
            self.components.events.emit(
                "reload_failed", cause=self._reload_cause, reason=read.reason
            )

    def _reload(self, settings: HostSettings, cause: str) -> None:
        change = apply_settings(self.components, self.follower, settings, self.settings)
        self.settings = settings
        if change.changed or cause == "signal":
            self.components.events.emit("reloaded", cause=cause, **change._asdict())

    # Shutdown

    def _stops_in_s(self) -> float:
        if self._draining_since is None:
            return float("inf")
        exit_at = self._draining_since + self.settings.grace_s - EXIT_MARGIN_S
        return exit_at - self.components.loop.now()

    def _begin_drain(self) -> None:
        components = self.components
        self._draining_since = components.loop.now()
        components.readiness.is_draining = True
        self._update_connection_closing()
        components.events.emit(
            "draining", busy=components.caller_server.busy_connections
        )
        self._opener.is_stopped = True
        is_listening = components.caller_server.is_listening
        linger_s = DRAIN_LINGER_S if is_listening else 0.0
        components.loop.call_later(linger_s, self._finish_drain)

    def _finish_drain(self) -> None:
        server, peer_server = self.components.caller_server, self.components.link.server
        # What the kernel has accepted must be answered as well, so the listener is
        # closed while the process still serves.
        server.stop_accepting()
        server.close_idle()
        age_s = self.components.loop.now() - self._draining_since
        is_late = age_s >= self.settings.grace_s - EXIT_MARGIN_S
        busy = server.busy_connections + peer_server.busy_connections
        if busy and not is_late:
            self.components.loop.call_later(DRAIN_POLL_S, self._finish_drain)
            return
        for connection in list(server.connections):
            # The platform is about to kill the process. The request may have run.
            connection.end_request(CallerResponse(502, []))
        self.components.events.emit("stopped", busy=busy, after_s=round(age_s, 2))
        # There is no state to save, and no request in progress could still be answered.
        os._exit(0)


def _total_suspended_s() -> float:
    """Return for how many seconds the host has been suspended since it booted."""
    return _boot_time() - time.monotonic()


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
