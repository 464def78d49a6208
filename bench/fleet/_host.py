"""Simulated hosts, which run the product's service and calls."""

from collections.abc import Callable, Collection, Iterable
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from cicadalever.discovery import ReplicaEntry, UpstreamDirectory
from cicadalever.gateway._metrics import GatewayMetrics
from cicadalever.gateway._reads import ReadRunner
from cicadalever.gateway._service import GatewayService
from cicadalever.gateway._upstream_contact import UpstreamContact
from cicadalever.peers import MAX_QUERIED_REPLICAS
from cicadalever.placement import LeastCostSelector
from cicadalever.retries import RetryBudget
from cicadalever.wire import (
    AnswerFault,
    CallerRequest,
    CallerResponse,
    Exchange,
    Header,
    HeaderNames,
    ReplicaAnswer,
)

from ._loop import VirtualLoop
from ._replica import SimulatedPool, SimulatedReplica
from ._site import FleetSite, Policy

HEADER_NAMES = HeaderNames(
    b"x-id",
    b"x-left",
    b"x-signed",
    b"x-replica",
    b"x-not-run",
    b"x-parts",
    b"x-miss",
    b"x-limit",
    b"x-leaving",
)
# Delay between two hosts or a host and a replica of one data centre.
LOCAL_ONE_WAY_S = 0.0001
# Hosts that are asked at a time, and the time for which a report counts.
MAX_WITNESSES = 6
REFUGE_ALIVE_S = 1.3
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0


class NullEventLog:
    """Takes the place of the event log and drops all events."""

    def emit(self, event: str, **fields) -> None:
        """Do nothing."""

    emit_detail = emit


class SimulatedRunner(ReadRunner):
    """Reads from simulated replicas."""

    def __init__(self, *arguments, replicas: dict[str, SimulatedReplica], one_way):
        super().__init__(*arguments)
        self._replicas = replicas
        self._one_way = one_way
        # Whether the links of the host to all replicas are cut.
        self.is_cut: Callable[[], bool] = lambda: False

    def probe(
        self, replica: ReplicaEntry, timeout_s: float, on_end: Callable[[bool], None]
    ) -> None:
        """Connect to a simulated replica."""
        is_reached = not (self.is_cut() or self._replicas[replica.id].is_dark)
        round_trip_s = 2.0 * self._one_way(replica.data_centre)
        seconds = round_trip_s if is_reached else timeout_s
        self.loop.call_later(seconds, on_end, is_reached)

    def _pool_for(self, replica, table):
        pool = self._pools.get(replica.id)
        if pool is None:
            one_way_s = self._one_way(replica.data_centre)
            pool = self._pools[replica.id] = SimulatedPool(
                self._replicas[replica.id], self.names, one_way_s, self.is_cut
            )
        return pool


class SimulatedConnection:
    """Takes the place of a connection of a caller or peer; records the response."""

    round_trip_s = 0.002

    def __init__(
        self,
        on_response: Callable[[CallerResponse], None],
        on_interim: Callable[[list[Header]], None] = lambda headers: None,
    ):
        self.on_response = on_response
        self.on_interim = on_interim
        self.on_disconnect: Callable[[], None] | None = None
        self._is_open = True

    def respond(self, response: CallerResponse) -> None:
        """Pass the response on, unless the caller has disconnected."""
        if self._is_open:
            self._is_open = False
            self.on_response(response)

    def respond_interim(
        self, request: CallerRequest, status: int, headers: Iterable[Header] = ()
    ) -> bool:
        """Pass an informational response on."""
        if self._is_open:
            self.on_interim(list(headers))
        return self._is_open

    def end_request(
        self, response: CallerResponse, request: CallerRequest | None = None
    ) -> None:
        """Cancel the request and pass the response on."""
        if self._is_open and self.on_disconnect is not None:
            self.on_disconnect()
        self.respond(response)

    def disconnect(self) -> None:
        """Close the connection as the caller."""
        if self._is_open:
            self._is_open = False
            if self.on_disconnect is not None:
                self.on_disconnect()


