"""Dispatch of requests: finds the route and starts the call that answers it."""

from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from cicadalever.crashes import AdmissionKind
from cicadalever.gather import (
    decode_attempts,
    decode_shards,
    encode_attempts,
    encode_shards,
    required_shards,
)
from cicadalever.peers import Address
from cicadalever.refusal import plan_retry_after
from cicadalever.routing import Route, RoutingTable, WeightedRoundRobin
from cicadalever.wire import CallerConnection, CallerRequest, CallerResponse

from ._call import Call, error_response
from ._delegated_call import DelegatedCall
from ._events import EventLog
from ._forward_call import ForwardCall
from ._gather_call import GatherCall
from ._outbound import (
    PEER_ANSWER_US,
    PEER_ATTEMPTS,
    PEER_HEADERS,
    PEER_MISSING,
    PEER_REFUSAL,
    PEER_SERVICE,
    PEER_SHARD_ATTEMPTS,
    PEER_SHARDS,
    PEER_VERSION,
    OutboundRequest,
    leaving_headers,
)
from ._peers import (
    PROGRESS_PERIOD_S,
    STATUS_DECLINED,
    STATUS_LOST_UPSTREAMS,
    STATUS_PROCESSING,
    PeerLink,
)
from ._reads import RECOVERY_S, ReadRunner
from ._upstream_contact import UpstreamContact

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
MAX_LATENESS_S = 0.1
# Queries over fewer shards are gathered by the host that received them, because the hop
# to another host would take as long as it saves.
MIN_SHARDS_TO_DELEGATE = 32
# Most queries that a host gathers for its peers at a time.
MAX_GATHERED_FOR_PEERS = 64
# Hosts that are asked in turn to take over a request.
MAX_HANDOVERS = 2
# Time in which the answer of a gatherer reaches this host inside a data centre.
PEER_HOP_S = 0.002
INITIAL_LATENESS_S = 0.001
# Time that a caller without a deadline is assumed to have.
DEFAULT_TIME_LEFT_S = 1.0
# Greatest number that is read from a header, such as a deadline in ms.
MAX_DIGITS = 15
MAX_NUMBER = 10**MAX_DIGITS - 1


class RequestTimes(NamedTuple):
    """Monotonic times of a request in seconds; see ``GatherState``."""

    answer_by: float
    deadline: float


class Handover(NamedTuple):
    """A request of a caller with all that another host needs to process it.

    ``arguments`` are those of ``Call``, ``answer_by`` is the monotonic time in seconds
    at which the answer is due, and ``service`` that of a request without shards.
    """

    connection: CallerConnection
    arguments: tuple
    answer_by: float
    service: str | None


class PeerOrder(NamedTuple):
    """What another host asks this one to process.

    ``shards`` are those of a part of a query, ``service`` is that of a request without
    shards, and ``attempts`` the number of replicas that may have got the request, for
    each shard.
    """

    route: Route
    outbound: OutboundRequest
    answer_by: float
    shards: list[int] | None
    service: str | None
    attempts: list[int]


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
        """Add the delay of an answer that was due ``late_s`` seconds ago.

        A longer delay than ``MAX_LATENESS_S`` comes from a suspension, not from load.
        """
        late_s = min(MAX_LATENESS_S, max(0.0, late_s))
        self._mean_s += LATENESS_WEIGHT * (late_s - self._mean_s)


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


def plan_peer_answer(received_at: float, needed_in_s: float, margin_s: float) -> float:
    """Return the monotonic time by which a query of a peer has to be answered.

    The peer needs the answer in ``needed_in_s`` seconds, in which ``margin_s`` are for
    sending it. As in ``plan_times``, at least half of the time is used for reading: a
    query that is due at once would end with as few shards as its route allows.

    >>> round(plan_peer_answer(10.0, 0.4, 0.01), 3), plan_peer_answer(10.0, 0.4, 0.6)
    (10.39, 10.2)
    """
    return received_at + max(0.5 * needed_in_s, needed_in_s - margin_s)


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
    """Return the non-negative integer in a header, or None without a valid one.

    Greater numbers than ``MAX_NUMBER`` count as this one, however long they are.

    >>> parse_number(b"250"), parse_number(b"9" * 5000) == MAX_NUMBER, parse_number(b"")
    (250, True, None)
    """
    if value is None or not value.strip().isdigit():
        return None
    digits = value.strip().lstrip(b"0") or b"0"
    return MAX_NUMBER if len(digits) > MAX_DIGITS else int(digits)


