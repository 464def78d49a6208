"""Communication between hosts: heartbeats over UDP, queries and changes over HTTP."""

import contextlib
import socket
from collections.abc import Callable, Collection, Iterable
from random import Random

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    MemoryBudget,
)
from cicadalever.crashes import CrashRecord
from cicadalever.outcomes import Failure
from cicadalever.peers import (
    CONTACT_QUERY_PREFIX,
    CONTACT_REPORT_PREFIX,
    CRASH_REPORT_PREFIX,
    LIMIT_REPORT_PREFIX,
    MAX_QUERIED_REPLICAS,
    MAX_REPLICAS,
    OBSERVATION_PREFIX,
    Address,
    ContactQuery,
    ContactReport,
    CrashReport,
    Heartbeat,
    HostCount,
    LimitReport,
    Peer,
    PeerTable,
    decode_contact_query,
    decode_contact_report,
    decode_crash_report,
    decode_heartbeat,
    decode_limit_report,
    decode_observation,
    encode_contact_query,
    encode_contact_report,
    encode_crash_news,
    encode_crash_report,
    encode_heartbeat,
    encode_limit_report,
    encode_observation,
)
from cicadalever.ratelimits import LimitNews
from cicadalever.routing import Limits
from cicadalever.wire import (
    CallerServer,
    EventLoop,
    Exchange,
    HeaderNames,
    ReplicaPool,
    ServerLimits,
)

from ._events import EventLog

# Status with which a host declines a request of a peer; it has sent no read for it.
STATUS_DECLINED = 409
# Status with which a host gives a request back that it can no longer read; reads of it
# may have been sent. Replicas may answer with these statuses too, without the header of
# a refusal.
STATUS_LOST_UPSTREAMS = 410
# Informational response with which a host acknowledges that it gathers a query, and
# reports that it still does.
STATUS_PROCESSING = 102
# Time between two informational responses while a query is gathered.
PROGRESS_PERIOD_S = 0.4
# Most requests that a host sends to one peer at a time. Further queries wait for a
# connection, and the host gathers them itself when the acknowledgement is overdue.
MAX_CONNECTIONS_PER_PEER = 32
# What a host may add to the head of a caller's request for another host.
PEER_HEADER_BYTES = 16 * 1024
# Largest datagram that is received, and most datagrams per callback of the socket.
MAX_HEARTBEAT_BYTES = 2048
MAX_HEARTBEATS_PER_READ = 64
# Time between two reports of this host about the same replica.
REPORT_PERIOD_S = 0.1
# Replicas whose reports are remembered; beyond that all are forgotten, which only costs
# some repeated reports.
MAX_REPORTED_REPLICAS = 10_000
UNKNOWN_COUNT = HostCount(0, 0)


def plan_peer_limits(limits: Limits) -> ServerLimits:
    """Return the limits on requests of peers, which carry those of callers.

    >>> plan_peer_limits(Limits(max_body_bytes=2**21)).max_body_bytes
    2097152
    """
    default = Limits()
    head_bytes = limits.max_header_bytes + PEER_HEADER_BYTES
    return ServerLimits(
        max(default.max_header_bytes, head_bytes),
        max(default.max_body_bytes, limits.max_body_bytes),
        default.header_timeout_s,
        default.idle_timeout_s,
    )