class SimulatedPeer:
    """Another host as a ``Peer``; carries requests to it."""

    def __init__(self, loop: VirtualLoop, host: "SimulatedHost", one_way_s: float):
        self.loop = loop
        self.host = host
        self.one_way_s = one_way_s
        self.address = self
        self.in_flight = 0
        self.round_trip_s = 2.0 * one_way_s
        self.heartbeat = SimpleNamespace(host=host.name)

    def is_alive(self, now: float) -> bool:
        """Return True; simulated hosts do not fail."""
        return True

    def observe_round_trip(self, seconds: float) -> None:
        """Do nothing; the round trip never changes."""

    def send(self, exchange: Exchange) -> None:
        """Send a request to the host, and its responses back."""
        link = _PeerConnection(self, exchange)
        exchange.connection = link
        self.loop.call_later(self.one_way_s, link.deliver, exchange.encode())


class _PeerConnection:
    was_sent = True

    def __init__(self, peer: SimulatedPeer, exchange: Exchange):
        self.peer = peer
        self.exchange = exchange
        self._connection = SimulatedConnection(self._respond, self._acknowledge)

    def deliver(self, data: bytes) -> None:
        request = parse_request(data, self.peer.loop.now())
        self.peer.host.service.handle_peer(self._connection, request)

    def close(self, detail: str) -> None:
        self.peer.loop.call_later(self.peer.one_way_s, self._connection.disconnect)
        self.exchange.end(ReplicaAnswer(0, [], b"", AnswerFault.ABANDONED, detail))

    def _respond(self, response: CallerResponse) -> None:
        headers = [(name.lower(), value) for name, value in response.headers]
        answer = ReplicaAnswer(response.status, headers, response.body)
        self.peer.loop.call_later(self.peer.one_way_s, self.exchange.end, answer)

    def _acknowledge(self, headers: list[Header]) -> None:
        if self.exchange.on_interim is not None:
            self.peer.loop.call_later(
                self.peer.one_way_s, self.exchange.on_interim, headers
            )


class SimulatedLink:
    """Takes the place of the peer link; ``peers`` are the hosts by data centre."""

    def __init__(self, rng: Random, policy: Policy):
        self.rng = rng
        self.policy = policy
        self.peers: dict[str, list[SimulatedPeer]] = {}
        self.peer_table = self
        # Hosts of all data centres, this one excluded.
        self.others: list[SimulatedPeer] = []
        self.host: SimulatedHost | None = None
        # When another host has last reported that it is connected.
        self._reported_at: dict[SimulatedPeer, float] = {}

    def choose_gatherer(self, version: int) -> None:
        """Return None: all simulated hosts gather themselves."""

    def fellows_by_data_centre(self, version: int) -> dict[str, SimulatedPeer]:
        """Return a host of each other data centre, with the policy ``GROUPS``."""
        if self.policy is not Policy.GROUPS:
            return {}
        return {
            data_centre: min(peers, key=lambda p: (p.in_flight, self.rng.random()))
            for data_centre, peers in self.peers.items()
        }

    def close_idle(self, address) -> None:
        """Do nothing; simulated connections between hosts are not kept."""

    def ask_contact(self, replica_ids: Collection[str], number: int) -> None:
        """Ask other hosts to connect to some replicas."""
        count = min(MAX_QUERIED_REPLICAS, len(replica_ids))
        replica_ids = self.rng.sample(sorted(replica_ids), count)
        for peer in self.rng.sample(self.others, min(MAX_WITNESSES, len(self.others))):
            query = _Query((self, peer), number, replica_ids)
            peer.loop.call_later(peer.one_way_s, peer.host.link.answer_query, query)

    def answer_query(self, query: "_Query") -> None:
        """Report the state of this host, and later the replicas that it reaches."""
        self.report_contact(query, [])
        self.on_contact_query(query)

    def report_contact(self, query: "_Query", reached: list[str]) -> None:
        """Send a report to the host that has asked."""
        link, peer = query.address
        report = _Report(query.number, reached, self.host.contact.is_cut_off)
        peer.loop.call_later(peer.one_way_s, link.receive_report, peer, report)

    def receive_report(self, peer: SimulatedPeer, report: "_Report") -> None:
        """Note the state of another host."""
        if report.is_cut_off:
            self._reported_at.pop(peer, None)
        else:
            self._reported_at[peer] = peer.loop.now()
        self.on_contact_report(report)

    def choose_refuge(
        self, version: int, exclude: Collection[SimulatedPeer]
    ) -> SimulatedPeer | None:
        """Return a host that has recently reported that it is connected."""
        candidates = [
            peer
            for peer, at in self._reported_at.items()
            if peer.loop.now() - at <= REFUGE_ALIVE_S and peer not in exclude
        ]
        key = lambda peer: (peer.in_flight, self.rng.random())  # noqa: E731
        return min(candidates, key=key, default=None)

    def record_failure(
        self, peer: SimulatedPeer, now: float, *, is_faulty: bool = False
    ) -> None:
        """Do not hand requests to a peer before its next report."""
        self._reported_at.pop(peer, None)

    def send(self, address: SimulatedPeer, exchange: Exchange) -> None:
        """Send a request to a peer."""
        address.send(exchange)

    def record_fellow_failure(self, peer: SimulatedPeer, now: float) -> None:
        """Do nothing; simulated hosts do not fail."""

    def record_fellow_answer(self, peer: SimulatedPeer) -> None:
        """Do nothing; simulated hosts do not fail."""

    def on_newer_version(self, version: int) -> None:
        """Do nothing; the configuration never changes."""


