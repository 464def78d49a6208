"""Receives read batches, runs the reads and answers the entries."""

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import eventlet
from loguru import logger

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.metrics import Metrics
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.quarantine import FingerprintState, ProvenFingerprints, Quarantine
from cicadalever.scheduling import Rank
from cicadalever.topology import Host, Replica
from cicadalever.transport import (
    CancelReads,
    QuarantineNotice,
    ReadAnswer,
    ReadAnswers,
    ReadBatch,
    ReadRequest,
    ReplicaNotice,
    ReplicaRelease,
    Trial,
)
from cicadalever.upstreams import (
    STATE_READY,
    ConnectionPool,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamConnection,
)

from ._drains import DrainingReplicas
from ._read import QueuedRead, ReadKey
from ._replica import OwnedReplica

UNRESPONSIVE_PROBE_S = 0.3
CONNECTION_WAIT_S = 0.02
SOURCE_ANSWER = "upstream"
SOURCE_CONFIGURATION = "configuration"


class OwnerView(NamedTuple):
    """What the service asks of the host's view of the fleet.

    ``owner_of`` gives the owner of a replica. ``is_fresh`` says whether the view may
    be acted on. ``live_addresses`` gives the peer addresses that hear notices.
    ``quota`` is the number of connections that this host may open to a replica.
    """

    owner_of: Callable[[Replica], Host | None]
    is_fresh: Callable[[], bool]
    live_addresses: Callable[[], list[str]]
    find_replica: Callable[[str], Replica | None]
    floors: Callable[[], Mapping[Rank, float]]
    quota: Callable[[Replica], int]
    is_replacing_live_owner: Callable[[Replica], bool]


