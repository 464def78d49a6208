"""Probes replicas that are draining or leave their reads unanswered."""

import time
from collections.abc import Callable, Mapping

import eventlet

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.upstreams import STATE_READY, ConnectionPool

from ._draining import DrainingReplicas
from ._replica import OwnedReplica

UNRESPONSIVE_PROBE_INTERVAL_S = 0.3
# Interval at which a probe looks for a free connection while all are in use.
CONNECTION_POLL_S = 0.02


class ReplicaHealthMonitor:
    """Detects when a replica stops answering and when it can be used again.

    ``replicas`` and ``pools`` are those of the owner service, by replica id.
    ``on_unresponsive`` is called for a stuck replica that did not answer a probe, and
    ``on_answer`` for one that did. ``notify`` takes the id of a replica and whether it
    is draining, and sends the notice to other hosts.
    """

    def __init__(
        self,
        replicas: Mapping[str, OwnedReplica],
        pools: Mapping[str, ConnectionPool],
        audit: AuditTrail,
        on_unresponsive: Callable[[OwnedReplica], None],
        on_answer: Callable[[OwnedReplica], None],
        notify: Callable[[str, bool], None],
    ):
        self.replicas = replicas
        self.pools = pools
        self.audit = audit
        self.on_unresponsive = on_unresponsive
        self.on_answer = on_answer
        self.notify = notify
        self._draining_replicas = DrainingReplicas()
        self._probing: set[str] = set()

    @property
    def draining_replicas(self) -> DrainingReplicas:
        """Replicas that reported that they are draining."""
        return self._draining_replicas

    def tick(self, now: float) -> None:
        """Start the probes that are due and send the notices that are due."""
        for replica_id, owned in self.replicas.items():
            if replica_id not in self._probing and owned.seems_stuck(now):
                self._probing.add(replica_id)
                eventlet.spawn_n(self._probe_stuck, owned)
        for replica_id in self._draining_replicas.take_due_probes(now):
            if replica_id in self.replicas:
                eventlet.spawn_n(self._probe_draining, replica_id)
        for replica_id in self._draining_replicas.take_due_notices(now):
            if replica_id in self.replicas:
                self.notify(replica_id, True)
        self._draining_replicas.remove_expired(now)

    def _probe_stuck(self, owned: OwnedReplica) -> None:
        replica_id = owned.replica.id
        try:
            while self.replicas.get(replica_id) is owned:
                if self._probe_state(replica_id) is not None:
                    self._record_probe_answer(owned)
                    return
                if not owned.unresponsive:
                    owned.mark_unresponsive()
                    self.audit.record(AuditKind.REPLICA_LOST, 0, replica=replica_id)
                    self.on_unresponsive(owned)
                eventlet.sleep(UNRESPONSIVE_PROBE_INTERVAL_S)
        finally:
            self._probing.discard(replica_id)

    def _record_probe_answer(self, owned: OwnedReplica) -> None:
        if owned.unresponsive:
            replica_id = owned.replica.id
            self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        owned.record_probe_answer(time.monotonic())
        self.on_answer(owned)

    def _probe_draining(self, replica_id: str) -> None:
        is_ready = self._probe_state(replica_id) == STATE_READY
        owned = self.replicas.get(replica_id)
        if owned is None or not self._draining_replicas.record_probe(
            replica_id, is_ready
        ):
            return
        owned.set_draining(owned.replica.draining)
        self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        self.notify(replica_id, False)

    def _probe_state(self, replica_id: str) -> str | None:
        """Return the state that the health endpoint reports, None without an answer.

        While no connection is free, the probe waits: a lack of connections must not
        count as a missing answer. Returns None if the replica is no longer owned.
        """
        while (pool := self.pools.get(replica_id)) is not None:
            connection = pool.acquire()
            if connection is not None:
                try:
                    return connection.probe()
                finally:
                    pool.release(connection)
            eventlet.sleep(CONNECTION_POLL_S)
        return None
