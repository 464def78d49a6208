"""Dispatch of requests: finds the route and starts the call that answers it."""

from collections.abc import Callable
from typing import NamedTuple

from cicadalever.gather import decode_shards, encode_shards, required_shards
from cicadalever.refusal import plan_retry_after
from cicadalever.routing import Route, RoutingTable, WeightedRoundRobin
from cicadalever.wire import CallerConnection, CallerRequest, CallerResponse

from ._call import RECOVERY_S, error_response
from ._delegated_call import DelegatedCall
from ._events import EventLog
from ._forward_call import ForwardCall
from ._gather_call import GatherCall
from ._peers import (
    PROGRESS_PERIOD_S,
    STATUS_DECLINED,
    STATUS_PROCESSING,
    PeerLink,
)
from ._reads import (
    PEER_ANSWER_US,
    PEER_MISSING,
    PEER_SHARDS,
    PEER_VERSION,
    OutboundRequest,
    ReadRunner,
)

# Round trip between callers and hosts if the kernel has not measured it, and the
# longest one that is planned for.
DEFAULT_ROUND_TRIP_S = 0.006
MAX_ROUND_TRIP_S = 0.1
# Least time to merge the answers of the shards and send the result.
MIN_ANSWER_MARGIN_S = 0.008
# A busy event loop reads requests about as late as it sends answers, and only the
# second delay is measured.
LATENESS_FACTOR = 2.0
# Weight of the newest value in the moving average of the lateness.
LATENESS_WEIGHT = 0.2
# Queries over fewer shards are gathered by the host that received them, because the hop
# to another host would take as long as it saves.
MIN_SHARDS_TO_DELEGATE = 32
# Most queries that a host gathers for its peers at a time.
MAX_GATHERED_FOR_PEERS = 64
# Time in which the answer of a gatherer reaches this host inside a data centre.
PEER_HOP_S = 0.002
INITIAL_LATENESS_S = 0.001
# Time that a caller without a deadline is assumed to have.
DEFAULT_TIME_LEFT_S = 1.0


class RequestTimes(NamedTuple):
    """Monotonic times of a request in seconds; see ``GatherState``."""

    answer_by: float
    deadline: float


class AnswerLateness:
    """Moving average of the delay of answers that were due at a given time.

    Slow or busy hosts need more time between the decision to answer and the sending of
    the answer.
    """

    def __init__(self):
        self._mean_s = INITIAL_LATENESS_S

    @property
    def margin_s(self) -> float:
        """Seconds to reserve for reading a request and sending its answer."""
        return MIN_ANSWER_MARGIN_S + LATENESS_FACTOR * self._mean_s

    def observe(self, late_s: float) -> None:
        """Add the delay of an answer that was due ``late_s`` seconds ago."""
        self._mean_s += LATENESS_WEIGHT * (max(0.0, late_s) - self._mean_s)


def plan_times(
    route: Route,
    received_at: float,
    caller_deadline_s: float | None,
    is_first: bool,
    margin_s: float = MIN_ANSWER_MARGIN_S,
    round_trip_s: float | None = None,
) -> RequestTimes:
    """Return the times by which a request has to be answered.

    A caller measures the latency until the answer arrives, from sending the request or,
    for the first request of a connection, from opening it. The measurement therefore
    starts half a round trip or one and a half round trips before ``received_at``, and
    the answer takes another half; ``round_trip_s`` is the measured one in seconds, or
    None for ``DEFAULT_ROUND_TRIP_S``. The answer is due early enough to meet the target
    latency, but not before half of the target or after the deadline.
    """
    timeout_s = route.timeout_s
    if caller_deadline_s is not None:
        timeout_s = min(timeout_s, caller_deadline_s)
    if round_trip_s is None:
        round_trip_s = DEFAULT_ROUND_TRIP_S
    transit_s = min(MAX_ROUND_TRIP_S, round_trip_s) * (2 if is_first else 1)
    target_s = route.target_latency_s - transit_s - margin_s
    deadline = received_at + timeout_s
    answer_by = received_at + max(0.5 * route.target_latency_s, target_s)
    return RequestTimes(min(answer_by, deadline), deadline)


