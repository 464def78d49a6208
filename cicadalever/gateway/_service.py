"""Requests of callers: from the route to a call, and back to the caller."""

from typing import NamedTuple

from cicadalever.routing import Route, RoutingTable, WeightedRoundRobin
from cicadalever.wire import CallerConnection, CallerRequest, CallerResponse

from ._call import RETRY_AFTER_S, error_response
from ._delegated_call import DelegatedCall
from ._events import EventLog
from ._forward_call import ForwardCall
from ._gather_call import GatherCall
from ._peers import STATUS_DECLINED, STATUS_PROCESSING, PeerLink
from ._reads import PEER_ANSWER_US, PEER_VERSION, OutboundRequest, ReadRunner

# One round trip between callers and the hosts: 3 ms one way, from the brief.
CALLER_ROUND_TRIP_S = 0.006
# Least time to merge and send an answer.
MIN_ANSWER_MARGIN_S = 0.008
# Requests are read late as well as answered late, by about the same time.
LATENESS_FACTOR = 2.0
LATENESS_WEIGHT = 0.2
# Queries over fewer shards are gathered by the host that got them: the hop to another
# one would take as long as it saves.
MIN_SHARDS_TO_DELEGATE = 32
# Queries that a host gathers for others at a time.
MAX_GATHERED_FOR_PEERS = 64
# Time for the answer of a gatherer to travel, inside a data centre.
PEER_HOP_S = 0.002
INITIAL_LATENESS_S = 0.001


class RequestTimes(NamedTuple):
    """Steady times of a request; see ``GatherState``."""

    answer_by: float
    deadline: float


class AnswerLateness:
    """Mean time by which answers that were due at a set time have come later.

    Slow or busy hosts need more time between the decision to answer and the answer.
    """

    def __init__(self):
        self._mean_s = INITIAL_LATENESS_S

    @property
    def margin_s(self) -> float:
        """Seconds to plan for reading a request and sending its answer."""
        return MIN_ANSWER_MARGIN_S + LATENESS_FACTOR * self._mean_s

    def observe(self, late_s: float) -> None:
        """Count an answer that was due ``late_s`` seconds ago."""
        self._mean_s += LATENESS_WEIGHT * (max(0.0, late_s) - self._mean_s)


def plan_times(
    route: Route,
    received_at: float,
    caller_deadline_s: float | None,
    is_first: bool,
    margin_s: float = MIN_ANSWER_MARGIN_S,
) -> RequestTimes:
    """Return when a request has to be answered.

    The caller measures from its own start, which lies one way earlier, or one and a
    half round trips for the first request of a connection, and until the answer has
    travelled back.
    """
    timeout_s = route.timeout_s
    if caller_deadline_s is not None:
        timeout_s = min(timeout_s, caller_deadline_s)
    transit_s = CALLER_ROUND_TRIP_S * (2 if is_first else 1)
    target_s = route.target_latency_s - transit_s - margin_s
    deadline = received_at + timeout_s
    answer_by = received_at + max(0.5 * route.target_latency_s, target_s)
    return RequestTimes(min(answer_by, deadline), deadline)


def parse_deadline(value: bytes | None) -> float | None:
    """Return the seconds that a caller waits, or None when it does not say."""
    milliseconds = parse_number(value)
    return None if milliseconds is None else milliseconds / 1000.0


