"""Decides for each request whether replicas survive it, and tells other hosts."""

from collections.abc import Callable

from cicadalever.crashes import (
    CONFIRM_S,
    DECISION_S,
    FREE,
    MAX_FINGERPRINTS,
    Admission,
    AdmissionKind,
    CrashLedger,
    Suspicion,
)
from cicadalever.discovery import ReplicaEntry
from cicadalever.peers import CrashReport
from cicadalever.wire import EventLoop

from ._crash_gossip import CrashGossip
from ._events import EventLog
from ._metrics import GatewayMetrics

# Delay after which a replica that a canary read has lost is probed: one that crashes
# may lose its connections a moment before it refuses new ones.
PROBE_DELAY_S = 0.05
# Hosts whose version reports crashes in detail; beyond that all are forgotten.
MAX_HOSTS = 4096


class CrashGuard:
    """Records what happens to the reads of requests, and admits or refuses them.

    ``probe`` is called with a replica that a canary read has lost; a connection that
    the replica accepts shows that it has not crashed.
    """

    def __init__(
        self,
        loop: EventLoop,
        events: EventLog,
        metrics: GatewayMetrics,
        ledger: CrashLedger,
        probe: Callable[[ReplicaEntry], None],
    ):
        self.loop = loop
        self.events = events
        self.metrics = metrics
        self.ledger = ledger
        self.probe = probe
        self.gossip: CrashGossip | None = None
        self._refused: set[int] = set()
        self._reporting_hosts: set[str] = set()

    @property
    def is_informed(self) -> bool:
        """Whether this host probably knows which requests crash replicas."""
        return self.gossip is None or self.gossip.is_informed

    def count_refused(self) -> int:
        """Return the number of requests that are refused now."""
        return self.ledger.count(AdmissionKind.REFUSED, self.loop.now())

    def admit(self, fingerprint: int) -> Admission:
        """Return whether a request may be sent to replicas now."""
        if not self.ledger:
            return FREE
        return self.ledger.admit(fingerprint, self.loop.now())

    def record_loss(
        self, fingerprint: int, replica: ReplicaEntry, *, is_canary: bool
    ) -> None:
        """Record that a replica was lost while it may have run a request."""
        is_news = self.ledger.record_loss(
            fingerprint,
            replica.service,
            replica.id,
            self.loop.now(),
            is_canary=is_canary,
        )
        suspicion = self.ledger.get(fingerprint)
        self.events.emit_detail(
            "replica_lost",
            fingerprint=_to_hex(fingerprint),
            replica=replica.id,
            service=replica.service,
            is_canary=is_canary,
            losses=len(suspicion.losses),
            canary_losses=suspicion.count_canary_losses(),
        )
        if is_news and suspicion.has_evidence:
            self._announce(fingerprint, is_urgent=is_canary)
        if is_canary:
            self.loop.call_later(PROBE_DELAY_S, self.probe, replica)
            self.loop.call_later(DECISION_S, self._log_refusal, fingerprint, suspicion)
            self.loop.call_later(CONFIRM_S, self._report_to_older, fingerprint)
        self._log_refusal(fingerprint, suspicion)

    def record_survival(
        self, fingerprint: int, service: str, began_at: float, *, is_canary: bool
    ) -> None:
        """Record that a replica of a service answered a read that began at a time."""
        if not self.ledger:
            return
        if self.ledger.record_survival(
            fingerprint, service, began_at, is_canary=is_canary
        ):
            self._record_cleared(fingerprint, service)

    def record_life(self, replica_id: str, began_at: float) -> None:
        """Record that a replica accepted or answered what began at a time."""
        if not self.ledger:
            return
        now = self.loop.now()
        for fingerprint in self.ledger.record_life(replica_id, began_at, now):
            self._record_cleared(fingerprint, replica_id)

    def void_own(self, since: float) -> None:
        """Forget the losses since a time at which this host lost its links."""
        for fingerprint in self.ledger.void_own(since):
            self._record_cleared(fingerprint, "lost links")

    def begin_canary(self, fingerprint: int) -> float:
        """Record a canary read that begins now, and return the time."""
        now = self.loop.now()
        self.ledger.record_canary(fingerprint, now)
        suspicion = self.ledger.get(fingerprint)
        if suspicion is not None and suspicion.has_evidence:
            self._announce_once(fingerprint)
        return now

    def end_canary(self, fingerprint: int, began_at: float) -> None:
        """Record the end of a canary read."""
        self.ledger.record_canary_end(fingerprint, began_at)

    def record_older_report(self, report: CrashReport) -> None:
        """Add the crashes that a host of an older version has counted."""
        if report.host in self._reporting_hosts:
            return
        self.ledger.record_older_report(
            report.host, report.fingerprint, report.crashes, self.loop.now()
        )
        self.events.emit_detail(
            "crash_news",
            fingerprint=_to_hex(report.fingerprint),
            by=report.host,
            crashes=report.crashes,
        )

    def record_news(self, host: str, fingerprints: list[int]) -> None:
        """Note the requests of which another host has told news."""
        if len(self._reporting_hosts) >= MAX_HOSTS:
            self._reporting_hosts.clear()
        self._reporting_hosts.add(host)
        for fingerprint in fingerprints:
            self._log_refusal(fingerprint, self.ledger.get(fingerprint))

    def _record_cleared(self, fingerprint: int, name: str) -> None:
        suspicion = self.ledger.get(fingerprint)
        self.events.emit_detail(
            "replica_loss_refuted",
            fingerprint=_to_hex(fingerprint),
            by=name,
            losses=len(suspicion.losses),
        )
        self._announce_once(fingerprint)
        self._log_refusal(fingerprint, suspicion)

    def _announce(self, fingerprint: int, *, is_urgent: bool) -> None:
        if self.gossip is not None:
            self.gossip.announce(fingerprint, is_urgent=is_urgent)

    def _announce_once(self, fingerprint: int) -> None:
        if self.gossip is not None:
            self.gossip.announce_once(fingerprint)

    def _report_to_older(self, fingerprint: int) -> None:
        """Tell hosts of older versions of a refusal, which they do not take back."""
        suspicion = self.ledger.get(fingerprint)
        if suspicion is None or self.gossip is None:
            return
        admission = suspicion.admission(self.loop.now())
        if admission.kind is AdmissionKind.REFUSED:
            self.gossip.link.report_crashes(fingerprint, len(suspicion.losses))

    def _log_refusal(self, fingerprint: int, suspicion: Suspicion | None) -> None:
        """Log when a request begins or ceases to be refused."""
        if suspicion is None:
            return
        admission = suspicion.admission(self.loop.now())
        if admission.kind is AdmissionKind.WAIT:
            # It is decided when the replica that was lost last could show life.
            return
        is_refused = admission.kind is AdmissionKind.REFUSED
        if is_refused == (fingerprint in self._refused):
            return
        if is_refused:
            if len(self._refused) >= MAX_FINGERPRINTS:
                self._refused.clear()
            self._refused.add(fingerprint)
            self.metrics.request_quarantined()
        else:
            self._refused.discard(fingerprint)
        self.events.emit(
            "request_quarantined" if is_refused else "request_cleared",
            fingerprint=_to_hex(fingerprint),
            losses=len(suspicion.losses),
            canary_losses=suspicion.count_canary_losses(),
            services=admission.services[:8],
            seconds=round(admission.wait_s, 1),
        )


def _to_hex(fingerprint: int) -> str:
    return f"{fingerprint:016x}"