def select_shards(route: Route, shards: list[int]) -> Route:
    """Return the part of a route that another host asked this one to read.

    The part may lack as many shards as the whole query may: with more, the query cannot
    be answered yet, so that waiting for them costs nothing.

    >>> whole = Route("r", "h", "/", True, 1, 1, 2, 0, (), tuple("abcdefgh"), 5, 0.75)
    >>> select_shards(whole, [0, 1, 2, 3]).min_shard_share
    0.5
    """
    max_missing = len(route.shards) - required_shards(
        route.min_shard_share, len(route.shards)
    )
    return route._replace(
        shards=tuple(route.shards[shard] for shard in shards),
        min_shard_share=max(0.0, 1.0 - max_missing / len(shards)),
    )


def parse_deadline(value: bytes | None) -> float | None:
    """Return the seconds in a deadline header in ms, or None without a valid one."""
    milliseconds = parse_number(value)
    return None if milliseconds is None else milliseconds / 1000.0


def parse_number(value: bytes | None) -> int | None:
    """Return the non-negative integer in a header, or None without a valid one."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


class GatewayService:
    """Starts a call for each request of a caller, and for queries of peers.

    ``table`` is the configuration in force, or None before the first one.
    """

    def __init__(self, runner: ReadRunner, events: EventLog, link: PeerLink):
        self.runner = runner
        self.link = link
        self.events = events
        self.table: RoutingTable | None = None
        # Whether too few shards are reachable for any query; see ``Readiness``.
        self.is_cut_off: Callable[[], bool] = lambda: False
        # Whether requests may have waited during a suspension of this process.
        self.has_just_resumed: Callable[[], bool] = lambda: False
        self.lateness = AnswerLateness()
        self._round_robin = WeightedRoundRobin()
        self._gathered_for_peers = 0

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Start the call for a request of a caller, or refuse the request."""
        if self.table is None:
            self._refuse(connection, request, 503, "no_configuration")
            return
        route = self._find_route(request)
        if route is None:
            self._refuse(connection, request, 404, "no_route")
            return
        if route.shards and self.is_cut_off():
            # The load balancer needs some seconds to stop sending requests here.
            self._refuse(connection, request, 503, "cut_off", route.rank)
            return
        names = self.runner.names
        request_id = request.header(names.request_id)
        if request_id is None:
            self._refuse(connection, request, 400, "no_request_id")
            return
        caller_deadline_s = parse_deadline(request.header(names.deadline))
        if self.runner.crashes and self._is_quarantined(request, request_id):
            self._refuse(connection, request, 503, "crashes_replicas", route.rank)
            return
        times = plan_times(
            route,
            request.received_at,
            caller_deadline_s,
            request.is_first_on_connection,
            self.lateness.margin_s,
            connection.round_trip_s,
        )
        outbound = OutboundRequest(request, names, times.deadline, request_id)

        def respond(response: CallerResponse, fields: dict) -> None:
            connection.respond(response)

        arguments = (request, route, self.table, self.runner, outbound, respond)
        if route.shards:
            self._gather(connection, arguments, times.answer_by)
            return
        call = ForwardCall(*arguments)
        connection.on_disconnect = call.cancel
        call.start(self._round_robin.next(route.name, route.services))

    def handle_peer(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Gather a query for a peer, or decline it.

        It is declined if it is invalid, if another version of the configuration is in
        force here, if this host already gathers too many queries for peers, or if it
        may have waited during a suspension: the peer does not wait that long.
        """
        names = self.runner.names
        request_id = request.header(names.request_id)
        route = self._route_for_peer(request)
        caller_deadline_s = parse_deadline(request.header(names.deadline))
        answer_us = parse_number(request.header(PEER_ANSWER_US))
        is_acceptable = None not in (route, request_id, caller_deadline_s, answer_us)
        if self.has_just_resumed():
            self.events.emit_detail("query_declined", id=request_id, reason="suspended")
            is_acceptable = False
        shards = None
        if is_acceptable and (value := request.header(PEER_SHARDS)) is not None:
            shards = decode_shards(value, len(route.shards))
            is_acceptable = bool(shards)
        if not is_acceptable or self._gathered_for_peers >= MAX_GATHERED_FOR_PEERS:
            headers = [] if request_id is None else [(names.request_id, request_id)]
            connection.respond(CallerResponse(STATUS_DECLINED, headers))
            return
        self._report_progress(connection, request)
        deadline = request.received_at + caller_deadline_s
        # The peer has already reserved its own margin, which includes the least one.
        margin_s = PEER_HOP_S + self.lateness.margin_s - MIN_ANSWER_MARGIN_S
        answer_by = request.received_at + answer_us / 1e6 - margin_s
        outbound = OutboundRequest(request, names, deadline, request_id)
        if shards is not None:
            route = select_shards(route, shards)

        def respond(response: CallerResponse, fields: dict) -> None:
            self._gathered_for_peers -= 1
            if shards is not None:
                missing = [shards[index] for index in call.missing_shards]
                header = (PEER_MISSING, encode_shards(missing))
                response = response._replace(headers=[*response.headers, header])
            if response.header(names.request_id) is None:
                # The peer drops answers without the id of its request.
                id_header = (names.request_id, request_id)
                response = response._replace(headers=[*response.headers, id_header])
            connection.respond(response)

        def cancel() -> None:
            self._gathered_for_peers -= 1
            call.cancel()

        call = GatherCall(
            request,
            route,
            self.table,
            self.runner,
            outbound,
            respond,
            on_late=self.lateness.observe,
            # The shards of a group are not handed on again.
            link=self.link if shards is None else None,
            is_group=shards is not None,
        )
        self._gathered_for_peers += 1
        connection.on_disconnect = cancel
        call.start(answer_by)

    def _is_quarantined(self, request: CallerRequest, request_id: bytes) -> bool:
        """Return whether replicas did not survive this request before."""
        outbound = OutboundRequest(request, self.runner.names, 0.0, request_id)
        now = self.runner.loop.now()
        return self.runner.crashes.refusal_left_s(outbound.fingerprint, now) > 0.0

    def _report_progress(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Tell a peer now and then that its query is being gathered."""
        if connection.respond_interim(request, STATUS_PROCESSING):
            self.runner.loop.call_later(
                PROGRESS_PERIOD_S, self._report_progress, connection, request
            )

    def _gather(
        self, connection: CallerConnection, arguments: tuple, answer_by: float
    ) -> None:
        """Gather a query on this host, or on a larger one if that is faster."""

        def gather_here(is_repeat: bool) -> None:
            is_wide = len(arguments[1].shards) >= MIN_SHARDS_TO_DELEGATE
            call = GatherCall(
                *arguments,
                on_late=self.lateness.observe,
                link=self.link if is_wide else None,
            )
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
        """Return the route of a query of a peer, or None if it must be declined."""
        if self.table is None:
            return None
        version = parse_number(request.header(PEER_VERSION))
        if version != self.table.version:
            if version is not None and version > self.table.version:
                self.link.on_newer_version()
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
        rank: int = 0,
    ) -> None:
        self.events.emit(
            "request_refused",
            id=request.header(self.runner.names.request_id),
            target=request.target[:120],
            version=self.table.version if self.table else None,
            status=status,
            reason=reason,
        )
        retry_after_s = None
        if status == 503:
            deadline_s = parse_deadline(request.header(self.runner.names.deadline))
            retry_after_s = plan_retry_after(
                RECOVERY_S,
                DEFAULT_TIME_LEFT_S if deadline_s is None else deadline_s,
                rank,
                self.runner.selector.rng,
            )
        connection.respond(error_response(status, retry_after_s))
