"""Probes of replicas that drain or leave their reads unanswered."""

import time
from collections.abc import Callable, Mapping

import eventlet

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.upstreams import STATE_READY, ConnectionPool

from ._drains import DrainingReplicas
from ._replica import OwnedReplica

UNRESPONSIVE_PROBE_S = 0.3
CONNECTION_WAIT_S = 0.02


class ReplicaWatch:
    """Finds out when a replica stops answering and when it serves again.

    ``replicas`` and ``pools`` are those of the owner service. ``on_silent`` is called
    for a replica whose probe was not answered, ``on_answer`` when a probe was, and
    ``notify`` with the id of a replica and whether it drains.
    """

    def __init__(
        self,
        replicas: Mapping[str, OwnedReplica],
        pools: Mapping[str, ConnectionPool],
        audit: AuditTrail,
        on_silent: Callable[[OwnedReplica], None],
        on_answer: Callable[[OwnedReplica], None],
        notify: Callable[[str, bool], None],
    ):
        self.replicas = replicas
        self.pools = pools
        self.audit = audit
        self.on_silent = on_silent
        self.on_answer = on_answer
        self.notify = notify
        self._drains = DrainingReplicas()
        self._probed: set[str] = set()

    @property
    def draining_replicas(self) -> DrainingReplicas:
        """Replicas that said that they drain."""
        return self._drains

    def tick(self, now: float) -> None:
        """Start the probes and send the notices that are due."""
        for replica_id, owned in self.replicas.items():
            if replica_id not in self._probed and owned.seems_stuck(now):
                self._probed.add(replica_id)
                eventlet.spawn_n(self._probe_stuck, owned)
        for replica_id in self._drains.due_probes(now):
            if replica_id in self.replicas:
                eventlet.spawn_n(self._probe_draining, replica_id)
        for replica_id in self._drains.due_repeats(now):
            if replica_id in self.replicas:
                self.notify(replica_id, True)
        self._drains.forget_old(now)

    def _probe_stuck(self, owned: OwnedReplica) -> None:
        replica_id = owned.replica.id
        try:
            while self.replicas.get(replica_id) is owned:
                if self._ask_state(replica_id) is not None:
                    self._note_answer(owned)
                    return
                if not owned.unresponsive:
                    owned.mark_unresponsive()
                    self.audit.record(AuditKind.REPLICA_LOST, 0, replica=replica_id)
                    self.on_silent(owned)
                eventlet.sleep(UNRESPONSIVE_PROBE_S)
        finally:
            self._probed.discard(replica_id)

    def _note_answer(self, owned: OwnedReplica) -> None:
        if owned.unresponsive:
            replica_id = owned.replica.id
            self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        owned.note_answer(time.monotonic())
        self.on_answer(owned)

    def _probe_draining(self, replica_id: str) -> None:
        is_serving = self._ask_state(replica_id) == STATE_READY
        owned = self.replicas.get(replica_id)
        if owned is None or not self._drains.probed(replica_id, is_serving):
            return
        owned.set_draining(owned.replica.draining)
        self.audit.record(AuditKind.REPLICA_RECOVERED, 0, replica=replica_id)
        self.notify(replica_id, False)

    def _ask_state(self, replica_id: str) -> str | None:
        """Return the state that the health endpoint names, None without an answer.

        Without a free connection nothing is known, which is not a missing answer.
        """
        while (pool := self.pools.get(replica_id)) is not None:
            connection = pool.acquire()
            if connection is not None:
                try:
                    return connection.probe()
                finally:
                    pool.release(connection)
            eventlet.sleep(CONNECTION_WAIT_S)
        return None