class _Query(NamedTuple):
    address: tuple[SimulatedLink, SimulatedPeer]
    number: int
    replicas: list[str]


class _Report(NamedTuple):
    number: int
    reached: list[str]
    is_cut_off: bool


class SimulatedHost:
    """A host that gathers queries with the product's service."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        loop: VirtualLoop,
        directory: UpstreamDirectory,
        replicas: dict[str, SimulatedReplica],
        site: FleetSite,
        policy: Policy,
        rng: Random,
    ):
        self.name = name
        self.data_centre = data_centre
        slack = site.retry_slack / (site.data_centres * site.hosts)

        def one_way(other: str) -> float:
            return LOCAL_ONE_WAY_S if other == data_centre else site.one_way_s

        self.link = SimulatedLink(rng, policy)
        self.runner = SimulatedRunner(
            loop,
            HEADER_NAMES,
            directory,
            LeastCostSelector(data_centre, rng),
            RetryBudget(RETRY_RATIO, RETRY_WINDOW_S, slack=int(slack)),
            NullEventLog(),
            GatewayMetrics(),
            replicas=replicas,
            one_way=one_way,
        )
        self.link.host = self
        self.contact = UpstreamContact(self.runner, self.link, NullEventLog())
        self.service = GatewayService(
            self.runner, NullEventLog(), self.link, self.contact
        )
        if policy is Policy.ALONE:
            self.runner.report_overdue = lambda reads, overdue_s: None

    def watch_links(self, is_cut: Callable[[], bool]) -> None:
        """Let the product find out whether the links to the replicas are cut."""
        self.runner.is_cut = is_cut
        self.runner.named_services = self.service.table.service_names
        self.service.is_cut_off = lambda: self.contact.is_cut_off
        self.contact.on_change = self._handle_contact_change
        self.contact.on_doubt = self.service.hand_over_overdue
        self.contact.start()

    def _handle_contact_change(self) -> None:
        if self.contact.is_cut_off:
            self.service.hand_over_unanswered()
        else:
            self.runner.forget_unreachable()


def parse_request(data: bytes, now: float) -> CallerRequest:
    """Return the request in the bytes that a host sends to another one."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    method, target, _ = first.split(b" ")
    headers = [
        (name.strip().lower(), value.strip())
        for name, _, value in (line.partition(b":") for line in lines)
    ]
    return CallerRequest(method, target, headers, body, now, False, True)