def has_attempts(route: Route, attempts: Sequence[int]) -> bool:
    """Return whether a request that replicas may have got may be sent again.

    ``attempts`` is the number of these replicas for each shard. Too few shards with an
    attempt left cannot make an answer.

    >>> whole = Route("r", "h", "/", True, 1, 1, 2, 0, (), tuple("abcd"), 5, 0.75)
    >>> has_attempts(whole, [2, 1, 1, 1]), has_attempts(whole, [2, 2, 1, 1])
    (True, False)
    """
    if not route.idempotent:
        return False
    left = sum(count < route.max_attempts for count in attempts)
    return left >= required_shards(route.min_shard_share, len(attempts))


def _no_attempts(route: Route) -> list[int]:
    return [0] * max(1, len(route.shards))


def _parse_attempts(request: CallerRequest, route: Route) -> list[int] | None:
    """Return the attempts that a peer names for each shard, or None if invalid."""
    count = max(1, len(route.shards))
    value = request.header(PEER_SHARD_ATTEMPTS)
    if value is not None:
        return decode_attempts(value, count)
    return [parse_number(request.header(PEER_ATTEMPTS)) or 0] * count


class GatewayService:
    """Starts a call for each request of a caller, and for queries of peers.

    ``table`` is the configuration in force, or None before the first one.
    """

    def __init__(
        self,
        runner: ReadRunner,
        events: EventLog,
        link: PeerLink,
        contact: UpstreamContact,
    ):
        self.runner = runner
        self.link = link
        self.contact = contact
        self.events = events
        self.table: RoutingTable | None = None
        # Whether other hosts may reach upstreams that this one does not, and whether
        # too few shards are reachable for any query; see ``Readiness``.
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.lacks_upstreams: Callable[[], bool] = lambda: False
        # Seconds until this process ends in a planned stop.
        self.stops_in_s: Callable[[], float] = lambda: float("inf")
        # Whether requests may have waited during a suspension of this process.
        self.has_just_resumed: Callable[[], bool] = lambda: False
        self.lateness = AnswerLateness()
        self._round_robin = WeightedRoundRobin()
        self._gathered_for_peers = 0
        # Calls that read from replicas.
        self._reading_calls: set[Call] = set()

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Start the call for a request of a caller, or refuse the request."""
        if not self.runner.loop.run_guarded(self._handle, connection, request):
            self._abort(connection, request)

    def _handle(self, connection: CallerConnection, request: CallerRequest) -> None:
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
            connection.round_trip_s,
        )
        if not self._can_finish(route, times.deadline):
            self._refuse(connection, request, 503, "stopping", route.rank)
            return
        outbound = OutboundRequest(request, names, times.deadline, request_id)
        admission = self.runner.guard.admit(outbound.fingerprint)
        if admission.kind is AdmissionKind.REFUSED:
            self._refuse(
                connection,
                request,
                503,
                "crashes_replicas",
                route.rank,
                wait_s=admission.wait_s,
                fingerprint=f"{outbound.fingerprint:016x}",
            )
            return

        def respond(response: CallerResponse, fields: dict) -> None:
            connection.respond(response)

        service = None
        if not route.shards:
            service = self._round_robin.next(route.name, route.services)
        arguments = (request, route, self.table, self.runner, outbound, respond)
        handover = Handover(connection, arguments, times.answer_by, service)
        # The load balancer needs some seconds to stop sending requests here.
        if self.is_cut_off():
            if not self._hand_over(handover, _no_attempts(route)):
                self._refuse(connection, request, 503, "cut_off", route.rank)
        elif route.shards and self.lacks_upstreams():
            self._refuse(connection, request, 503, "no_upstreams", route.rank)
        elif route.shards:
            is_free = admission.kind is AdmissionKind.FREE
            self._gather(handover, may_delegate=is_free)
        else:
            self._forward(handover)

    def _can_finish(self, route: Route, deadline: float) -> bool:
        """Return whether a request will be answered before a planned stop.

        One that may not run twice could be sent again nowhere if it were cut.
        """
        stops_in_s = self.stops_in_s()
        if route.idempotent:
            return route.target_latency_s <= stops_in_s
        return deadline - self.runner.loop.now() <= stops_in_s

    def hand_over_unanswered(self) -> None:
        """Hand over the requests that wait for replicas out of reach."""
        lost_since = self.contact.suspected_since
        if lost_since is not None and not self.contact.has_live_connections():
            for call in list(self._reading_calls):
                call.run_or_abort(
                    partial(call.hand_over_unanswered, lost_since, is_cut_off=True)
                )

    def hand_over_overdue(self) -> None:
        """Hand over queries without any answer while the links are in doubt."""
        lost_since = self.contact.suspected_since
        if lost_since is not None and not self.contact.has_live_connections():
            for call in list(self._reading_calls):
                call.run_or_abort(
                    partial(call.hand_over_unanswered, lost_since, is_cut_off=False)
                )

    def handle_peer(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Process a request for a peer, or decline it.

        It is declined if it is invalid, if another version of the configuration is in
        force here, if this host already works on too many requests for peers or has
        lost its upstreams, or if it may have waited during a suspension: the peer does
        not wait that long.
        """
        if not self.runner.loop.run_guarded(self._handle_peer, connection, request):
            self._abort(connection, request)

    def _abort(self, connection: CallerConnection, request: CallerRequest) -> None:
        """End a request after an unexpected error; it may have run."""
        self.events.emit(
            "request_aborted",
            id=request.header(self.runner.names.request_id),
            target=request.target[:120],
        )
        connection.end_request(error_response(500), request)

    def _handle_peer(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        order = self._parse_peer_request(request)
        is_full = self._gathered_for_peers >= MAX_GATHERED_FOR_PEERS
        if order is None or is_full or self.is_cut_off():
            self._return_to_peer(connection, request, STATUS_DECLINED)
            return
        names, shards = self.runner.names, order.shards

        def respond(response: CallerResponse, fields: dict) -> None:
            end()
            headers = [each for each in response.headers if each[0] not in PEER_HEADERS]
            if shards is not None:
                missing = [shards[index] for index in call.missing_shards]
                headers.append((PEER_MISSING, encode_shards(missing)))
            headers += leaving_headers(call.leaving)
            if response.header(names.request_id) is None:
                # The peer drops answers without the id of its request.
                headers.append((names.request_id, order.outbound.request_id))
            connection.respond(response._replace(headers=headers))

        def give_back(attempts: list[int]) -> bool:
            if not self.contact.is_doubtful:
                return False
            end()
            status = STATUS_LOST_UPSTREAMS if any(attempts) else STATUS_DECLINED
            self._return_to_peer(connection, request, status, attempts)
            return True

        def end() -> None:
            self._gathered_for_peers -= 1
            self._reading_calls.discard(call)

        def cancel() -> None:
            end()
            call.cancel()

        arguments = (request, order.route, self.table, self.runner, order.outbound)
        if order.service is not None:
            call = ForwardCall(*arguments, respond)
        else:
            call = GatherCall(
                *arguments,
                respond,
                on_late=self.lateness.observe,
                # The shards of a group are not handed on again.
                link=self.link if shards is None else None,
                is_group=shards is not None,
            )
        call.hand_over = give_back
        call.on_error = partial(self._abort, connection, request)
        call.on_extra_attempt = partial(self._send_progress, connection, request, call)
        self._gathered_for_peers += 1
        self._reading_calls.add(call)
        connection.on_disconnect = cancel
        self._report_progress(connection, request, call)
        if call.is_ended:
            # The peer has closed the connection meanwhile.
            return
        if order.service is not None:
            call.start(order.service, max(order.attempts))
        else:
            call.start(order.answer_by, order.attempts)

    def _parse_peer_request(self, request: CallerRequest) -> PeerOrder | None:
        """Return what a peer asks for, or None if it must be declined."""
        names = self.runner.names
        request_id = request.header(names.request_id)
        route = self._route_for_peer(request)
        caller_deadline_s = parse_deadline(request.header(names.deadline))
        answer_us = parse_number(request.header(PEER_ANSWER_US))
        if None in (route, request_id, caller_deadline_s, answer_us):
            return None
        if self.has_just_resumed():
            self.events.emit_detail("query_declined", id=request_id, reason="suspended")
            return None
        attempts = _parse_attempts(request, route)
        if attempts is None:
            return None
        shards = service = None
        if (value := request.header(PEER_SHARDS)) is not None:
            shards = decode_shards(value, len(route.shards))
            if not shards:
                return None
            route = select_shards(route, shards)
            attempts = [attempts[shard] for shard in shards]
        elif not route.shards:
            service = (request.header(PEER_SERVICE) or b"").decode("latin-1")
            if service not in {part.service for part in route.services}:
                return None
            if any(attempts) and not self._may_repeat(route, service, attempts):
                return None
        # The peer has already reserved its own margin, which includes the least one.
        margin_s = PEER_HOP_S + self.lateness.margin_s - MIN_ANSWER_MARGIN_S
        answer_by = plan_peer_answer(request.received_at, answer_us / 1e6, margin_s)
        deadline = request.received_at + caller_deadline_s
        if not self._can_finish(route, deadline):
            return None
        outbound = OutboundRequest(request, names, deadline, request_id)
        return PeerOrder(route, outbound, answer_by, shards, service, attempts)

    def _may_repeat(self, route: Route, service: str, attempts: list[int]) -> bool:
        """Return whether a request that replicas may have got may be sent again."""
        return has_attempts(route, attempts) and self.runner.try_spend(service)

    def _return_to_peer(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        status: int,
        attempts: list[int] | None = None,
    ) -> None:
        request_id = request.header(self.runner.names.request_id)
        headers = [(PEER_REFUSAL, b"1")]
        if attempts is not None:
            headers.append((PEER_SHARD_ATTEMPTS, encode_attempts(attempts)))
        if request_id is not None:
            headers.append((self.runner.names.request_id, request_id))
        connection.respond(CallerResponse(status, headers))

    def _report_progress(
        self, connection: CallerConnection, request: CallerRequest, call: Call
    ) -> None:
        """Tell a peer now and then that its query is being gathered."""
        if self._send_progress(connection, request, call):
            self.runner.loop.call_later(
                PROGRESS_PERIOD_S, self._report_progress, connection, request, call
            )

    def _send_progress(
        self, connection: CallerConnection, request: CallerRequest, call: Call
    ) -> bool:
        """Tell a peer which replicas may have got its request.

        If this host is lost, the peer may read a shard again only from as many replicas
        as are left of those that the route allows. Return whether the peer still waits.
        """
        headers = [(PEER_SHARD_ATTEMPTS, encode_attempts(call.attempts))]
        return connection.respond_interim(request, STATUS_PROCESSING, headers)

    def _forward(self, handover: Handover) -> None:
        """Send a request to a replica of its service."""
        call = ForwardCall(*handover.arguments)
        self._begin(call, handover)
        call.start(handover.service)

    def _gather(self, handover: Handover, *, may_delegate: bool) -> None:
        """Gather a query on this host, or on a larger one if that is faster.

        A query that may crash replicas is not delegated, so that one host counts its
        reads.
        """
        arguments = handover.arguments
        _, route, table, *_ = arguments

        def gather_here(attempts: Sequence[int]) -> None:
            is_wide = len(route.shards) >= MIN_SHARDS_TO_DELEGATE
            call = GatherCall(
                *arguments,
                on_late=self.lateness.observe,
                link=self.link if is_wide and may_delegate else None,
            )
            self._begin(call, handover)
            call.start(handover.answer_by, attempts)

        peer = None
        if len(route.shards) >= MIN_SHARDS_TO_DELEGATE and may_delegate:
            peer = self.link.choose_gatherer(table.version)
        if peer is None:
            gather_here(_no_attempts(route))
            return

        def fall_back(attempts: list[int] | None) -> None:
            attempts = attempts or _no_attempts(route)
            if not self.is_cut_off():
                gather_here(attempts)
            elif not self._hand_over(handover, attempts):
                self._end_unserved(handover, attempts)

        call = DelegatedCall(*arguments, link=self.link, fall_back=fall_back)
        self._watch(call, handover)
        call.start(peer, handover.answer_by)

    def _begin(self, call: Call, handover: Handover) -> None:
        """Let a call be cancelled by its caller and handed over to another host."""

        def on_end(response: CallerResponse, fields: dict) -> None:
            self._reading_calls.discard(call)
            end_request(response, fields)

        def cancel() -> None:
            self._reading_calls.discard(call)
            call.cancel()

        def hand_over(attempts: list[int]) -> bool:
            if not self.contact.is_doubtful and not self.is_cut_off():
                return False
            if not self._hand_over(handover, attempts):
                return False
            self._reading_calls.discard(call)
            return True

        end_request = call.on_end
        call.on_end = on_end
        call.hand_over = hand_over
        self._reading_calls.add(call)
        self._watch(call, handover)
        handover.connection.on_disconnect = cancel

    def _watch(self, call: Call, handover: Handover) -> None:
        """End a call with its connection, and the connection's request with it."""
        request, *_ = handover.arguments
        handover.connection.on_disconnect = call.cancel
        call.on_error = partial(self._abort, handover.connection, request)

    def _hand_over(
        self,
        handover: Handover,
        attempts: list[int],
        tried: tuple[Address, ...] = (),
    ) -> bool:
        """Let another host process a request; return whether one is known that can.

        ``attempts`` is the number of replicas that may have got the request, for each
        shard, and ``tried`` are hosts that have not processed it.
        """
        request, route, table, *_ = handover.arguments
        if any(attempts) and not has_attempts(route, attempts):
            return False
        peer = self.link.choose_refuge(table.version, tried)
        if peer is None or len(tried) >= MAX_HANDOVERS:
            return False

        def fall_back(attempts_since: list[int] | None) -> None:
            counts = attempts_since or attempts
            others = (*tried, peer.address)
            if not self._hand_over(handover, counts, others):
                self._end_unserved(handover, counts)

        call = DelegatedCall(
            *handover.arguments,
            link=self.link,
            fall_back=fall_back,
            service=handover.service,
            attempts=attempts,
            is_handed_over=True,
        )
        self._watch(call, handover)
        call.start(peer, handover.answer_by)
        return True

    def _end_unserved(self, handover: Handover, attempts: list[int]) -> None:
        """Answer a request that no host could process."""
        status = 502 if any(attempts) else 503
        request, route, *_ = handover.arguments
        self._refuse(handover.connection, request, status, "cut_off", route.rank)

    def _route_for_peer(self, request: CallerRequest) -> Route | None:
        """Return the route of a request of a peer, or None if it must be declined."""
        if self.table is None:
            return None
        version = parse_number(request.header(PEER_VERSION))
        if version != self.table.version:
            if version is not None and version > self.table.version:
                self.link.on_newer_version(version)
            return None
        return self._find_route(request)

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
        wait_s: float | None = None,
        **fields,
    ) -> None:
        """Refuse a request; it can be served in ``wait_s`` seconds, if that is known.

        Otherwise it can probably be served after a short time, which is named only to
        callers that can wait so long.
        """
        self.events.emit(
            "request_refused",
            id=request.header(self.runner.names.request_id),
            target=request.target[:120],
            version=self.table.version if self.table else None,
            status=status,
            reason=reason,
            **fields,
        )
        retry_after_s = None
        if status == 503:
            time_left_s = parse_deadline(request.header(self.runner.names.deadline))
            if wait_s is not None:
                time_left_s = float("inf")
            elif time_left_s is None:
                time_left_s = DEFAULT_TIME_LEFT_S
            retry_after_s = plan_retry_after(
                RECOVERY_S if wait_s is None else wait_s,
                time_left_s,
                rank,
                self.runner.selector.rng,
            )
        connection.respond(error_response(status, retry_after_s))
