"""Reads: requests to single replicas, with choice of the replica and accounting."""

from collections import deque
from collections.abc import Callable, Container, Iterable
from functools import partial
from typing import NamedTuple

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    MemoryBudget,
)
from cicadalever.crashes import CrashLedger
from cicadalever.discovery import (
    DirectoryChange,
    ReplicaEntry,
    ReplicaState,
    UpstreamDirectory,
)
from cicadalever.notices import (
    ReplicaNotices,
)
from cicadalever.placement import (
    HostCounts,
    LeastCostSelector,
    connections_per_host,
)
from cicadalever.ratelimits import (
    NamedLimits,
)
from cicadalever.retries import RetryBudget
from cicadalever.routing import Route, RoutingTable
from cicadalever.wire import (
    AnswerFault,
    EventLoop,
    Exchange,
    HeaderNames,
    ReplicaAnswer,
    ReplicaConnection,
    ReplicaPool,
)

from ._answers import (
    AnswerKind,
    classify_answer,
    classify_read_outcome,
    shows_survival,
)
from ._crash_guard import CrashGuard
from ._events import EventLog
from ._metrics import GatewayMetrics
from ._outbound import OutboundRequest
from ._replica_statements import ReplicaStatements

# Connection limit of replicas whose service is not in the configuration.
DEFAULT_MAX_CONNECTIONS = 8
# A read whose result is no longer needed may still complete within this time, which
# keeps its connection open. After that, the connection is closed, which stops the
# replica. Replicas must not work for callers that disconnected half a second ago.
ABANDON_GRACE_S = 0.3
# Most connections that a host without upstreams tries to open at a time, and the time
# in seconds that they have.
MAX_PROBES = 8
CONNECT_TIMEOUT_S = 0.4
# Most connections that are opened in advance per tick, so that they do not delay reads.
MAX_WARM_UPS = 20
# Half of the descriptors that a Linux process has unless its limit was raised.
DEFAULT_MAX_POOLS_IN_ADVANCE = 512
# Most replicas that wait for a connection in advance; the oldest are dropped.
MAX_NEW_REPLICAS = 4096


# Time after which a service without a usable replica has probably one again, and
# after which a host that has just started knows the configuration.
RECOVERY_S = 0.25


class ReadRefusal(NamedTuple):
    """Why no replica of a service may be read now.

    ``reason`` is "limited", "paused" or "leaving". The replicas can probably be read
    again in ``wait_s`` seconds.
    """

    reason: str
    wait_s: float


class _RequestIdentity(NamedTuple):
    """What tells requests apart; a read that was sent keeps no body for it."""

    request_id: bytes
    fingerprint: int


class ReadResult(NamedTuple):
    """How a read ended; ``is_lost`` tells that the replica may have crashed."""

    kind: AnswerKind
    answer: ReplicaAnswer
    replica: ReplicaEntry
    is_lost: bool = False
    is_canary: bool = False


class Read:
    """One request to one replica; ``on_end`` is None once it has ended.

    ``started_at`` is the monotonic time in seconds. A read that ``is_canary`` was sent
    although its request may crash replicas.
    """

    def __init__(self, replica: ReplicaEntry, started_at: float, *, is_canary: bool):
        self.replica = replica
        self.started_at = started_at
        self.is_canary = is_canary
        self.exchange: Exchange | None = None
        self.on_end: Callable[[Read, ReadResult], None] | None = None


