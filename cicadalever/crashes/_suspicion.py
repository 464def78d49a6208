"""What one request may have done to replicas, and whether it may be sent again."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

# Replicas that a request must have lost before it is refused, and how many canary reads
# must be among them.
MIN_CRASHES = 3
MIN_CANARY_CRASHES = 2
# A crashed replica is back only after some seconds. One that shows life sooner has lost
# a connection, but has not crashed.
CONFIRM_S = 1.0
# All canary reads that are lost within this time after the first replica count as one:
# the replica may have been crashed by the request beside which this one ran.
SETTLE_S = 1.0
# Time after which a canary read that was lost counts for a refusal, unless the replica
# has shown life.
DECISION_S = 0.2
# Time for which a request is refused before a canary read tries it again, since the
# suspicion may be wrong, and after such a read was lost as well.
REFUSAL_S = 60.0
LONG_REFUSAL_S = 600.0
# Time after which a canary read of another host is not waited for any more.
CANARY_TIMEOUT_S = 2.0
# Lost replicas that are remembered of one request.
MAX_LOSSES = 16
# Lost replicas and signs of life that one report contains.
MAX_REPORTED_LOSSES = 4
MAX_REPORTED_SURVIVALS = 4
# Service of replicas that an older host lost, which does not tell it.
UNKNOWN_SERVICE = ""


class AdmissionKind(StrEnum):
    """How a request may be sent to replicas.

    ``FREE`` has no restriction. ``CANARY`` means a single read, and no other one until
    a replica has survived it. ``WAIT`` means that canary reads of it are in progress or
    were just lost, and that the end of these decides. ``REFUSED`` means that it must
    not be sent.
    """

    FREE = "free"
    CANARY = "canary"
    WAIT = "wait"
    REFUSED = "refused"


class Admission(NamedTuple):
    """Whether a request may be sent, and for how many seconds it is refused.

    ``services`` are those whose replicas it may have crashed, beginning with those that
    canary reads have lost.
    """

    kind: AdmissionKind
    wait_s: float = 0.0
    services: tuple[str, ...] = ()


FREE = Admission(AdmissionKind.FREE)


class LostReplica(NamedTuple):
    """A replica that was lost at a monotonic time in seconds.

    ``is_canary`` tells that the read was sent although the request was suspected
    before.
    """

    replica_id: str
    service: str
    at: float
    is_canary: bool


class ReportedLoss(NamedTuple):
    """A lost replica as hosts report it, with its age in place of the time."""

    replica_id: str
    service: str
    age_ms: int
    is_canary: bool


class CrashRecord(NamedTuple):
    """What one host tells others about a request with a ``fingerprint``.

    ``active_age_ms`` is the time since the request last came or lost a replica.
    ``cleared_services`` and ``live_replicas`` are names with the age of the newest sign
    of life, and ``canaries`` the hosts and ages of canary reads in progress.
    """

    fingerprint: int
    active_age_ms: int
    losses: list[ReportedLoss]
    cleared_services: list[tuple[str, int]] = []
    live_replicas: list[tuple[str, int]] = []
    canaries: list[tuple[str, int]] = []


class Suspicion:
    """Replicas that one request has lost, and signs that it did not crash them.

    All of it can be merged with what other hosts know, in any order and more than once.
    ``active_at`` is the monotonic time in seconds at which the request last came.
    """

    def __init__(self, now: float):
        self.active_at = now
        self._losses: list[LostReplica] = []
        # When a read began that a replica of the service survived, and when the replica
        # showed life.
        self._services_cleared_at: dict[str, float] = {}
        self._replicas_alive_at: dict[str, float] = {}
        # Start times of the canary reads in progress, by host.
        self._canaries: dict[str, list[float]] = {}

    @property
    def losses(self) -> list[LostReplica]:
        """Replicas that the request may have crashed."""
        return self._losses

    @property
    def has_evidence(self) -> bool:
        """Whether other hosts should know of the suspicion."""
        return len(self._losses) >= MIN_CRASHES or any(
            each.is_canary for each in self._losses
        )

    def add_loss(self, loss: LostReplica) -> bool:
        """Add a lost replica and return whether that is news.

        Losses of one replica within ``CONFIRM_S`` are one crash.
        """
        if self._is_refuted(loss):
            return False
        for index, known in enumerate(self._losses):
            if (
                known.replica_id == loss.replica_id
                and abs(known.at - loss.at) < CONFIRM_S
            ):
                if loss.is_canary and not known.is_canary:
                    self._losses[index] = known._replace(is_canary=True)
                    return True
                return False
        if len(self._losses) >= MAX_LOSSES and not loss.is_canary:
            return False
        self._losses.append(loss)
        if len(self._losses) > MAX_LOSSES:
            self._losses.remove(self._by_weight()[-1])
        return True

    def clear_service(self, service: str, began_at: float) -> bool:
        """Record that a replica of a service survived a read that began at a time.

        Return whether that clears the request of a loss.
        """
        return self._record_life(self._services_cleared_at, service, began_at)

    def clear_replica(self, replica_id: str, began_at: float) -> bool:
        """Record that a replica accepted or answered what began at a time."""
        return self._record_life(self._replicas_alive_at, replica_id, began_at)

    def set_canaries(self, host: str, started_at: Iterable[float]) -> bool:
        """Replace the canaries in progress on a host; return whether that is news."""
        known = self._canaries.pop(host, [])
        reads = list(started_at)
        if reads:
            self._canaries[host] = reads
        return len(reads) != len(known)

    def canaries(self, host: str) -> list[float]:
        """Return the start times of the canary reads in progress on a host."""
        return self._canaries.get(host, [])

    def count_canary_losses(self) -> int:
        """Count the canary reads that were lost; early ones count as one."""
        settled_at = self._settled_at()
        canary = [each.at for each in self._losses if each.is_canary]
        late = sum(at > settled_at for at in canary)
        return late + (len(canary) > late)

    def admission(self, now: float) -> Admission:
        """Return whether the request may be sent now."""
        losses = self._losses
        if not losses:
            return FREE
        services = tuple(
            dict.fromkeys(
                each.service
                for each in sorted(losses, key=lambda each: not each.is_canary)
            )
        )
        canary = self.count_canary_losses()
        may_read = MIN_CANARY_CRASHES - canary
        # Without another loss than those of canaries, this host may have missed some.
        has_enough = len(losses) >= MIN_CRASHES or all(
            each.is_canary for each in losses
        )
        if has_enough and may_read <= 0:
            refusal_s = REFUSAL_S if may_read == 0 else LONG_REFUSAL_S
            refused_until = max(each.at for each in losses) + refusal_s
            if now < max(each.at for each in losses if each.is_canary) + DECISION_S:
                return Admission(AdmissionKind.WAIT, services=services)
            if now < refused_until:
                wait_s = refused_until - now
                return Admission(AdmissionKind.REFUSED, wait_s, services)
        if now > self._settled_at() and self._count_running(now) >= max(1, may_read):
            return Admission(AdmissionKind.WAIT, services=services)
        return Admission(AdmissionKind.CANARY, services=services)

    def report(self, fingerprint: int, now: float) -> CrashRecord:
        """Return what this host tells others."""
        losses = self._by_weight()
        return CrashRecord(
            fingerprint,
            _age_ms(self.active_at, now),
            [
                ReportedLoss(
                    each.replica_id, each.service, _age_ms(each.at, now), each.is_canary
                )
                for each in losses[:MAX_REPORTED_LOSSES]
            ],
            _report_newest(self._services_cleared_at, now),
            _report_newest(self._replicas_alive_at, now),
            [
                (name, _age_ms(at, now))
                for name, reads in self._canaries.items()
                for at in reads
                if now - at < CANARY_TIMEOUT_S
            ],
        )

    def merge(self, record: CrashRecord, host: str, now: float) -> bool:
        """Add what another host reports and return whether that is news."""
        is_news = False
        for name, age_ms in record.cleared_services:
            is_news |= self.clear_service(name, now - age_ms / 1000)
        for name, age_ms in record.live_replicas:
            is_news |= self.clear_replica(name, now - age_ms / 1000)
        for each in record.losses:
            at = now - each.age_ms / 1000
            is_news |= self.add_loss(
                LostReplica(each.replica_id, each.service, at, each.is_canary)
            )
        reads: dict[str, list[float]] = {host: []}
        for name, age_ms in record.canaries:
            reads.setdefault(name, []).append(now - age_ms / 1000)
        for name, started_at in reads.items():
            if name == host or name not in self._canaries:
                is_news |= self.set_canaries(name, started_at)
        self.active_at = max(self.active_at, now - record.active_age_ms / 1000)
        return is_news

    def refute(self, record: CrashRecord, now: float) -> CrashRecord | None:
        """Return the signs of life that refute losses of a report, or None.

        The result has no losses, so that it is not refuted in turn.
        """
        services: dict[str, float] = {}
        replicas: dict[str, float] = {}
        for each in record.losses:
            at = now - each.age_ms / 1000
            for times, name, found in (
                (self._services_cleared_at, each.service, services),
                (self._replicas_alive_at, each.replica_id, replicas),
            ):
                if at <= times.get(name, float("-inf")):
                    found[name] = times[name]
        if not services and not replicas:
            return None
        return CrashRecord(
            record.fingerprint,
            _age_ms(self.active_at, now),
            [],
            _report_newest(services, now),
            _report_newest(replicas, now),
        )

    def _by_weight(self) -> list[LostReplica]:
        """Return the losses, those first that decide about the request.

        The first plain one, or else the first one, tells which canary losses count as
        one. Of these, the last ones are the most likely to count by themselves.
        """
        plain = sorted(
            (each for each in self._losses if not each.is_canary),
            key=lambda each: each.at,
        )
        canary = sorted(
            (each for each in self._losses if each.is_canary),
            key=lambda each: -each.at,
        )
        if plain:
            return plain[:1] + canary + plain[1:]
        return canary[-1:] + canary[:-1]

    def _settled_at(self) -> float:
        """Return when the requests that ran beside this one have ended."""
        times = [each.at for each in self._losses if not each.is_canary]
        if not times and (self._services_cleared_at or self._replicas_alive_at):
            # The plain losses have been refuted; canary reads followed them at once.
            times = [each.at for each in self._losses]
        return min(times, default=float("-inf")) + SETTLE_S

    def _count_running(self, now: float) -> int:
        return sum(
            now - started_at < CANARY_TIMEOUT_S
            for reads in self._canaries.values()
            for started_at in reads
        )

    def _record_life(self, times: dict[str, float], name: str, began_at: float) -> bool:
        if began_at <= times.get(name, float("-inf")):
            return False
        times[name] = began_at
        count = len(self._losses)
        self._losses = [each for each in self._losses if not self._is_refuted(each)]
        return len(self._losses) < count

    def _is_refuted(self, loss: LostReplica) -> bool:
        never = float("-inf")
        return loss.at <= max(
            self._services_cleared_at.get(loss.service, never),
            self._replicas_alive_at.get(loss.replica_id, never),
        )


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))


def _report_newest(times: dict[str, float], now: float) -> list[tuple[str, int]]:
    newest = sorted(times.items(), key=lambda item: -item[1])
    return [(name, _age_ms(at, now)) for name, at in newest[:MAX_REPORTED_SURVIVALS]]