class OwnerService:
    """Runs the reads of the replicas that this host owns."""

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
        self.is_baseline = is_baseline
        self._drains = DrainingReplicas()
        self._replicas: dict[str, OwnedReplica] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._running: dict[ReadKey, QueuedRead] = {}
        self._connections: dict[ReadKey, UpstreamConnection] = {}
        self._abandoned: set[ReadKey] = set()
        self._probed: set[str] = set()
        self._outbox: dict[tuple[str, str], list[ReadAnswer]] = defaultdict(list)
        self._flush_scheduled = False

    @property
    def replicas(self) -> Mapping[str, OwnedReplica]:
        """Replicas that this host runs reads on, by id."""
        return self._replicas

    @property
    def drains(self) -> DrainingReplicas:
        """Replicas that said that they drain."""
        return self._drains

    @property
    def running(self) -> int:
        """Number of reads that run on upstreams."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of reads that wait in the queues."""
        return sum(replica.waiting for replica in self._replicas.values())

    @property
    def open_connections(self) -> int:
        """Connections to upstreams that are open."""
        return sum(pool.open_connections for pool in self._pools.values())

    def open_connections_of(self, replica_id: str) -> int:
        """Return the number of open connections to one upstream."""
        pool = self._pools.get(replica_id)
        return pool.open_connections if pool else 0

    def handle_batch(self, batch: ReadBatch) -> None:
        """Queue the reads of ``batch``; refuse at once those that cannot run."""
        now = time.monotonic()
        deadline = now + batch.deadline_unix - time.time()
        touched = set()
        for request in batch.reads:
            read = _queued_read(batch, request, deadline)
            owned = self._accept(read, request.replica, now)
            if isinstance(owned, Failure):
                self._answer_failure(read, owned)
                continue
            touched.add(request.replica)
        for replica_id in touched:
            self._pump(self._replicas[replica_id])

    def handle_cancel(self, message: CancelReads) -> None:
        """Drop waiting reads and stop running ones that nobody needs."""
        for number in message.reads:
            key = ReadKey(message.sender, message.query, number)
            read = self._running.get(key)
            if read is not None:
                eventlet.spawn_n(self._cancel_running, key)
                continue
            for replica in self._replicas.values():
                if replica.cancel(key):
                    break

    def handle_quarantine(self, notice: QuarantineNotice) -> None:
        """Take over a suspicion or quarantine that another owner decided."""
        now = time.monotonic()
        self.proven.discard(notice.fingerprint)
        if notice.quarantined:
            self.quarantine.import_notice(
                notice.fingerprint, notice.ttl_s, now, notice.reason
            )
        else:
            self.quarantine.import_suspicion(notice.fingerprint, now, notice.reason)

    def handle_replica_notice(self, notice: ReplicaNotice) -> None:
        """Learn from the owner of a replica that it drains or serves again."""
        if notice.replica not in self._replicas:
            self._drains.note_remote(notice.replica, notice.draining, time.monotonic())

    def handle_release(self, message: ReplicaRelease) -> None:
        """Use all slots of a replica that its former owner released."""
        owned = self._replicas.get(message.replica)
        if owned is not None:
            owned.release_received(time.monotonic())
            self._pump(owned)

    def view_changed(self) -> None:
        """Give up replicas that another host owns, and apply draining states."""
        for replica_id, owned in list(self._replicas.items()):
            replica = self.view.find_replica(replica_id)
            if replica is None:
                self._refuse_queue(owned, FailureCode.UNAVAILABLE, "replica removed")
                self._give_up(replica_id, None)
                continue
            if replica.draining:
                self._set_draining(owned, SOURCE_CONFIGURATION)
            elif owned.replica.draining and replica_id not in self._drains:
                owned.set_draining(False)
            if replica.address != owned.replica.address:
                self._refuse_queue(owned, FailureCode.UNAVAILABLE, "replica moved")
                self._give_up(replica_id, None)
                continue
            owned.replica = replica
            owner = self.view.owner_of(replica)
            if owner is None or owner.id != self.host.id:
                hint = owner.id if owner else "none"
                self._refuse_queue(owned, FailureCode.NOT_OWNER, f"owner is {hint}")
                self._give_up(replica_id, owner)

    def tick(self) -> None:
        """Answer reads that expired while they waited, and start what may start."""
        now = time.monotonic()
        for owned in list(self._replicas.values()):
            for entry in owned.take_expired(now):
                self._answer_failure(
                    entry.item, Failure(FailureCode.DEADLINE, "expired in the queue")
                )
            self._watch_answers(owned, now)
            self._pump(owned)
        self._watch_drains(now)

    def refuse_waiting(self, code: FailureCode, reason: str) -> None:
        """Refuse all reads that have not started."""
        for owned in self._replicas.values():
            self._refuse_queue(owned, code, reason)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def _accept(
        self, read: QueuedRead, replica_id: str, now: float
    ) -> OwnedReplica | Failure:
        if read.key in self._running:
            return Failure(FailureCode.DUPLICATE_ID, "read runs already")
        blocked = self._check_fingerprint(read, now)
        if blocked is not None:
            return blocked
        if not self.view.is_fresh():
            return Failure(FailureCode.STALE_VIEW, f"{self.host.id} was paused")
        owned = self._owned(replica_id, now)
        if isinstance(owned, Failure):
            return owned
        failure = owned.submit(read, now)
        return owned if failure is None else failure

    def _check_start(
        self, owned: OwnedReplica, read: QueuedRead, now: float
    ) -> Failure | None:
        """Refuse a read that waited so long that it cannot finish in time."""
        if now + owned.service_time_s > read.deadline:
            return Failure(FailureCode.DEADLINE, "waited too long in the queue")
        return self._check_fingerprint(read, now)

    def _check_fingerprint(self, read: QueuedRead, now: float) -> Failure | None:
        """Refuse a read that may crash an upstream, now or after it waited."""
        blocked = self.quarantine.check(read.fingerprint, now)
        if blocked is not None or read.trial == Trial.EXCLUSIVE:
            return blocked
        if self.quarantine.is_suspect(read.fingerprint, now):
            return Failure(FailureCode.SUSPECT, "an upstream was lost to this request")
        return None

    def _owned(self, replica_id: str, now: float) -> OwnedReplica | Failure:
        replica = self.view.find_replica(replica_id)
        if replica is None:
            return Failure(FailureCode.UNAVAILABLE, f"unknown replica {replica_id}")
        owner = self.view.owner_of(replica)
        if owner is None or owner.id != self.host.id:
            hint = owner.id if owner else "none"
            return Failure(FailureCode.NOT_OWNER, f"owner is {hint}")
        owned = self._replicas.get(replica_id)
        if owned is None:
            quota = max(1, self.view.quota(replica))
            owned = self._own(replica, quota, now)
            if replica_id in self._drains:
                owned.set_draining(True)
                self._drains.note_own(replica_id, now)
            self._replicas[replica_id] = owned
            self._pools[replica_id] = ConnectionPool(
                replica.address, quota, source_ip=self.source_ip
            )
            self.audit.record(AuditKind.OWNERSHIP_GAINED, 0, replica=replica_id)
        return owned

    def _own(self, replica: Replica, quota: int, now: float) -> OwnedReplica:
        if not self.is_baseline:
            return OwnedReplica(
                replica,
                self.view.floors(),
                proven=self.proven,
                now=now,
                takeover=self.view.is_replacing_live_owner(replica),
            )
        # The baseline knows no slots; it uses all connections of its share.
        replica = replica._replace(slots=quota)
        return OwnedReplica(replica, {}, now=now, takeover=False)

    def _pump(self, owned: OwnedReplica) -> None:
        if not self.view.is_fresh():
            return
        while True:
            now = time.monotonic()
            entry = owned.start_next(now)
            if entry is None:
                return
            blocked = self._check_start(owned, entry.item, now)
            if blocked is not None:
                owned.finish(entry.item, blocked, 0.0, now)
                self._answer_failure(entry.item, blocked)
                continue
            self._running[entry.item.key] = entry.item
            eventlet.spawn_n(self._run, owned, entry)

    def _run(self, owned: OwnedReplica, entry) -> None:
        read: QueuedRead = entry.item
        started = time.monotonic()
        pool = self._pools.get(owned.replica.id)
        result = self._call(owned, pool, read, started)
        now = time.monotonic()
        if read.key in self._abandoned:
            self._finish_abandoned(owned, read, now)
            return
        if isinstance(result, Failure) and result.code == FailureCode.LOST:
            if owned.take_crash(read.key):
                self._blame(owned, now)
        elif isinstance(result, UpstreamAnswer):
            self.quarantine.succeeded(read.fingerprint)
            self.proven.add(read.fingerprint)
        owned.finish(read, result, now - started, now)
        self._running.pop(read.key, None)
        self._answer(owned, read, result, started - entry.queued_at, now - started)
        if _shows_draining(result):
            self._set_draining(owned, SOURCE_ANSWER)
        self._pump(owned)

    def _finish_abandoned(
        self, owned: OwnedReplica, read: QueuedRead, now: float
    ) -> None:
        """End a read that was answered as lost when its replica fell silent."""
        self._abandoned.discard(read.key)
        owned.finish(read, Failure(FailureCode.UNREACHABLE, "abandoned"), 0.0, now)
        self._running.pop(read.key, None)
        self._pump(owned)

    def _call(
        self,
        owned: OwnedReplica,
        pool: ConnectionPool | None,
        read: QueuedRead,
        now: float,
    ) -> UpstreamAnswer | Failure:
        connection = pool.take() if pool else None
        if connection is None:
            return Failure(FailureCode.OVERLOAD, "no connection is free")
        try:
            if not owned.answered_since_crash:
                if connection.probe() is None:
                    reason = f"{owned.replica.id} has not answered since its crash"
                    return Failure(FailureCode.UNREACHABLE, reason)
                owned.note_answer(time.monotonic())
            self._connections[read.key] = connection
            return connection.call(
                UpstreamCall(
                    read.operation,
                    read.upstream_request_id,
                    read.shard,
                    read.snapshot,
                    read.parameters,
                    read.deadline - now,
                )
            )
        finally:
            self._connections.pop(read.key, None)
            pool.give_back(connection)

    def _watch_answers(self, owned: OwnedReplica, now: float) -> None:
        """Probe a replica that leaves its reads unanswered."""
        replica_id = owned.replica.id
        if owned.unresponsive or replica_id in self._probed:
            return
        if owned.seems_stuck(now):
            self._probed.add(replica_id)
            eventlet.spawn_n(self._probe_stuck, owned)

    def _probe_stuck(self, owned: OwnedReplica) -> None:
        replica_id = owned.replica.id
        try:
            while self._replicas.get(replica_id) is owned:
                state = self._ask_state(replica_id)
                if state is not None:
                    self._note_probe_answer(owned)
                    return
                if not owned.unresponsive:
                    self._give_up_reads(owned)
                eventlet.sleep(UNRESPONSIVE_PROBE_S)
        finally:
            self._probed.discard(replica_id)

    def _note_probe_answer(self, owned: OwnedReplica) -> None:
        if owned.unresponsive:
            replica_id = owned.replica.id
            self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        owned.note_answer(time.monotonic())
        self._pump(owned)

    def _give_up_reads(self, owned: OwnedReplica) -> None:
        """Free the reads of a replica that answers nothing."""
        owned.mark_unresponsive()
        replica_id = owned.replica.id
        reason = f"{replica_id} does not answer"
        self.audit.record(AuditKind.REPLICA_LOST, 0, replica=replica_id, reason=reason)
        self._refuse_queue(owned, FailureCode.UNREACHABLE, reason)
        for key, read in list(self._running.items()):
            # A run that is not idempotent is left to its end: it may still answer.
            if owned.is_running(key) and read.operation == "read":
                self._abandoned.add(key)
                self._answer_failure(read, Failure(FailureCode.HOST_LOST, reason))
                connection = self._connections.get(key)
                if connection is not None:
                    connection.abort()

    def _ask_state(self, replica_id: str) -> str | None:
        """Return the state that the health endpoint names, None without an answer.

        Without a free connection nothing is known, which is not a missing answer.
        """
        while (pool := self._pools.get(replica_id)) is not None:
            connection = pool.take()
            if connection is not None:
                try:
                    return connection.probe()
                finally:
                    pool.give_back(connection)
            eventlet.sleep(CONNECTION_WAIT_S)
        return None

    def _cancel_running(self, key: ReadKey) -> None:
        read = self._running.get(key)
        if read is None:
            return
        for owned in self._replicas.values():
            if owned.is_running(key):
                break
        else:
            return
        pool = self._pools.get(owned.replica.id)
        connection = pool.take() if pool else None
        if connection is None:
            return
        try:
            connection.cancel(read.upstream_request_id)
        finally:
            pool.give_back(connection)

    def _blame(self, owned: OwnedReplica, now: float) -> None:
        for verdict in self.quarantine.crashed(owned.running_reads(), now):
            quarantined = verdict.state is FingerprintState.QUARANTINED
            kind = AuditKind.QUARANTINED if quarantined else AuditKind.SUSPECT
            self.proven.discard(verdict.fingerprint)
            self.audit.record(
                kind,
                0,
                fingerprint=f"{verdict.fingerprint:016x}",
                replica=owned.replica.id,
            )
            notice = QuarantineNotice(
                self.host.address,
                verdict.fingerprint,
                self.quarantine.ttl_s,
                f"{verdict.reason} on {owned.replica.id}",
                quarantined,
            )
            for address in self.view.live_addresses():
                self.send(address, notice)

    def _watch_drains(self, now: float) -> None:
        for replica_id in self._drains.due_probes(now):
            if replica_id in self._replicas:
                eventlet.spawn_n(self._probe, replica_id)
        for replica_id in self._drains.due_repeats(now):
            if replica_id in self._replicas:
                self._notify(replica_id, True, "repeated")
        self._drains.forget_old(now)

    def _probe(self, replica_id: str) -> None:
        is_serving = self._ask_state(replica_id) == STATE_READY
        owned = self._replicas.get(replica_id)
        if owned is None or not self._drains.probed(replica_id, is_serving):
            return
        owned.set_draining(owned.replica.draining)
        self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        self._notify(replica_id, False, "health")

    def _notify(self, replica_id: str, draining: bool, source: str) -> None:
        notice = ReplicaNotice(self.host.address, replica_id, draining, source)
        for address in self.view.live_addresses():
            self.send(address, notice)

    def _set_draining(self, owned: OwnedReplica, source: str) -> None:
        replica_id = owned.replica.id
        if source == SOURCE_ANSWER:
            self._drains.note_own(replica_id, time.monotonic())
        if not owned.set_draining(True):
            return
        self.audit.record(
            AuditKind.REPLICA_DRAINING, 0, replica=replica_id, source=source
        )
        self._refuse_queue(owned, FailureCode.DRAINING, f"{replica_id} is draining")
        self._notify(replica_id, True, source)

    def _give_up(self, replica_id: str, owner: Host | None) -> None:
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
            self._answer_failure(entry.item, Failure(code, reason))

    def _answer(
        self,
        owned: OwnedReplica,
        read: QueuedRead,
        result: UpstreamAnswer | Failure,
        queued_s: float,
        service_s: float,
    ) -> None:
        code = result.code if isinstance(result, Failure) else ""
        reason = result.reason if isinstance(result, Failure) else ""
        rows = b"" if isinstance(result, Failure) else result.rows
        snapshot = read.snapshot if isinstance(result, Failure) else result.snapshot
        self.metrics.read_finished(code or "ok", queued_s, service_s)
        self._post(
            read,
            ReadAnswer(
                read.key.read,
                code,
                reason,
                snapshot,
                rows,
                queued_s,
                service_s,
                owned.is_pressed(),
            ),
        )

    def _answer_failure(self, read: QueuedRead, failure: Failure) -> None:
        pressed = failure.code in (FailureCode.DEADLINE, FailureCode.OVERLOAD)
        self.metrics.read_finished(failure.code, 0.0, 0.0)
        self._post(
            read,
            ReadAnswer(
                read.key.read,
                failure.code,
                failure.reason,
                read.snapshot,
                b"",
                0.0,
                0.0,
                pressed,
            ),
        )

    def _post(self, read: QueuedRead, answer: ReadAnswer) -> None:
        # Answers of one loop turn to one query share a message.
        self._outbox[(read.key.sender, read.key.query)].append(answer)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            eventlet.spawn_n(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        outbox = self._outbox
        self._outbox = defaultdict(list)
        for (sender, query), answers in outbox.items():
            failure = self.send(sender, ReadAnswers(query, answers))
            if failure is not None:
                logger.warning("answer to {} not sent: {}", sender, failure.reason)


def _queued_read(batch: ReadBatch, request: ReadRequest, deadline: float) -> QueuedRead:
    return QueuedRead(
        ReadKey(batch.sender, batch.query, request.read),
        batch.request_id,
        batch.rank,
        deadline,
        batch.operation,
        batch.snapshot,
        request.shard,
        batch.fingerprint,
        Trial(request.trial),
        batch.parameters,
    )


def _shows_draining(result: UpstreamAnswer | Failure) -> bool:
    if isinstance(result, Failure):
        return result.code == FailureCode.DRAINING
    return result.draining