class ReadRunner:
    """Starts reads and reports how they end to selector, event log and metrics.

    Keeps one connection pool per replica. ``memory`` bounds what all unfinished
    answers hold together. A replica that leaves still serves for ``drain_s`` seconds. A
    host with ``max_pools_in_advance`` pools opens no connections in advance: entries of
    other writers could use up its descriptors.
    """

    def __init__(
        self,
        loop: EventLoop,
        names: HeaderNames,
        directory: UpstreamDirectory,
        selector: LeastCostSelector,
        retry_budget: RetryBudget,
        events: EventLog,
        metrics: GatewayMetrics,
        memory: MemoryBudget | None = None,
        drain_s: float = 0.0,
        max_pools_in_advance: int = DEFAULT_MAX_POOLS_IN_ADVANCE,
        ledger: CrashLedger | None = None,
        descriptors: DescriptorBudget | None = None,
    ):
        self.loop = loop
        self.names = names
        self.memory = memory or MemoryBudget()
        self.descriptors = DescriptorShare(
            descriptors or DescriptorBudget(), DescriptorKind.REPLICA
        )
        self.max_pools_in_advance = max_pools_in_advance
        self.directory = directory
        self.selector = selector
        self.retry_budget = retry_budget
        self.events = events
        self.metrics = metrics
        # Called with the ids of replicas whose reads are overdue.
        self.on_late: Callable[[list[str]], None] = lambda replica_ids: None
        self.guard = CrashGuard(
            loop, events, metrics, ledger or CrashLedger(""), self._probe_lost
        )
        self.limits = NamedLimits(selector.rng)
        self.notices = ReplicaNotices(drain_s)
        self.statements = ReplicaStatements(
            loop,
            directory,
            events,
            metrics,
            self.limits,
            self.notices,
            self._withdraw_waiting,
        )
        # Services that it names at all. Entries of others name no replica to use.
        self.named_services: Container[str] = frozenset()
        # Hosts that share the connections of replicas, or None while unknown.
        self._host_counts: HostCounts | None = None
        self._is_gatherer = True
        # Called when no replica has answered a query in the usual time, with the time
        # at which it was sent.
        self.on_silence: Callable[[float], None] = lambda sent_at: None
        # Called with the id of a replica and a connection to it whose handshake was
        # completed or has failed.
        self.on_handshake: Callable[[str, ReplicaConnection], None] = (
            lambda replica_id, connection: None
        )
        # When a replica last completed an answer or a handshake.
        self._service_probes = 0
        self._contact_at = loop.now()
        self._answered_at = float("-inf")
        self._pools: dict[str, ReplicaPool] = {}
        # Replicas of the own data centre that were found since the last ``warm_up``.
        self._new_replicas: deque[str] = deque(maxlen=MAX_NEW_REPLICAS)

    def choose_replica(
        self, service: str, route: Route, exclude: Container[str]
    ) -> ReplicaEntry | None:
        """Return the replica for the next read from a service, or None.

        Replicas whose ids are in ``exclude`` are not chosen, nor are those that may not
        be read now (``may_read``). Replicas that are limited or leaving come last.
        """
        now = self.loop.now()
        replicas = self.directory.ready_replicas(service)
        last_resorts: Container[str] = ()
        if self.limits or self.notices:
            replicas = [each for each in replicas if self.may_read(each, route)]
            last_resorts = {each.id for each in replicas if self._is_last_resort(each)}
            if not exclude and route.idempotent:
                for replica in replicas:
                    if self._needs_check(replica.id, now):
                        return replica
        return self.selector.choose(
            replicas,
            now,
            route=route.name,
            exclude=exclude,
            is_connected=self._is_connected,
            last_resorts=last_resorts,
        )

    def may_read(self, replica: ReplicaEntry, route: Route) -> bool:
        """Return whether a replica may get a read of this host now.

        It may not if it pauses or has left, if its rate limit forbids it, or if others
        of its service pause and the read would wait here too long to be of use.
        """
        now = self.loop.now()
        return (
            self.limits.may_read(replica.id, now)
            and self.notices.may_read(replica, now)
            and self._has_room(replica, route, now)
        )

    def may_still_read(self, replica: ReplicaEntry, route: Route) -> bool:
        """Return whether a replica that was chosen a while ago may get a read now."""
        return self.directory.is_ready(replica) and self.may_read(replica, route)

    def _is_last_resort(self, replica: ReplicaEntry) -> bool:
        return replica.id in self.limits or self.notices.is_leaving(replica)

    def _has_room(self, replica: ReplicaEntry, route: Route, now: float) -> bool:
        """Return whether a read would start in time at a replica whose others pause.

        The reads of a service are not moved to the replicas that are left beyond the
        slots of these: they wait in this host, in the order of their ranks, or are
        refused at once if the wait would take the time that they have.
        """
        if not self.notices.has_pause(replica.service, now):
            return True
        ahead = len(self.selector.health(replica.id).in_flight)
        rounds = ahead // self._share_of_slots(replica)
        wait_s = rounds * self.selector.usual_latency_s(route.name)
        return wait_s <= route.target_latency_s

    def _share_of_slots(self, replica: ReplicaEntry) -> int:
        """Return how many requests this host may have in progress at a replica."""
        return connections_per_host(
            replica.slots,
            self._host_counts,
            is_gathered=replica.service in self.statements.gathered_services,
            is_gatherer=self._is_gatherer,
        )

    def can_read(
        self,
        service: str,
        route: Route,
        exclude: Container[str] = (),
        *,
        is_hedge: bool = False,
    ) -> bool:
        """Return whether a service has a replica for a read that starts now.

        A replica that is leaving gets no hedges.
        """
        return any(
            replica.id not in exclude
            and self.may_read(replica, route)
            and not (is_hedge and self.notices.is_leaving(replica))
            for replica in self.directory.ready_replicas(service)
        )

    def find_refusal(
        self, services: Iterable[str], route: Route, may_lack: int = 0
    ) -> ReadRefusal | None:
        """Return why services may not be read now, and until when.

        That is until all of them can be read but ``may_lack``. The result is None
        unless one of them has replicas, of which none may be read.
        """
        refusals = [
            self._refusal_of(replicas)
            for service in services
            if (replicas := self.directory.ready_replicas(service))
            and not any(self.may_read(each, route) for each in replicas)
        ]
        refusals.sort(key=lambda each: each.wait_s, reverse=True)
        return refusals[min(may_lack, len(refusals) - 1)] if refusals else None

    def _refusal_of(self, replicas: list[ReplicaEntry]) -> ReadRefusal:
        """Return why none of the replicas of a service may be read, and for how long.

        The one that can be read first decides.
        """
        now = self.loop.now()
        refusals = []
        limited = []
        for replica in replicas:
            pause_left_s = self.notices.pause_left_s(replica.id, now)
            if pause_left_s > 0.0:
                refusals.append(ReadRefusal("paused", pause_left_s))
            elif not self.notices.may_read(replica, now):
                continue
            elif replica.id in self.limits:
                limited.append(replica.id)
            else:
                # It has all the reads that it can take while others pause.
                refusals.append(ReadRefusal("paused", RECOVERY_S))
        if limited:
            wait_s = self.limits.expected_wait_s(limited)
            refusals.append(ReadRefusal("limited", wait_s))
        return min(
            refusals,
            key=lambda each: each.wait_s,
            default=ReadRefusal("leaving", RECOVERY_S),
        )

    def _needs_check(self, replica_id: str, now: float) -> bool:
        is_ejected = self.selector.health(replica_id).is_ejected(now)
        return not is_ejected and self.limits.needs_check(replica_id, now)

    def start(
        self,
        replica: ReplicaEntry,
        outbound: OutboundRequest,
        route: Route,
        table: RoutingTable,
        on_end: Callable[[Read, ReadResult], None],
        *,
        is_canary: bool = False,
    ) -> Read:
        """Send a request to a replica.

        ``on_end`` is called once, possibly before this method returns. ``is_canary``
        tells that the request may crash replicas.
        """
        now = self.loop.now()
        read = Read(replica, now, is_canary=is_canary)
        read.on_end = on_end
        self.selector.record_start(replica.id, read, now)
        self.limits.record_read(replica.id)
        pool = self._pool_for(replica, table)

        identity = _RequestIdentity(outbound.request_id, outbound.fingerprint)

        def finish(answer: ReplicaAnswer) -> None:
            self._finish(read, route, identity, answer)

        def encode() -> bytes:
            return outbound.encode(replica.id, self.loop.now())

        read.exchange = Exchange(encode, outbound.request_id, route.rank, finish)
        pool.send(read.exchange)
        return read

    def try_spend(self, service: str) -> bool:
        """Take one extra read from the retry budget of a service, if one is left."""
        if self.retry_budget.try_spend(service, self.loop.now()):
            return True
        self.metrics.extra_read("no_allowance")
        return False

    def report_overdue(self, reads: Iterable[Read], overdue_s: float) -> None:
        """Avoid the replicas of reads older than ``overdue_s``; tell other hosts."""
        started_before = self.loop.now() - overdue_s
        late = [read.replica.id for read in reads if read.started_at <= started_before]
        if late:
            self.avoid_late(late)
            self.on_late(late)

    def avoid_late(self, replica_ids: list[str]) -> None:
        """Avoid replicas for a while that this host or another one found late."""
        now = self.loop.now()
        for replica_id in replica_ids:
            if replica_id in self.directory:
                self.selector.health(replica_id).avoid(now)

    def close_expired(self) -> None:
        """Close the idle connections that replicas are about to close."""
        for pool in list(self._pools.values()):
            pool.close_expired()

    def abandon(
        self, read: Read, detail: str, on_end: Callable[[Read, ReadResult], None]
    ) -> None:
        """Cancel a read after ``ABANDON_GRACE_S``, unless it ends before.

        One that was not sent is cancelled at once. ``on_end`` replaces what was to be
        called at the end; it should not refer to the request.
        """
        read.on_end = on_end
        if read.exchange.is_waiting:
            read.exchange.cancel(detail)
            return
        self.loop.call_later(ABANDON_GRACE_S, read.exchange.cancel, detail)

    @property
    def answered_at(self) -> float:
        """Monotonic time in seconds at which a replica last completed an answer."""
        return self._answered_at

    @property
    def contact_age_s(self) -> float:
        """Seconds since a replica last completed an answer or a handshake."""
        return self.loop.now() - self._contact_at

    def is_reachable(self, service: str) -> bool:
        """Return whether some replica of a service is not known to be unreachable."""
        return any(
            not self.selector.health(replica.id).is_unreachable
            for replica in self.directory.ready_replicas(service)
        )

    def probed_replicas(self) -> list[ReplicaEntry]:
        """Return the replicas that tell whether this host has its links."""
        return [
            replica
            for replica in self.directory.all_ready_replicas()
            if replica.service in self.named_services
        ]

    def find_unreachable(self, table: RoutingTable) -> list[ReplicaEntry]:
        """Return a replica, at random, of each service that is not reachable."""
        return [
            self.selector.rng.choice(replicas)
            for service in sorted(table.service_names)
            if (replicas := self.directory.ready_replicas(service))
            and not self.is_reachable(service)
        ]

    def probe_unreachable(self, table: RoutingTable) -> None:
        """Try to connect to a replica of some services that are not reachable.

        At most ``MAX_PROBES`` connections are in progress at a time.
        """
        replicas = self.find_unreachable(table)
        self.selector.rng.shuffle(replicas)
        for replica in replicas[: MAX_PROBES - self._service_probes]:
            self._service_probes += 1
            self.probe(replica, CONNECT_TIMEOUT_S, self._end_service_probe)

    def _end_service_probe(self, is_reached: bool) -> None:
        self._service_probes -= 1

    def forget_unreachable(self) -> None:
        """Try replicas again that were out of reach because of this host's links."""
        for replica in self.directory.all_ready_replicas():
            health = self.selector.health(replica.id)
            if health.is_unreachable:
                health.record_connected()

    def connect_to(self, replica: ReplicaEntry, table: RoutingTable) -> None:
        """Open a connection to a replica that is read soon, unless there is one."""
        self._pool_for(replica, table).warm_up()

    def warm_up(self, table: RoutingTable) -> None:
        """Connect to new replicas near this host before queries need them.

        When the index is divided into other shards, the replicas of all of them are new
        at once, and the first queries would otherwise wait for that many connections.
        Replicas of services that no route names may belong to such shards.
        """
        opened = 0
        if len(self._pools) >= self.max_pools_in_advance:
            self._new_replicas.clear()
        while self._new_replicas and opened < MAX_WARM_UPS:
            replica = self.directory.get(self._new_replicas.popleft())
            if replica is None or replica.id in self._pools:
                continue
            if self._may_be_gathered(replica.service, table):
                self._pool_for(replica, table).warm_up()
                opened += 1

    def _may_be_gathered(self, service: str, table: RoutingTable) -> bool:
        return service in table.shard_names or service not in table.service_names

    def probe(
        self, replica: ReplicaEntry, timeout_s: float, on_end: Callable[[bool], None]
    ) -> None:
        """Open a connection to a replica and close it again.

        ``on_end`` is called once with whether the replica accepted the connection
        within ``timeout_s`` seconds.
        """

        def connected(connection: ReplicaConnection) -> None:
            self._contact_at = self.loop.now()
            self.guard.record_life(replica.id, connection.started_at)
            self.selector.health(replica.id).record_connected()
            connection.close("probe completed")

        def closed(connection: ReplicaConnection, detail: str) -> None:
            on_end(connection.is_connected)

        self.metrics.connection_opened()
        ReplicaConnection(
            self.loop, self.names, replica.address, connected, closed, self.memory
        ).connect(timeout_s)

    def _probe_lost(self, replica: ReplicaEntry) -> None:
        self.probe(replica, CONNECT_TIMEOUT_S, lambda is_reached: None)

    def directory_changed(self, change: DirectoryChange) -> None:
        """Drop the connections and health data of a replica that restarted or left.

        Requests that wait for a connection to a replica that drains go to another one:
        their turn may come after it has left.
        """
        previous, current = change.previous, change.current
        self.notices.record_entry(change.replica_id, current)
        if current is not None and current.data_centre == self.selector.data_centre:
            self._new_replicas.append(current.id)
        if previous is None:
            return
        if current is not None and _is_same_process(current, previous):
            if current.state is not ReplicaState.READY:
                self._withdraw_waiting(current.id, "the replica is draining")
            return
        pool = self._pools.pop(change.replica_id, None)
        if pool is not None:
            pool.close()
        self.statements.end_limit(
            previous, "restarted" if current is not None else "left"
        )
        if current is None:
            self.selector.forget(change.replica_id)
        else:
            self.selector.health(change.replica_id).reset()

    def _finish(
        self, read: Read, route: Route, identity: _RequestIdentity, answer
    ) -> None:
        kind = classify_answer(answer, self.names)
        self.loop.run_guarded(self._record_end, read, route, identity, answer, kind)
        on_end, read.on_end = read.on_end, None
        # A replica that asks for a pause has survived the request.
        is_lost = answer.fault is AnswerFault.LOST and answer.retry_after is None
        if is_lost:
            self.guard.record_loss(
                identity.fingerprint, read.replica, is_canary=read.is_canary
            )
        elif self.guard.ledger and shows_survival(answer, kind, self.names):
            self.guard.record_survival(
                identity.fingerprint,
                read.replica.service,
                read.started_at,
                is_canary=read.is_canary,
            )
        if on_end is not None:
            result = ReadResult(kind, answer, read.replica, is_lost, read.is_canary)
            on_end(read, result)

    def _record_end(
        self,
        read: Read,
        route: Route,
        identity: _RequestIdentity,
        answer: ReplicaAnswer,
        kind: AnswerKind,
    ) -> None:
        """Report how a read ended to selector, limits, log and metrics."""
        now = self.loop.now()
        if answer.fault is None:
            self._contact_at = self._answered_at = now
            self.guard.record_life(read.replica.id, read.started_at)
        outcome = classify_read_outcome(answer, kind)
        replica = read.replica
        if self.selector.record_end(replica.id, read, outcome, route.name, now):
            self.events.emit(
                "replica_ejected",
                replica=replica.id,
                service=replica.service,
                cause=kind,
                detail=answer.detail or answer.status,
                failures=self.selector.health(replica.id).consecutive_failures,
            )
        self.metrics.read_ended(kind, now - read.started_at)
        self.statements.observe_limit(replica, kind, answer, read.started_at)
        self.statements.observe_notices(replica, answer)
        if kind is not AnswerKind.SUCCESS:
            self.events.emit_detail(
                "read_failed",
                id=identity.request_id,
                replica=replica.id,
                service=replica.service,
                kind=kind,
                detail=answer.detail or answer.status,
                ms=round((now - read.started_at) * 1000, 1),
            )

    def _withdraw_waiting(self, replica_id: str, detail: str) -> None:
        pool = self._pools.get(replica_id)
        if pool is not None:
            pool.withdraw_waiting(detail)

    def _is_connected(self, replica_id: str) -> bool:
        pool = self._pools.get(replica_id)
        return pool is not None and pool.has_idle

    def share_connections(self, counts: HostCounts, *, is_gatherer: bool) -> None:
        """Use this host's share of the connections for pools that are opened now."""
        self._host_counts = counts
        self._is_gatherer = is_gatherer

    def _max_connections(self, service: str, table: RoutingTable) -> int:
        options = table.services.get(service)
        return connections_per_host(
            options.max_connections if options else DEFAULT_MAX_CONNECTIONS,
            self._host_counts,
            is_gathered=service in table.shard_names,
            is_gatherer=self._is_gatherer,
        )

    def _pool_for(self, replica: ReplicaEntry, table: RoutingTable) -> ReplicaPool:
        pool = self._pools.get(replica.id)
        max_connections = self._max_connections(replica.service, table)
        if pool is not None:
            pool.max_connections = max_connections
        else:
            pool = self._pools[replica.id] = ReplicaPool(
                self.loop,
                self.names,
                replica.address,
                max_connections,
                self.metrics.connection_opened,
                self.memory,
                partial(self._observe_handshake, replica.id),
                self.descriptors,
            )
        has_pause = self.notices.has_pause(replica.service, self.loop.now())
        pool.limit_requests(self._share_of_slots(replica) if has_pause else None)
        return pool

    def _observe_handshake(
        self, replica_id: str, connection: ReplicaConnection
    ) -> None:
        if connection.is_connected:
            self._contact_at = self.loop.now()
            self.guard.record_life(replica_id, connection.started_at)
        self.on_handshake(replica_id, connection)


def _is_same_process(entry: ReplicaEntry, other: ReplicaEntry) -> bool:
    """Return whether two entries of one id come from one process."""
    process = (entry.address, entry.started_at_ms)
    return process == (other.address, other.started_at_ms)
