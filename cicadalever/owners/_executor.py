"""Executes reads on upstreams and stops those that are no longer needed."""

import time
from collections.abc import Callable

import eventlet
from loguru import logger

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.upstreams import (
    ConnectionPool,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamConnection,
)

from ._answer_sender import AnswerSender
from ._read import QueuedRead, ReadKey
from ._replica import OwnedReplica


class ReadExecutor:
    """Executes each read in its own green thread.

    ``on_crash`` is called once per crash of an upstream, before the reads that ran on
    it are recorded as finished. ``on_finished`` is called after each read with its
    result.
    """

    def __init__(
        self,
        answer_sender: AnswerSender,
        on_crash: Callable[[OwnedReplica], None],
        on_finished: Callable[
            [OwnedReplica, QueuedRead, UpstreamAnswer | Failure], None
        ],
    ):
        self.answer_sender = answer_sender
        self.on_crash = on_crash
        self.on_finished = on_finished
        self._running: dict[ReadKey, QueuedRead] = {}
        self._connections: dict[ReadKey, UpstreamConnection] = {}
        self._abandoned: set[ReadKey] = set()

    def __len__(self) -> int:
        """Return the number of running reads."""
        return len(self._running)

    def __contains__(self, key: ReadKey) -> bool:
        """Tell whether read ``key`` is running."""
        return key in self._running

    def start(self, owned: OwnedReplica, pool: ConnectionPool, entry) -> None:
        """Start the read of a queue entry."""
        self._running[entry.item.key] = entry.item
        eventlet.spawn_n(self._run, owned, pool, entry)

    def cancel(self, key: ReadKey, pool: ConnectionPool) -> None:
        """Ask the upstream to stop a running read, if a connection is free."""
        read = self._running.get(key)
        connection = pool.acquire() if read is not None else None
        if connection is None:
            return
        try:
            connection.cancel(read.upstream_request_id)
        finally:
            pool.release(connection)

    def abandon(self, owned: OwnedReplica, failure: Failure) -> None:
        """Answer the running reads of an unresponsive replica and abort their calls."""
        for key, read in list(self._running.items()):
            # A non-idempotent run is not abandoned, because its answer may still come.
            if owned.is_running(key) and read.operation == "read":
                self._abandoned.add(key)
                self.answer_sender.refuse(read, failure)
                connection = self._connections.get(key)
                if connection is not None:
                    connection.abort()

    def _run(self, owned: OwnedReplica, pool: ConnectionPool, entry) -> None:
        read: QueuedRead = entry.item
        started_at = time.monotonic()
        result = self._call_safely(owned, pool, read)
        now = time.monotonic()
        if read.key in self._abandoned:
            self._abandoned.discard(read.key)
            result = Failure(FailureCode.UNREACHABLE, "abandoned")
            owned.finish(read, result, 0.0, now)
        else:
            self._finish(
                owned, read, result, started_at - entry.queued_at, now - started_at
            )
        del self._running[read.key]
        self.on_finished(owned, read, result)

    def _finish(
        self,
        owned: OwnedReplica,
        read: QueuedRead,
        result: UpstreamAnswer | Failure,
        queued_s: float,
        service_s: float,
    ) -> None:
        is_lost = isinstance(result, Failure) and result.code == FailureCode.LOST
        if is_lost and owned.record_loss(read.key):
            self.on_crash(owned)
        owned.finish(read, result, service_s, time.monotonic())
        self.answer_sender.answer(
            read, result, queued_s, service_s, pressure=owned.is_under_pressure()
        )

    def _call_safely(
        self, owned: OwnedReplica, pool: ConnectionPool, read: QueuedRead
    ) -> UpstreamAnswer | Failure:
        try:
            return self._call(owned, pool, read)
        except Exception:
            # A read that is never finished would occupy its slot forever.
            logger.exception(
                "unexpected error in read {}; answering it as unknown",
                read.upstream_request_id,
            )
            return Failure(FailureCode.UNKNOWN, "internal error of the owner")

    def _call(
        self, owned: OwnedReplica, pool: ConnectionPool, read: QueuedRead
    ) -> UpstreamAnswer | Failure:
        connection = pool.acquire()
        if connection is None:
            return Failure(FailureCode.OVERLOAD, "no connection is free")
        try:
            if not owned.answered_since_crash:
                if connection.probe() is None:
                    reason = f"{owned.replica.id} has not answered since its crash"
                    return Failure(FailureCode.UNREACHABLE, reason)
                owned.record_probe_answer(time.monotonic())
            self._connections[read.key] = connection
            return connection.call(
                UpstreamCall(
                    read.operation,
                    read.upstream_request_id,
                    read.shard,
                    read.snapshot,
                    read.parameters,
                    read.deadline - time.monotonic(),
                )
            )
        finally:
            self._connections.pop(read.key, None)
            pool.release(connection)