def parse_number(value: bytes | None) -> int | None:
    """Return the whole number in a header, or None when there is none."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


class GatewayService:
    """Finds the route of each request and runs its call."""

    def __init__(self, runner: ReadRunner, events: EventLog, link: PeerLink):
        self.runner = runner
        self.link = link
        self.events = events
        self.table: RoutingTable | None = None
        self.lateness = AnswerLateness()
        self._round_robin = WeightedRoundRobin()
        self._gathered_for_peers = 0

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answer a request, now or later."""
        if self.table is None:
            self._refuse(connection, request, 503, "no_configuration")
            return
        route = self._find_route(request)
        if route is None:
            self._refuse(connection, request, 404, "no_route")
            return
        names = self.runner.names
        request_id = request.header(names.request_id)
        if request_id is None:
            self._refuse(connection, request, 400, "no_request_id")
            return
        caller_deadline_s = parse_deadline(request.header(names.deadline))
        times = plan_times(
            route,
            request.received_at,
            caller_deadline_s,
            request.is_first_on_connection,
            self.lateness.margin_s,
        )
        outbound = OutboundRequest(request, names, times.deadline, request_id)

        def answer(response: CallerResponse, fields: dict) -> None:
            connection.respond(response)

        arguments = (request, route, self.table, self.runner, outbound, answer)
        if route.shards:
            self._gather(connection, arguments, times.answer_by)
            return
        call = ForwardCall(*arguments)
        connection.on_disconnect = call.cancel
        call.start(self._round_robin.next(route.name, route.services))

    def handle_peer(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Gather a query for another host, or decline it."""
        names = self.runner.names
        request_id = request.header(names.request_id)
        route = self._route_for_peer(request)
        caller_deadline_s = parse_deadline(request.header(names.deadline))
        answer_us = parse_number(request.header(PEER_ANSWER_US))
        is_known = None not in (route, request_id, caller_deadline_s, answer_us)
        if not is_known or self._gathered_for_peers >= MAX_GATHERED_FOR_PEERS:
            connection.respond(CallerResponse(STATUS_DECLINED, []))
            return
        connection.respond_interim(STATUS_PROCESSING)
        deadline = request.received_at + caller_deadline_s
        margin_s = PEER_HOP_S + self.lateness.margin_s - MIN_ANSWER_MARGIN_S
        answer_by = request.received_at + answer_us / 1e6 - margin_s
        outbound = OutboundRequest(request, names, deadline, request_id)

        def answer(response: CallerResponse, fields: dict) -> None:
            self._gathered_for_peers -= 1
            connection.respond(response)

        def gone() -> None:
            self._gathered_for_peers -= 1
            call.cancel()

        call = GatherCall(
            request,
            route,
            self.table,
            self.runner,
            outbound,
            answer,
            on_late=self.lateness.observe,
        )
        self._gathered_for_peers += 1
        connection.on_disconnect = gone
        call.start(answer_by)

    def _gather(
        self, connection: CallerConnection, arguments: tuple, answer_by: float
    ) -> None:
        """Gather a query here, or let a larger host do so where that pays."""

        def gather_here(is_repeat: bool) -> None:
            call = GatherCall(*arguments, on_late=self.lateness.observe)
            connection.on_disconnect = call.cancel
            call.start(answer_by, is_repeat=is_repeat)

        _, route, table, *_ = arguments
        peer = None
        if len(route.shards) >= MIN_SHARDS_TO_DELEGATE:
            peer = self.link.choose_gatherer(table.version)
        if peer is None:
            gather_here(False)
            return
        call = DelegatedCall(*arguments, link=self.link, gather_here=gather_here)
        connection.on_disconnect = call.cancel
        call.start(peer, answer_by)

    def _route_for_peer(self, request: CallerRequest) -> Route | None:
        """Return the route over shards, if the same version is in force here."""
        if self.table is None:
            return None
        if parse_number(request.header(PEER_VERSION)) != self.table.version:
            return None
        route = self._find_route(request)
        return route if route is not None and route.shards else None

    def _find_route(self, request: CallerRequest) -> Route | None:
        host = (request.header(b"host") or b"").decode("latin-1")
        return self.table.find(host, request.target.decode("latin-1"))

    def _refuse(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        status: int,
        reason: str,
    ) -> None:
        self.events.emit(
            "request_refused",
            id=request.header(self.runner.names.request_id),
            target=request.target[:120],
            version=self.table.version if self.table else None,
            status=status,
            reason=reason,
        )
        retry_after_s = RETRY_AFTER_S if status == 503 else None
        connection.respond(error_response(status, retry_after_s))
