"""The daemon of a host: its loops, its message handlers and its shutdown."""

import time
from functools import singledispatchmethod
from typing import Any

import eventlet
from loguru import logger

from cicadalever.api import HealthState
from cicadalever.audit import AuditKind
from cicadalever.membership import Ack, Ping, PingRequest
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.quarantine import FingerprintState
from cicadalever.scheduling import Rank
from cicadalever.transport import (
    CancelReads,
    ConfigurationReply,
    ConfigurationRequest,
    OnceAnswer,
    QuarantineNotice,
    ReadAnswers,
    ReadBatch,
    ReplicaNotice,
    ReplicaRelease,
    RunOnce,
)

TICK_S = 0.02
# One membership tick per this many ticks, as the failure detector needs one per 100 ms.
TICKS_PER_MEMBERSHIP_TICK = 5
# Time limit for running requests to end, and again for the caller server to stop.
SHUTDOWN_TIMEOUT_S = 60.0
DRAIN_POLL_S = 0.05
# Time for the peer sockets, which send in the background, to send the last messages.
FLUSH_S = 0.2


class Daemon:
    """Runs the components that the composition root built.

    They run in green threads on one event loop in one thread. ``settings`` are checked
    ``Settings``, and ``components`` are ``DaemonComponents``.
    """

    def __init__(self, settings, components):
        self.settings = settings
        self.membership = components.membership
        self.synchronizer = components.synchronizer
        self.owner_service = components.owner_service
        self.coordinator = components.coordinator
        self.once_service = components.once_service
        self.caller_application = components.caller_application
        self.network = components.network
        self.audit = components.audit
        self.metrics = components.metrics
        self.quarantine = components.quarantine
        self.memory = components.memory
        self.started_at = time.monotonic()
        self._caller_server = components.caller_server
        self._admin_server = None
        self._draining = False
        self._stopped = eventlet.event.Event()

    def health(self) -> HealthState:
        """Return the state that the load balancer sees."""
        if self._draining:
            return "draining"
        return "starting" if self.synchronizer.current is None else "ready"

    def start(self, admin_server) -> None:
        """Open all sockets and start all loops."""
        self._admin_server = admin_server
        self.network.start()
        admin_server.start()
        if self._caller_server is not None:
            self._caller_server.start()
        self.synchronizer.start()
        eventlet.spawn(self._tick_loop)
        self.audit.record(AuditKind.STARTED, self.synchronizer.history.version)

    def wait(self) -> None:
        """Wait until the daemon has shut down."""
        self._stopped.wait()

    def send(self, address: str, message: Any) -> Failure | None:
        """Send a message to a peer address; one to this host skips the network."""
        if address == self.membership.self_host.address:
            eventlet.spawn_n(self.handle, message)
            return None
        return self.network.send(address, message)

    def begin_drain(self, source: str) -> None:
        """Announce that this host leaves, finish all requests, then stop.

        ``source`` says what asked for it and appears in the audit event.
        """
        if self._draining:
            return
        self._draining = True
        self.audit.record(
            AuditKind.DRAIN_STARTED, self.synchronizer.history.version, source=source
        )
        self.membership.leave()
        eventlet.spawn(self._drain)

    def membership_changed(self) -> None:
        """Take over or release replicas after a change of the member table."""
        self.owner_service.handle_view_change()

    def configuration_changed(self) -> None:
        """Apply the policy and the replicas of the configuration in force."""
        policy = self.synchronizer.current.policy
        self.coordinator.set_policy(policy)
        self.quarantine.ttl_s = policy.quarantine_ttl_s
        self.owner_service.handle_view_change()

    def refresh_metrics(self) -> None:
        """Set the gauges from the current state of the components."""
        metrics = self.metrics
        admission = self.coordinator.admission
        for rank in Rank:
            metrics.set_admission(
                rank,
                admission.windows[rank],
                admission.running[rank],
                admission.waiting[rank],
            )
        metrics.set_held_answer_bytes(self.memory.held_bytes)
        metrics.set_extra_read_stock(self.coordinator.budget.stock)
        for replica_id, owned in self.owner_service.replicas.items():
            metrics.set_replica(
                replica_id,
                owned.waiting,
                owned.limit,
                self.owner_service.open_connections_of(replica_id),
            )
        metrics.set_member_counts(self.membership.state_counts())
        metrics.set_peer_bytes("sent", self.network.sent_bytes)
        metrics.set_peer_bytes("received", self.network.received_bytes)
        history = self.synchronizer.history
        metrics.set_configuration(history.sequence, history.version)
        metrics.set_platform_contact_age(self.membership.own_platform_contact_age())
        entries = self.quarantine.entries(time.monotonic())
        metrics.set_quarantined(
            sum(entry.state is FingerprintState.QUARANTINED for entry in entries)
        )

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle one message from a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: ReadBatch) -> None:
        self.owner_service.handle_batch(message)

    @handle.register
    def _(self, message: ReadAnswers) -> None:
        self.coordinator.receive(message)

    @handle.register
    def _(self, message: CancelReads) -> None:
        self.owner_service.handle_cancel(message)

    @handle.register
    def _(self, message: RunOnce) -> None:
        eventlet.spawn_n(self.caller_application.run_forwarded, message, self.send)

    @handle.register
    def _(self, message: OnceAnswer) -> None:
        self.once_service.receive_answer(message)

    @handle.register
    def _(self, message: ConfigurationRequest) -> None:
        self.synchronizer.handle_request(message)

    @handle.register
    def _(self, message: ConfigurationReply) -> None:
        self.synchronizer.handle_reply(message)

    @handle.register
    def _(self, message: QuarantineNotice) -> None:
        self.owner_service.handle_quarantine(message)

    @handle.register
    def _(self, message: ReplicaNotice) -> None:
        self.owner_service.handle_replica_notice(message)

    @handle.register
    def _(self, message: ReplicaRelease) -> None:
        self.owner_service.handle_release(message)

    @handle.register(Ping)
    @handle.register(Ack)
    @handle.register(PingRequest)
    def _(self, message: Any) -> None:
        self.membership.receive(message)

    def _tick_loop(self) -> None:
        ticks = 0
        due = time.monotonic()
        was_fresh = True
        while True:
            # Missed ticks are skipped, so that a stall is not followed by a burst.
            due = max(due + TICK_S, time.monotonic() - TICK_S)
            eventlet.sleep(max(0.0, due - time.monotonic()))
            self.caller_application.arrival_clock.tick(time.monotonic())
            self.metrics.observe_loop_lag(max(0.0, time.monotonic() - due))
            ticks += 1
            if ticks % TICKS_PER_MEMBERSHIP_TICK == 0:
                self.membership.tick()
                self.synchronizer.tick()
                was_fresh = self._refuse_reads_if_stale(was_fresh)
            self.owner_service.tick()
            self.coordinator.tick()

    def _refuse_reads_if_stale(self, was_fresh: bool) -> bool:
        """Refuse waiting reads if the view became stale; return whether it is fresh."""
        is_fresh = self.membership.is_fresh()
        if was_fresh and not is_fresh:
            self.audit.record(AuditKind.VIEW_STALE, self.synchronizer.history.version)
            self.owner_service.refuse_waiting(
                FailureCode.STALE_VIEW, "the host was paused"
            )
        return is_fresh

    def _drain(self) -> None:
        """Serve while the load balancer still sends requests, finish them and stop."""
        eventlet.sleep(self.settings["linger_s"])
        deadline = time.monotonic() + SHUTDOWN_TIMEOUT_S
        while self._has_work() and time.monotonic() < deadline:
            eventlet.sleep(DRAIN_POLL_S)
        if self._caller_server is not None:
            self._caller_server.stop(SHUTDOWN_TIMEOUT_S)
        while self._has_work() and time.monotonic() < deadline:
            eventlet.sleep(DRAIN_POLL_S)
        self.audit.record(AuditKind.DRAIN_ENDED, self.synchronizer.history.version)
        self.audit.record(AuditKind.STOPPED, self.synchronizer.history.version)
        logger.info("drain ended; closing the connections to upstreams")
        self.owner_service.close()
        eventlet.sleep(FLUSH_S)
        self._stopped.send(None)

    def _has_work(self) -> bool:
        return bool(
            self.caller_application.in_flight
            or self.coordinator.running
            or self.once_service.running
            or self.owner_service.running
            or self.owner_service.waiting
        )
