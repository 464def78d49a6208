"""Requests that replicas may not survive, as far as this host knows."""

from collections import OrderedDict

from ._suspicion import (
    CONFIRM_S,
    FREE,
    UNKNOWN_SERVICE,
    Admission,
    AdmissionKind,
    CrashRecord,
    LostReplica,
    Suspicion,
)

# Time after which a request that has not come again is forgotten.
MEMORY_S = 900.0
# Bounds the memory; the request that has not come for the longest time is forgotten.
MAX_FINGERPRINTS = 1000
# Requests about which a host that asks is told.
MAX_REPORTED = 8


class CrashLedger:
    """Tells requests that crash replicas from those that only ran beside one.

    A replica that crashes loses all requests that it runs, and connections break for
    other reasons, so a loss only raises a suspicion. A suspected request is sent to one
    replica at a time. One that a replica survives is cleared for all replicas of that
    service, on all hosts. One that loses such canary reads as well is refused, and
    tried by a single canary read again only after a long time. Hosts exchange all of
    this, because callers send copies to any host. Times are on one monotonic clock in
    seconds.

    >>> ledger = CrashLedger("host-1")
    >>> for number in range(8):
    ...     _ = ledger.record_loss(7, f"s{number}", f"i-{number}", 0.0)
    >>> ledger.admit(7, now=0.1).kind
    <AdmissionKind.CANARY: 'canary'>
    >>> _ = ledger.record_loss(7, "s1", "i-9", 0.1, is_canary=True)
    >>> _ = ledger.record_loss(7, "s1", "i-1", 4.0, is_canary=True)
    >>> ledger.admit(7, now=5.0)
    Admission(kind=<AdmissionKind.REFUSED: 'refused'>, wait_s=59.0, services=('s1', \
's0', 's2', 's3', 's4', 's5', 's6', 's7'))
    """

    def __init__(self, host: str):
        self.host = host
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()
        # Own losses that signs of life may still refute, by replica.
        self._undecided: dict[str, list[tuple[int, float]]] = {}
        # Own losses, to forget them when this host has lost its links.
        self._own: list[tuple[int, LostReplica]] = []

    def __len__(self) -> int:
        return len(self._suspicions)

    def get(self, fingerprint: int) -> Suspicion | None:
        """Return what is known about a request, or None."""
        return self._suspicions.get(fingerprint)

    def admit(self, fingerprint: int, now: float) -> Admission:
        """Return whether a request that has come may be sent to replicas."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return FREE
        if now - suspicion.active_at > MEMORY_S:
            del self._suspicions[fingerprint]
            return FREE
        suspicion.active_at = now
        self._suspicions.move_to_end(fingerprint)
        return suspicion.admission(now)

    def record_loss(
        self,
        fingerprint: int,
        service: str,
        replica_id: str,
        now: float,
        *,
        is_canary: bool = False,
    ) -> bool:
        """Record that this host lost a replica that may have run a request.

        Return whether that is news.
        """
        self._forget_decided(now)
        loss = LostReplica(replica_id, service, now, is_canary)
        self._undecided.setdefault(replica_id, []).append((fingerprint, now))
        self._own.append((fingerprint, loss))
        del self._own[:-MAX_FINGERPRINTS]
        return self._get_or_add(fingerprint, now).add_loss(loss)

    def record_survival(
        self,
        fingerprint: int,
        service: str,
        began_at: float,
        *,
        is_canary: bool = False,
    ) -> bool:
        """Record that a replica of a service answered a read that began at a time.

        Return whether that clears the request of a loss.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return False
        is_cleared = suspicion.clear_service(service, began_at)
        if is_canary:
            is_cleared |= suspicion.clear_service(UNKNOWN_SERVICE, began_at)
        return is_cleared

    def record_life(self, replica_id: str, began_at: float, now: float) -> list[int]:
        """Record that a replica accepted or answered what began at a time.

        Within ``CONFIRM_S`` of its loss it cannot have crashed. Return the requests
        that are cleared of that loss.
        """
        losses = self._undecided.get(replica_id, ())
        cleared = []
        for fingerprint, at in losses:
            suspicion = self._suspicions.get(fingerprint)
            if (
                suspicion is not None
                and at < began_at
                and now <= at + CONFIRM_S
                and suspicion.clear_replica(replica_id, began_at)
            ):
                cleared.append(fingerprint)
        return cleared

    def void_own(self, since: float) -> list[int]:
        """Forget the losses at or after a time at which this host lost its links.

        Return the requests that are cleared of a loss.
        """
        cleared = []
        for fingerprint, loss in self._own:
            suspicion = self._suspicions.get(fingerprint)
            if (
                loss.at >= since
                and suspicion is not None
                and suspicion.clear_replica(loss.replica_id, loss.at)
            ):
                cleared.append(fingerprint)
        return cleared

    def record_canary(self, fingerprint: int, started_at: float) -> None:
        """Record that this host has begun a canary read of a request."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            reads = suspicion.canaries(self.host)
            suspicion.set_canaries(self.host, [*reads, started_at])

    def record_canary_end(self, fingerprint: int, started_at: float) -> None:
        """Record that a canary read of this host has ended."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            reads = list(suspicion.canaries(self.host))
            # Two reads that began at the same moment end one by one.
            if started_at in reads:
                reads.remove(started_at)
            suspicion.set_canaries(self.host, reads)

    def record_older_report(
        self, host: str, fingerprint: int, crashes: int, now: float
    ) -> None:
        """Record a number of crashes that a host of an older version has counted."""
        suspicion = self._get_or_add(fingerprint, now)
        for number in range(min(crashes, MAX_REPORTED)):
            suspicion.add_loss(
                LostReplica(f"{host}#{number}", UNKNOWN_SERVICE, now, is_canary=False)
            )

    def merge(self, record: CrashRecord, host: str, now: float) -> bool:
        """Add what another host reports and return whether that is news."""
        if record.active_age_ms / 1000 > MEMORY_S:
            return False
        if record.fingerprint not in self._suspicions and not record.losses:
            return False
        active_at = now - record.active_age_ms / 1000
        suspicion = self._get_or_add(record.fingerprint, active_at)
        own_reads = suspicion.canaries(self.host)
        is_news = suspicion.merge(record, host, now)
        suspicion.set_canaries(self.host, own_reads)
        return is_news

    def refute(self, record: CrashRecord, now: float) -> CrashRecord | None:
        """Return what the sender of a report lacks to refute its losses, or None."""
        suspicion = self._suspicions.get(record.fingerprint)
        return None if suspicion is None else suspicion.refute(record, now)

    def report(self, fingerprint: int, now: float) -> CrashRecord | None:
        """Return what other hosts should know about a request, or None."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now - suspicion.active_at > MEMORY_S:
            return None
        return suspicion.report(fingerprint, now)

    def report_all(self, now: float) -> list[CrashRecord]:
        """Return what a host that knows nothing should be told, at most 8 requests.

        Those that are refused come first, then those that came last.
        """
        suspected = [
            (each.admission(now).kind is AdmissionKind.REFUSED, each.active_at, key)
            for key, each in self._suspicions.items()
            if each.has_evidence and now - each.active_at <= MEMORY_S
        ]
        suspected.sort(reverse=True)
        reports = [self.report(key, now) for _, _, key in suspected[:MAX_REPORTED]]
        return [each for each in reports if each is not None]

    def count(self, kind: AdmissionKind, now: float) -> int:
        """Return the number of requests with an admission of some kind."""
        return sum(
            each.admission(now).kind is kind for each in self._suspicions.values()
        )

    def _get_or_add(self, fingerprint: int, now: float) -> Suspicion:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now - suspicion.active_at > MEMORY_S:
            if suspicion is None and len(self._suspicions) >= MAX_FINGERPRINTS:
                self._evict(now)
            suspicion = self._suspicions[fingerprint] = Suspicion(now)
        suspicion.active_at = max(suspicion.active_at, now)
        self._suspicions.move_to_end(fingerprint)
        return suspicion

    def _evict(self, now: float) -> None:
        """Forget the oldest request that is not refused, or else the oldest."""
        oldest = next(iter(self._suspicions))
        for fingerprint, suspicion in self._suspicions.items():
            if suspicion.admission(now).kind is not AdmissionKind.REFUSED:
                oldest = fingerprint
                break
        del self._suspicions[oldest]

    def _forget_decided(self, now: float) -> None:
        for replica_id, losses in list(self._undecided.items()):
            losses[:] = [each for each in losses if now <= each[1] + CONFIRM_S]
            if not losses:
                del self._undecided[replica_id]
