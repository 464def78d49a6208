"""WSGI application of the caller interface, and the encoding of answers."""

import socket
import time
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from cicadalever.configuration import Configuration, QueryRoute
from cicadalever.metrics import Metrics
from cicadalever.once import OnceTable, RequestId
from cicadalever.outcomes import Failure, FailureCode, Outcome
from cicadalever.queries import (
    OnceResult,
    OnceService,
    QueryAnswer,
    QueryCoordinator,
    ValidatedRequest,
    fingerprint_of,
)
from cicadalever.scheduling import Rank
from cicadalever.transport import OnceAnswer, RunOnce

from ._admin import health_response
from ._arrival import ArrivalClock
from ._http import Environ, Request, Response, Router, error_response, json_response
from ._request import QueryRequest, check_query_request
from ._views import HealthState

MAX_IDS_PER_CALL = 1000
MAX_IDS_BODY_BYTES = 1024
_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.PARTIAL: 200,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.INVALID: 400,
}
_STATUS_BY_CODE = {
    FailureCode.NOT_FOUND: 404,
    FailureCode.DUPLICATE_ID: 409,
    FailureCode.TOO_LARGE: 413,
}


class CallerApplication:
    """Serves queries and issues the ids of non-idempotent requests.

    ``once_table`` issues the ids and ``once_service`` runs the requests that have them.
    ``configuration`` returns the configuration in force, None before the first one.
    ``arrival_clock`` tells when a request may have arrived; without it, that is when
    the request is read. ``encode`` turns a request id, an answer and the elapsed
    seconds into status and body.
    """

    def __init__(
        self,
        coordinator: QueryCoordinator,
        once_service: OnceService,
        once_table: OnceTable,
        configuration: Callable[[], Configuration | None],
        health: Callable[[], HealthState],
        metrics: Metrics,
        encode: Callable[[str, QueryAnswer, float], OnceResult],
        *,
        max_body_bytes: int,
        arrival_clock: ArrivalClock | None = None,
    ):
        self.coordinator = coordinator
        self.once_service = once_service
        self.once_table = once_table
        self.configuration = configuration
        self.health = health
        self.metrics = metrics
        self.encode = encode
        self.max_body_bytes = max_body_bytes
        self.arrival_clock = arrival_clock
        self._in_flight = 0
        self._router = Router(
            {
                ("POST", "/v1/queries"): self._query,
                ("POST", "/v1/ids"): self._ids,
                ("GET", "/v1/health"): self._health,
            }
        )

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer has not been returned."""
        return self._in_flight

    def __call__(self, environ: Environ, start_response: Any) -> Any:
        """Serve one request (PEP 3333)."""
        self._in_flight += 1
        try:
            return self._router(environ, start_response)
        finally:
            self._in_flight -= 1

    def run_forwarded(
        self, message: RunOnce, send: Callable[[str, Any], Failure | None]
    ) -> None:
        """Execute a request that another host forwarded, and send the answer back."""
        deadline = time.monotonic() + message.deadline_unix - time.time()
        result = self._execute_once(message.body, deadline, may_forward=False)
        send(message.sender, OnceAnswer(message.token, result.status, result.body))

    def _health(self, request: Request) -> Response:
        return health_response(self.health())

    def _ids(self, request: Request) -> Response:
        if self.configuration() is None:
            return error_response(503, "unavailable", "no configuration is known yet")
        body = request.read_object(MAX_IDS_BODY_BYTES)
        if isinstance(body, Response):
            return body
        count = body.get("count", 1)
        unknown = set(body) - {"count"}
        if unknown:
            return error_response(400, "invalid", f"unknown field {min(unknown)!r}")
        if type(count) is not int or not 1 <= count <= MAX_IDS_PER_CALL:
            reason = f"count: {count!r} is not in 1..{MAX_IDS_PER_CALL}"
            return error_response(400, "invalid", reason)
        ids = self.once_table.issue(count, time.monotonic())
        if isinstance(ids, Failure):
            return error_response(503, ids.code, ids.reason)
        return json_response({"ids": [str(request_id) for request_id in ids]})

    def _query(self, request: Request) -> Response:
        started_at = time.monotonic()
        if self.arrival_clock is not None:
            started_at = self.arrival_clock.earliest_arrival(started_at)
        body = request.read_body(self.max_body_bytes)
        if isinstance(body, Response):
            return body
        query = check_query_request(body, self.max_body_bytes)
        if isinstance(query, Failure):
            return _response_of(
                self.encode("", _invalid_answer(query), time.monotonic() - started_at)
            )
        route = self._resolve_route(query)
        if isinstance(route, Failure):
            answer = self._answer_unroutable(query, route)
            return _response_of(self.encode(query["id"], answer, 0.0))
        deadline = started_at + self._time_limit_s(query, route)
        if not _is_idempotent(query, route):
            return _response_of(self._execute_once(body, deadline, may_forward=True))
        validated = self._build_request(query, route, deadline)
        with logger.contextualize(request_id=query["id"]):
            answer = self.coordinator.execute(validated, _connection_check(request))
            elapsed_s = time.monotonic() - started_at
            self._record_metrics(validated.rank, answer, elapsed_s)
            if answer.outcome is not Outcome.COMPLETE:
                logger.info("query ended as {}: {}", answer.outcome, answer.failure)
        return _response_of(self.encode(query["id"], answer, elapsed_s))

    def _execute_once(
        self, body: bytes, deadline: float, *, may_forward: bool
    ) -> OnceResult:
        started_at = time.monotonic()
        query = check_query_request(body, self.max_body_bytes)
        if isinstance(query, Failure):
            return self.encode("", _invalid_answer(query), 0.0)
        request_id = RequestId.parse(query["id"])
        if isinstance(request_id, Failure):
            failure = Failure(
                FailureCode.INVALID,
                "a request that is not idempotent needs an id from POST /v1/ids: "
                + request_id.reason,
            )
            return self.encode(query["id"], _invalid_answer(failure), 0.0)
        if not self.once_service.is_issued_here(request_id):
            if may_forward:
                return self.once_service.forward(request_id, body, deadline)
            failure = Failure(FailureCode.UNKNOWN, "this process did not issue the id")
            answer = QueryAnswer(Outcome.UNKNOWN, failure=failure)
            return self.encode(query["id"], answer, 0.0)
        route = self._resolve_route(query)
        if isinstance(route, Failure):
            return self.encode(query["id"], self._answer_unroutable(query, route), 0.0)
        validated = self._build_request(query, route, deadline)
        with logger.contextualize(request_id=query["id"]):
            result = self.once_service.execute(request_id, validated)
            logger.info("non-idempotent request: HTTP status {}", result.status)
        outcome = msgspec.json.decode(result.body, type=_OutcomeField).outcome
        self.metrics.query_finished(
            validated.rank, Outcome(outcome), time.monotonic() - started_at, 1.0
        )
        return result

    def _resolve_route(self, query: QueryRequest) -> QueryRoute | Failure:
        configuration = self.configuration()
        if configuration is None:
            return Failure(FailureCode.UNAVAILABLE, "no configuration is known yet")
        route = configuration.route(query["route"])
        if route is None:
            return Failure(
                FailureCode.NOT_FOUND, f"route {query['route']!r} does not exist"
            )
        kind = query.get("kind")
        if kind is not None and configuration.kind(kind) is None:
            return Failure(FailureCode.INVALID, f"kind: {kind!r} does not exist")
        refusal = self._check_rank(query, route)
        return route if refusal is None else refusal

    def _answer_unroutable(self, query: QueryRequest, failure: Failure) -> QueryAnswer:
        if failure.code != FailureCode.UNAVAILABLE:
            return _invalid_answer(failure)
        request_id = RequestId.parse(query["id"])
        is_issued_elsewhere = bool(request_id) and not self.once_service.is_issued_here(
            request_id
        )
        if is_issued_elsewhere and not query.get("idempotent"):
            # Only the process that issued the id knows whether the request has run.
            return QueryAnswer(Outcome.UNKNOWN, failure=failure)
        return QueryAnswer(Outcome.NOT_RUN, failure=failure, retry_after_s=1.0)

    def _check_rank(self, query: QueryRequest, route: QueryRoute) -> Failure | None:
        kind = self._resolve_kind(query, route)
        if "rank" in query and Rank.from_name(query["rank"]) < kind.rank:
            limit = Rank(kind.rank).name.lower()
            reason = (
                f"rank: {query['rank']!r} is more urgent than {limit!r} of its kind"
            )
            return Failure(FailureCode.INVALID, reason)
        return None

    def _resolve_rank(self, query: QueryRequest, route: QueryRoute) -> Rank:
        if "rank" in query:
            return Rank.from_name(query["rank"])
        return Rank(self._resolve_kind(query, route).rank)

    def _resolve_kind(self, query: QueryRequest, route: QueryRoute):
        return self.configuration().kind(query.get("kind") or route.kind)

    def _time_limit_s(self, query: QueryRequest, route: QueryRoute) -> float:
        milliseconds = (
            query.get("deadline_ms") or self._resolve_kind(query, route).deadline_ms
        )
        return milliseconds / 1000

    def _build_request(
        self, query: QueryRequest, route: QueryRoute, deadline: float
    ) -> ValidatedRequest:
        parameters = query["parameters"]
        return ValidatedRequest(
            query["id"],
            route,
            self._resolve_rank(query, route),
            deadline,
            _is_idempotent(query, route),
            msgspec.json.encode(parameters),
            fingerprint_of(route.name, route.operation, parameters),
            str(parameters.get("key", query["id"])),
        )

    def _record_metrics(
        self, rank: Rank, answer: QueryAnswer, elapsed_s: float
    ) -> None:
        self.metrics.query_finished(
            rank, answer.outcome, elapsed_s, answer.coverage.fraction
        )
        for _ in range(answer.hedges):
            self.metrics.read_hedged()
        for _ in range(answer.retries):
            self.metrics.read_retried()


def encode_answer(
    request_id: str, answer: QueryAnswer, elapsed_s: float, *, host: str = ""
) -> OnceResult:
    """Return HTTP status and JSON body of an answer that ``host`` gives."""
    coverage = answer.coverage
    value = {
        "id": request_id,
        "outcome": answer.outcome,
        "snapshot": answer.snapshot,
        "version": answer.version,
        "coverage": {
            "total": coverage.total,
            "covered": coverage.covered,
            "missing": [shard._asdict() for shard in coverage.missing],
            "fraction": round(coverage.fraction, 6),
        },
        "rows": {shard: msgspec.Raw(rows) for shard, rows in answer.rows.items()},
        "elapsed_ms": round(elapsed_s * 1000, 3),
        "host": host,
    }
    if answer.failure is not None:
        value["code"] = answer.failure.code
        value["reason"] = answer.failure.reason
    if answer.retry_after_s is not None:
        value["retry_after_s"] = answer.retry_after_s
    status = _STATUS_BY_OUTCOME[answer.outcome]
    if answer.outcome is Outcome.INVALID and answer.failure is not None:
        status = _STATUS_BY_CODE.get(answer.failure.code, status)
    return OnceResult(status, msgspec.json.encode(value))


class _OutcomeField(msgspec.Struct):
    """The only field of an encoded answer that is decoded again, for the metrics."""

    outcome: str


def _is_idempotent(query: QueryRequest, route: QueryRoute) -> bool:
    """Tell whether a request may run twice; by default only reads may."""
    given = query.get("idempotent")
    return route.operation == "read" if given is None else given


def _invalid_answer(failure: Failure) -> QueryAnswer:
    return QueryAnswer(Outcome.INVALID, failure=failure)


def _response_of(result: OnceResult) -> Response:
    return Response(result.status, result.body)


def _connection_check(request: Request) -> Callable[[], bool]:
    """Return a function that tells whether the caller is still connected."""
    stream = request.environ["wsgi.input"]
    get_socket = getattr(stream, "get_socket", None)
    if get_socket is None:
        return lambda: True
    connection = get_socket()
    # A read from the socket of eventlet would wait for data; the wrapped one does not.
    plain_socket = getattr(connection, "fd", connection)

    def is_connected() -> bool:
        try:
            return plain_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    return is_connected
