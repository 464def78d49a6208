"""Receives read batches, runs the reads and answers the entry hosts."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import eventlet

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.budgets import MemoryBudget
from cicadalever.metrics import Metrics
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.quarantine import FingerprintState, ProvenFingerprints, Quarantine
from cicadalever.scheduling import Rank
from cicadalever.topology import Host, Replica
from cicadalever.transport import (
    CancelReads,
    QuarantineNotice,
    ReadBatch,
    ReadMode,
    ReadRequest,
    ReplicaNotice,
    ReplicaRelease,
)
from cicadalever.upstreams import (
    DEFAULT_MAX_ANSWER_BYTES,
    ConnectionPool,
    UpstreamAnswer,
)

from ._answer_sender import AnswerSender
from ._draining import DrainingReplicas
from ._executor import ReadExecutor
from ._health_monitor import ReplicaHealthMonitor
from ._read import QueuedRead, ReadKey
from ._replica import OwnedReplica

# Who reported that a replica is draining; the values appear in audit events.
SOURCE_ANSWER = "upstream"
SOURCE_CONFIGURATION = "configuration"


class OwnerView(NamedTuple):
    """The functions through which the owner service reads the state of the fleet.

    ``owner_of`` returns the owner of a replica, and ``find_replica`` the replica with
    an id. ``is_fresh`` tells whether the member table is recent enough to act on.
    ``live_addresses`` returns the peer addresses to which notices are sent. ``floors``
    returns the minimum share of each rank. ``quota`` returns the number of connections
    that this host may open to a replica. ``is_replacing_live_owner`` tells whether the
    previous owner of a replica may still run reads on it.
    """

    owner_of: Callable[[Replica], Host | None]
    is_fresh: Callable[[], bool]
    live_addresses: Callable[[], list[str]]
    find_replica: Callable[[str], Replica | None]
    floors: Callable[[], Mapping[Rank, float]]
    quota: Callable[[Replica], int]
    is_replacing_live_owner: Callable[[Replica], bool]


class OwnerService:
    """Runs the reads of the replicas that this host owns.

    ``send`` takes a peer address and a message. ``source_ip`` is the local address of
    connections to upstreams. ``is_baseline`` selects the baseline policy, which ignores
    slots, floors and takeovers.
    """

    def __init__(
        self,
        host: Host,
        view: OwnerView,
        send: Callable[[str, Any], None],
        quarantine: Quarantine,
        proven: ProvenFingerprints,
        audit: AuditTrail,
        metrics: Metrics,
        *,
        source_ip: str | None = None,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
        memory: MemoryBudget | None = None,
        is_baseline: bool = False,
    ):
        self.host = host
        self.view = view
        self.send = send
        self.quarantine = quarantine
        self.proven = proven
        self.audit = audit
        self.metrics = metrics
        self.source_ip = source_ip
        self.max_answer_bytes = max_answer_bytes
        self.memory = memory
        self.is_baseline = is_baseline
        self._replicas: dict[str, OwnedReplica] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._answer_sender = AnswerSender(send, metrics)
        self._executor = ReadExecutor(
            self._answer_sender, self._report_crash, self._on_read_finished
        )
        self._health_monitor = ReplicaHealthMonitor(
            self._replicas,
            self._pools,
            audit,
            self._abandon_reads,
            self._start_waiting_reads,
            self._broadcast_draining,
        )

    @property
    def replicas(self) -> Mapping[str, OwnedReplica]:
        """Replicas that this host runs reads on, by id."""
        return self._replicas

    @property
    def draining_replicas(self) -> DrainingReplicas:
        """Replicas that reported that they are draining."""
        return self._health_monitor.draining_replicas

    @property
    def running(self) -> int:
        """Number of reads that are running on upstreams."""
        return len(self._executor)

    @property
    def waiting(self) -> int:
        """Number of reads that are waiting in the queues."""
        return sum(replica.waiting for replica in self._replicas.values())

    def open_connections_of(self, replica_id: str) -> int:
        """Return the number of open connections to one upstream."""
        pool = self._pools.get(replica_id)
        return pool.open_connections if pool else 0

    def handle_batch(self, batch: ReadBatch) -> None:
        """Queue the reads of ``batch`` and refuse those that cannot run."""
        now = time.monotonic()
        deadline = now + batch.deadline_unix - time.time()
        replica_ids = set()
        for request in batch.reads:
            read = _queued_read(batch, request, deadline)
            owned = self._enqueue(read, request.replica, now)
            if isinstance(owned, Failure):
                self._answer_sender.refuse(read, owned)
                continue
            replica_ids.add(request.replica)
        for replica_id in replica_ids:
            self._start_waiting_reads(self._replicas[replica_id])

    def handle_cancel(self, message: CancelReads) -> None:
        """Remove waiting reads and stop running ones that the entry no longer needs."""
        for number in message.read_numbers:
            key = ReadKey(message.sender, message.query, number)
            read = self._cancel(key)
            if read is not None and message.confirm:
                failure = Failure(FailureCode.CANCELLED, "cancelled before its start")
                self._answer_sender.refuse(read, failure)

    def handle_quarantine(self, notice: QuarantineNotice) -> None:
        """Apply a suspicion or quarantine that another owner decided."""
        now = time.monotonic()
        self.proven.discard(notice.fingerprint)
        if notice.quarantined:
            self.quarantine.import_quarantine(
                notice.fingerprint, notice.ttl_s, now, notice.reason
            )
        else:
            self.quarantine.import_suspicion(notice.fingerprint, now, notice.reason)

    def handle_replica_notice(self, notice: ReplicaNotice) -> None:
        """Record that a replica of another owner began or stopped draining."""
        if notice.replica not in self._replicas:
            self._health_monitor.draining_replicas.record_notice(
                notice.replica, notice.draining, time.monotonic()
            )

    def handle_release(self, message: ReplicaRelease) -> None:
        """Lift the takeover limit of a replica that its former owner released."""
        owned = self._replicas.get(message.replica)
        if owned is not None:
            owned.lift_takeover_limit(time.monotonic())
            self._start_waiting_reads(owned)

    def handle_view_change(self) -> None:
        """Release replicas that this host no longer owns, and apply draining states.

        A replica that was removed or got another address is released as well.
        """
        for replica_id, owned in list(self._replicas.items()):
            replica = self.view.find_replica(replica_id)
            if replica is None:
                self._refuse_queue(owned, FailureCode.UNAVAILABLE, "replica removed")
                self._release_ownership(replica_id, None)
                continue
            if replica.draining:
                self._set_draining(owned, SOURCE_CONFIGURATION)
            elif (
                owned.replica.draining
                and replica_id not in self._health_monitor.draining_replicas
            ):
                owned.set_draining(False)
            if replica.address != owned.replica.address:
                self._refuse_queue(owned, FailureCode.UNAVAILABLE, "replica moved")
                self._release_ownership(replica_id, None)
                continue
            owned.update(replica)
            owner = self.view.owner_of(replica)
            if owner is None or owner.id != self.host.id:
                owner_id = owner.id if owner else "none"
                self._refuse_queue(owned, FailureCode.NOT_OWNER, f"owner is {owner_id}")
                self._release_ownership(replica_id, owner)

    def tick(self) -> None:
        """Refuse reads that expired in the queue, start waiting reads, run probes."""
        now = time.monotonic()
        for owned in list(self._replicas.values()):
            for entry in owned.take_expired(now):
                self._answer_sender.refuse(
                    entry.item, Failure(FailureCode.DEADLINE, "expired in the queue")
                )
            self._start_waiting_reads(owned)
        self._health_monitor.tick(now)

    def refuse_waiting(self, code: FailureCode, reason: str) -> None:
        """Refuse all reads that have not started."""
        for owned in self._replicas.values():
            self._refuse_queue(owned, code, reason)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def _cancel(self, key: ReadKey) -> QueuedRead | None:
        """Cancel a read; return it if it had not started, else None."""
        for replica_id, owned in self._replicas.items():
            if owned.is_running(key):
                pool = self._pools[replica_id]
                eventlet.spawn_n(self._executor.cancel, key, pool)
                return None
            read = owned.cancel(key)
            if read is not None:
                return read
        return None

    def _enqueue(
        self, read: QueuedRead, replica_id: str, now: float
    ) -> OwnedReplica | Failure:
        if read.key in self._executor:
            return Failure(FailureCode.DUPLICATE_ID, "read runs already")
        refusal = self._check_fingerprint(read, now)
        if refusal is not None:
            return refusal
        if not self.view.is_fresh():
            return Failure(FailureCode.STALE_VIEW, f"{self.host.id} was paused")
        owned = self._find_or_create_owned_replica(replica_id, now)
        if isinstance(owned, Failure):
            return owned
        failure = owned.submit(read, now)
        return owned if failure is None else failure

    def _check_start(
        self, owned: OwnedReplica, read: QueuedRead, now: float
    ) -> Failure | None:
        """Return why a read may no longer start after it waited, or None."""
        if not owned.can_finish(read, now):
            return Failure(FailureCode.DEADLINE, "waited too long in the queue")
        return self._check_fingerprint(read, now)

    def _check_fingerprint(self, read: QueuedRead, now: float) -> Failure | None:
        """Return why a read that may crash an upstream must not run, or None."""
        refusal = self.quarantine.check(read.fingerprint, now)
        if refusal is not None or read.mode == ReadMode.EXCLUSIVE:
            return refusal
        if self.quarantine.is_suspect(read.fingerprint, now):
            return Failure(FailureCode.SUSPECT, "an upstream was lost to this request")
        return None

    def _find_or_create_owned_replica(
        self, replica_id: str, now: float
    ) -> OwnedReplica | Failure:
        replica = self.view.find_replica(replica_id)
        if replica is None:
            return Failure(FailureCode.UNAVAILABLE, f"unknown replica {replica_id}")
        owner = self.view.owner_of(replica)
        if owner is None or owner.id != self.host.id:
            owner_id = owner.id if owner else "none"
            return Failure(FailureCode.NOT_OWNER, f"owner is {owner_id}")
        owned = self._replicas.get(replica_id)
        if owned is None:
            quota = max(1, self.view.quota(replica))
            owned = self._create_owned_replica(replica, quota, now)
            if replica_id in self._health_monitor.draining_replicas:
                owned.set_draining(True)
                self._health_monitor.draining_replicas.record_owned(replica_id, now)
            self._replicas[replica_id] = owned
            self._pools[replica_id] = ConnectionPool(
                replica.address,
                quota,
                source_ip=self.source_ip,
                max_answer_bytes=self.max_answer_bytes,
                memory=self.memory,
            )
            self.audit.record(AuditKind.OWNERSHIP_GAINED, 0, replica=replica_id)
        return owned

    def _create_owned_replica(
        self, replica: Replica, quota: int, now: float
    ) -> OwnedReplica:
        if not self.is_baseline:
            return OwnedReplica(
                replica,
                self.view.floors(),
                proven=self.proven,
                now=now,
                takeover=self.view.is_replacing_live_owner(replica),
            )
        # The baseline policy ignores slots and uses all connections of its share.
        replica = replica._replace(slots=quota)
        return OwnedReplica(replica, {}, now=now, takeover=False)

    def _start_waiting_reads(self, owned: OwnedReplica) -> None:
        if not self.view.is_fresh() or owned.replica.id not in self._pools:
            return
        while True:
            now = time.monotonic()
            entry = owned.start_next(now)
            if entry is None:
                return
            refusal = self._check_start(owned, entry.item, now)
            if refusal is not None:
                owned.finish(entry.item, refusal, 0.0, now)
                self._answer_sender.refuse(entry.item, refusal)
                continue
            self._executor.start(owned, self._pools[owned.replica.id], entry)

    def _on_read_finished(
        self, owned: OwnedReplica, read: QueuedRead, result: UpstreamAnswer | Failure
    ) -> None:
        if isinstance(result, Failure):
            is_draining = result.code == FailureCode.DRAINING
        else:
            is_draining = result.draining
            self.quarantine.clear_suspicion(read.fingerprint)
            self.proven.add(read.fingerprint)
        if is_draining:
            self._set_draining(owned, SOURCE_ANSWER)
        self._start_waiting_reads(owned)

    def _abandon_reads(self, owned: OwnedReplica) -> None:
        """Refuse the waiting reads of an unresponsive replica, abandon running ones."""
        reason = f"{owned.replica.id} does not answer"
        self._refuse_queue(owned, FailureCode.UNREACHABLE, reason)
        self._executor.abandon(owned, Failure(FailureCode.HOST_LOST, reason))

    def _broadcast_draining(self, replica_id: str, draining: bool) -> None:
        notice = ReplicaNotice(self.host.address, replica_id, draining)
        for address in self.view.live_addresses():
            self.send(address, notice)

    def _report_crash(self, owned: OwnedReplica) -> None:
        now = time.monotonic()
        for attribution in self.quarantine.record_crash(owned.running_reads(), now):
            quarantined = attribution.state is FingerprintState.QUARANTINED
            kind = AuditKind.QUARANTINED if quarantined else AuditKind.SUSPECT
            self.proven.discard(attribution.fingerprint)
            self.audit.record(
                kind,
                0,
                fingerprint=f"{attribution.fingerprint:016x}",
                replica=owned.replica.id,
            )
            notice = QuarantineNotice(
                self.host.address,
                attribution.fingerprint,
                self.quarantine.ttl_s,
                f"{attribution.reason} on {owned.replica.id}",
                quarantined,
            )
            for address in self.view.live_addresses():
                self.send(address, notice)

    def _set_draining(self, owned: OwnedReplica, source: str) -> None:
        replica_id = owned.replica.id
        if source == SOURCE_ANSWER:
            self._health_monitor.draining_replicas.record_owned(
                replica_id, time.monotonic()
            )
        if not owned.set_draining(True):
            return
        self.audit.record(
            AuditKind.REPLICA_DRAINING, 0, replica=replica_id, source=source
        )
        self._refuse_queue(owned, FailureCode.DRAINING, f"{replica_id} is draining")
        self._broadcast_draining(replica_id, True)

    def _release_ownership(self, replica_id: str, owner: Host | None) -> None:
        self._replicas.pop(replica_id)
        pool = self._pools.pop(replica_id)
        pool.close_idle()
        self.audit.record(AuditKind.OWNERSHIP_LOST, 0, replica=replica_id)
        eventlet.spawn_n(self._release_when_idle, replica_id, pool, owner)

    def _release_when_idle(
        self, replica_id: str, pool: ConnectionPool, owner: Host | None
    ) -> None:
        while pool.open_connections:
            eventlet.sleep(0.02)
            pool.close_idle()
        if owner is not None:
            self.send(owner.address, ReplicaRelease(self.host.address, replica_id))

    def _refuse_queue(
        self, owned: OwnedReplica, code: FailureCode, reason: str
    ) -> None:
        for entry in owned.drain_queue():
            self._answer_sender.refuse(entry.item, Failure(code, reason))


def _queued_read(batch: ReadBatch, request: ReadRequest, deadline: float) -> QueuedRead:
    return QueuedRead(
        ReadKey(batch.sender, batch.query, request.number),
        batch.request_id,
        batch.rank,
        deadline,
        batch.operation,
        batch.snapshot,
        request.shard,
        batch.fingerprint,
        ReadMode(request.mode),
        batch.parameters,
    )