class PeerLink:
    """Sends and receives the heartbeats and requests between this host and its peers.

    As long as the port cannot be opened, for example because another process holds it,
    the host works without peers.
    """

    def __init__(
        self,
        loop: EventLoop,
        names: HeaderNames,
        host_id: str,
        peer_table: PeerTable,
        server: CallerServer,
        events: EventLog,
        rng: Random,
        memory: MemoryBudget | None = None,
        descriptors: DescriptorBudget | None = None,
    ):
        self.loop = loop
        self.names = names
        self.host_id = host_id
        self.peer_table = peer_table
        self.server = server
        self.events = events
        self.rng = rng
        self.memory = memory or MemoryBudget()
        self.descriptors = DescriptorShare(
            descriptors or DescriptorBudget(), DescriptorKind.LINK
        )
        # Called with the version of the configuration of a peer that has a newer one.
        self.on_newer_version: Callable[[int], None] = lambda version: None
        # Called with the ids of replicas that another host found late.
        self.on_late_replicas: Callable[[list[str]], None] = lambda replica_ids: None
        self.on_crash_report: Callable[[CrashReport], None] = lambda report: None
        # Called with the id of another host and what it learned about rate limits.
        self.on_limit_report: Callable[[str, list[LimitNews]], None] = (
            lambda host, reports: None
        )
        # Called with the datagrams that begin with a prefix.
        self.handlers: dict[bytes, Callable[[bytes], None]] = {
            OBSERVATION_PREFIX: self._handle_observation,
            CRASH_REPORT_PREFIX: self._handle_crash_report,
            LIMIT_REPORT_PREFIX: self._handle_limit_report,
            CONTACT_QUERY_PREFIX: self._handle_contact_query,
            CONTACT_REPORT_PREFIX: self._handle_contact_report,
        }
        # Called with the query of a host that cannot reach replicas.
        self.on_contact_query: Callable[[ContactQuery], None] = lambda query: None
        # Called with the answer of another host to such a query.
        self.on_contact_report: Callable[[ContactReport], None] = lambda report: None
        # When each replica may be reported again.
        self._report_due_at: dict[str, float] = {}
        self._socket: socket.socket | None = None
        self._pools: dict[Address, ReplicaPool] = {}
        self._version = 0
        self._is_serving = False
        self._is_cut_off = False
        self._ticked_at = loop.now()

    def start(self) -> None:
        """Open the UDP socket and the HTTP server.

        Raises ``OSError`` if the port is taken; then nothing is open.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(self.peer_table.address)
            self.server.start()
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self.loop.watch_read(sock.fileno(), self._read_heartbeats)

    def tick(self, version: int, *, is_serving: bool, is_cut_off: bool) -> None:
        """Send the heartbeats that are due, and log gatherers that were lost.

        The heartbeats tell the given state of this host.
        ``version`` is the version of the configuration in force, or 0 without one.
        """
        if version != self._version:
            self.peer_table.announce()
        has_changed = is_cut_off != self._is_cut_off
        self._version = version
        self._is_serving = is_serving
        self._is_cut_off = is_cut_off
        now = self.loop.now()
        if has_changed:
            # Other hosts should not hand queries to a host that cannot read.
            for address in self.peer_table.advisers():
                self._send_heartbeat(address, wants_reply=False)
        for peer in self.peer_table.expire(self._ticked_at, now):
            self.events.emit("gatherer_lost", gatherer=peer.heartbeat.host)
        self._ticked_at = now
        for address in self.peer_table.take_due_addresses(now):
            self._send_heartbeat(address, wants_reply=True)

    def choose_gatherer(self, version: int) -> Peer | None:
        """Return the peer that should gather a query, or None for this host."""
        if self._socket is None:
            return None
        return self.peer_table.choose_gatherer(version, self.loop.now(), self.rng)

    def fellows_by_data_centre(self, version: int) -> dict[str, Peer]:
        """Return a host of each other data centre that can read shards for this one."""
        if self._socket is None:
            return {}
        return self.peer_table.choose_fellows(version, self.loop.now(), self.rng)

    def choose_refuge(self, version: int, exclude: Iterable[Address]) -> Peer | None:
        """Return a peer that can take over a request of this host, or None."""
        now = self.loop.now()
        return self.peer_table.refuges.choose(version, now, self.rng, exclude)

    def ask_contact(self, replica_ids: Collection[str], number: int) -> None:
        """Ask other hosts for their state and to connect to some replicas."""
        if self._socket is None:
            return
        count = min(MAX_QUERIED_REPLICAS, len(replica_ids))
        some = self.rng.sample(list(replica_ids), count)
        query = ContactQuery(self.peer_table.address, number, some)
        data = encode_contact_query(query)
        for address in self.peer_table.choose_witnesses(self.rng):
            # A lost query is repeated by the caller.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def report_contact(self, query: ContactQuery, reached: list[str]) -> None:
        """Tell a host the state of this one and the replicas that this one reaches."""
        if self._socket is None:
            return
        heartbeat = self._own_heartbeat(wants_reply=False)
        report = ContactReport(heartbeat, query.number, reached)
        with contextlib.suppress(OSError):
            self._socket.sendto(encode_contact_report(report), query.address)

    def choose_source(self, current: Peer | None) -> Peer | None:
        """Return the peer to take changes from, or None for the platform."""
        if self._socket is None:
            return None
        return self.peer_table.choose_source(current, self.loop.now(), self.rng)

    def report_late(self, replica_ids: list[str]) -> None:
        """Tell the other hosts that gather queries which replicas are late."""
        now = self.loop.now()
        due = [
            replica_id
            for replica_id in replica_ids
            if now >= self._report_due_at.get(replica_id, 0.0)
        ]
        if self._socket is None or not due:
            return
        if len(self._report_due_at) > MAX_REPORTED_REPLICAS:
            self._report_due_at.clear()
        for replica_id in due:
            self._report_due_at[replica_id] = now + REPORT_PERIOD_S
        data = encode_observation(due)
        for address in self.peer_table.fellows():
            # A lost report has the effect that another host finds out itself.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def send_crash_news(
        self,
        records: Iterable[CrashRecord],
        addresses: Iterable[Address],
        memory_s: float,
        *,
        wants_reply: bool = False,
    ) -> None:
        """Tell other hosts about requests that may crash replicas.

        ``memory_s`` is the time in seconds for which this host and those that told it
        have known of such requests.
        """
        if self._socket is None:
            return
        datagrams = list(
            encode_crash_news(
                self.host_id,
                self.peer_table.address,
                records,
                memory_s,
                wants_reply=wants_reply,
            )
        )
        for address in addresses:
            for data in datagrams:
                # What gets lost is sent again; see ``CrashGossip``.
                with contextlib.suppress(OSError):
                    self._socket.sendto(data, address)

    def report_crashes(self, fingerprint: int, crashes: int) -> None:
        """Tell hosts of older versions how many replicas a request has crashed."""
        if self._socket is not None:
            report = CrashReport(self.host_id, fingerprint, crashes)
            self._send_crash_report(report, self.peer_table.advisers())

    def _send_crash_report(
        self, report: CrashReport, addresses: Iterable[Address]
    ) -> None:
        data = encode_crash_report(report)
        for address in addresses:
            # Hosts of this version learn it from ``send_crash_news``.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def report_limits(self, reports: list[LimitNews]) -> None:
        """Tell the other hosts which rate limits replicas have named to this one."""
        if self._socket is None:
            return
        for start in range(0, len(reports), MAX_REPLICAS):
            limits = [tuple(news) for news in reports[start : start + MAX_REPLICAS]]
            report = LimitReport(self.host_id, limits)
            self._send_limit_report(report, self.peer_table.advisers())
            if self.peer_table.is_seed:
                self._forward_limit_report(report)

    def _forward_limit_report(self, report: LimitReport) -> None:
        forwarded = LimitReport(report.host, report.limits, True)
        self._send_limit_report(forwarded, self.peer_table.known_hosts())

    def _send_limit_report(
        self, report: LimitReport, addresses: Iterable[Address]
    ) -> None:
        data = encode_limit_report(report)
        for address in addresses:
            # Limits that still apply are reported again, and their ends several times.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def send(self, address: Address, exchange: Exchange) -> None:
        """Send a request to the peer at ``address``."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ReplicaPool(
                self.loop,
                self.names,
                address,
                MAX_CONNECTIONS_PER_PEER,
                memory=self.memory,
                descriptors=self.descriptors,
            )
        pool.send(exchange)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a host that has become silent.

        What silenced one of its connections has mostly silenced all.
        """
        pool = self._pools.get(address)
        if pool is not None:
            pool.close_idle("the host is silent")

    def close_expired(self) -> None:
        """Close the connections whose idle time has expired."""
        for pool in self._pools.values():
            pool.close_expired()

    def _send_heartbeat(
        self,
        address: Address,
        *,
        wants_reply: bool,
        peers: list[Address] | None = None,
        fellows: list[Address] | None = None,
        count: HostCount = UNKNOWN_COUNT,
        refuges: list[Address] | None = None,
    ) -> None:
        if self._socket is None:
            return
        heartbeat = self._own_heartbeat(
            wants_reply=wants_reply,
            peers=peers,
            fellows=fellows,
            count=count,
            refuges=refuges,
        )
        # An error has the effect of a lost datagram; the next heartbeat follows soon.
        with contextlib.suppress(OSError):
            self._socket.sendto(encode_heartbeat(heartbeat), address)

    def _own_heartbeat(
        self,
        *,
        wants_reply: bool,
        peers: list[Address] | None = None,
        fellows: list[Address] | None = None,
        count: HostCount = UNKNOWN_COUNT,
        refuges: list[Address] | None = None,
    ) -> Heartbeat:
        peer_table = self.peer_table
        return Heartbeat(
            self.host_id,
            peer_table.data_centre,
            peer_table.address,
            peer_table.capacity.link_mbps,
            peer_table.capacity.cores,
            self._version,
            self._is_serving,
            self._is_cut_off,
            wants_reply,
            peers or [],
            count.hosts,
            count.similar,
            fellows or [],
            refuges or [],
        )

    def _read_heartbeats(self) -> None:
        for _ in range(MAX_HEARTBEATS_PER_READ):
            try:
                data, _sender = self._socket.recvfrom(MAX_HEARTBEAT_BYTES)
            except OSError:
                return
            handle = self.handlers.get(data[:1])
            if handle is not None:
                handle(data)
                continue
            heartbeat = decode_heartbeat(data)
            if isinstance(heartbeat, Failure):
                self.events.emit_detail("heartbeat_unreadable", reason=heartbeat.reason)
                continue
            self._handle_heartbeat(heartbeat)

    def _handle_observation(self, data: bytes) -> None:
        replica_ids = decode_observation(data)
        if isinstance(replica_ids, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=replica_ids.reason)
        else:
            self.on_late_replicas(replica_ids)

    def _handle_contact_query(self, data: bytes) -> None:
        query = decode_contact_query(data)
        if isinstance(query, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=query.reason)
            return
        self.report_contact(query, [])
        self.on_contact_query(query)

    def _handle_contact_report(self, data: bytes) -> None:
        report = decode_contact_report(data)
        if isinstance(report, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=report.reason)
            return
        if report.heartbeat.address == self.peer_table.address:
            return
        self._observe_version(report.heartbeat)
        self.peer_table.refuges.record_report(report.heartbeat, self.loop.now())
        self.on_contact_report(report)

    def _handle_crash_report(self, data: bytes) -> None:
        report = decode_crash_report(data)
        if isinstance(report, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=report.reason)
            return
        if report.host == self.host_id:
            return
        self.on_crash_report(report)
        if not report.is_forwarded:
            forwarded = CrashReport(
                report.host, report.fingerprint, report.crashes, True
            )
            self._send_crash_report(forwarded, self.peer_table.known_hosts())

    def _handle_limit_report(self, data: bytes) -> None:
        report = decode_limit_report(data)
        if isinstance(report, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=report.reason)
            return
        if report.host == self.host_id:
            return
        self.on_limit_report(report.host, [LimitNews(*each) for each in report.limits])
        # All hosts send heartbeats to the seeds, so these know where to forward it.
        if self.peer_table.is_seed and not report.is_forwarded:
            self._forward_limit_report(report)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self.loop.now()
        self._observe_version(heartbeat)
        if self.peer_table.record_heartbeat(heartbeat, now):
            self.events.emit(
                "gatherer_found",
                gatherer=heartbeat.host,
                link_mbps=heartbeat.link_mbps,
                cores=heartbeat.cores,
            )
        if heartbeat.wants_reply:
            peers = self.peer_table.gatherers_for(heartbeat, now)
            self._send_heartbeat(
                heartbeat.address,
                wants_reply=False,
                peers=peers,
                fellows=self.peer_table.fellows_for(heartbeat, now, self.rng),
                count=self.peer_table.count_hosts_for(heartbeat, now),
                refuges=(
                    self.peer_table.refuges_for(heartbeat, now, self.rng)
                    if self.peer_table.is_seed
                    else None
                ),
            )

    def _observe_version(self, heartbeat: Heartbeat) -> None:
        if 0 < self._version < heartbeat.version:
            self.on_newer_version(heartbeat.version)
