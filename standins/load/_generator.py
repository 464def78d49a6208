"""Open-loop load generator: sends on schedule, without waiting for answers."""

import random
import time
from typing import Any, NamedTuple

import msgspec

from standins._client import ConnectionBroken, HttpResponse
from standins._eventlet import eventlet

from ._answers import NO_ANSWER, NOT_SENT, JudgedAnswer, judge_answer
from ._entry_pool import EntryPool
from ._records import Record

ANSWER_GRACE_S = 2.0
MIN_TIMEOUT_S = 0.05


class LoadKind(NamedTuple):
    """One stream of requests, sent between ``start_s`` and ``end_s`` of the run.

    ``rate`` is in requests a second. A ``popular_share`` of the requests repeats one
    of ``popular_keys`` keys with the same parameters, echo included; the others have
    a unique echo. ``parameters`` are added to the generated ones and replace those of
    the same name. ``rank`` only labels the records: the configuration sets the rank of
    a request by its ``kind``.
    """

    route: str
    rate: float
    deadline_ms: int
    kind: str | None = None
    rank: str = ""
    idempotent: bool = True
    popular_keys: int = 100
    popular_share: float = 0.5
    parameters: dict[str, Any] = {}
    start_s: float = 0.0
    end_s: float | None = None


class Arrival(NamedTuple):
    """One scheduled request; ``at`` is the monotonic time at which it is due."""

    kind_name: str
    kind: LoadKind
    number: int
    parameters: dict[str, Any]
    at: float


class RequestResult(NamedTuple):
    """The result of the last try of one request."""

    request_id: str
    status: int
    judged: JudgedAnswer
    tries: int
    entry: str


class LoadGenerator:
    """Sends the load of its settings and records each request.

    Settings: ``entries`` (addresses), ``kinds`` (name to fields of ``LoadKind``),
    ``duration_s``, ``seed``, ``caller`` (prefix of request ids, default ``c``),
    ``client_latency_s`` (one way, default 0.003), ``max_tries`` (default 3),
    ``max_in_flight`` (default 5000), ``health_period_s`` (default 0.5) and
    ``source_ip``. Arrivals above ``max_in_flight`` are recorded as not sent.
    """

    def __init__(self, settings: dict[str, Any]):
        self.settings = settings
        self._caller = settings.get("caller", "c")
        self._latency_s = settings.get("client_latency_s", 0.003)
        self._max_tries = settings.get("max_tries", 3)
        self._max_in_flight = settings.get("max_in_flight", 5000)
        self._kinds = {name: LoadKind(**v) for name, v in settings["kinds"].items()}
        self._entries = EntryPool(
            settings["entries"],
            self._rng("entries"),
            settings.get("health_period_s", 0.5),
            settings.get("source_ip"),
        )
        self._records: list[Record] = []
        self._in_flight = 0

    def run(self) -> list[Record]:
        """Send for ``duration_s``; return the records after the last answer."""
        self._entries.start()
        begin = time.monotonic()
        senders = [
            eventlet.spawn(self._send_arrivals, name, kind, begin)
            for name, kind in self._kinds.items()
        ]
        for sender in senders:
            sender.wait()
        while self._in_flight:
            eventlet.sleep(0.01)
        self._entries.close()
        return self._records

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"{self.settings.get('seed', 0)}/{self._caller}/{name}")

    def _send_arrivals(self, name: str, kind: LoadKind, begin: float) -> None:
        rng = self._rng(name)
        end_s = self.settings["duration_s"]
        if kind.end_s is not None:
            end_s = min(end_s, kind.end_s)
        due_s = kind.start_s
        number = 0
        while kind.rate > 0 and (due_s := due_s + rng.expovariate(kind.rate)) < end_s:
            number += 1
            parameters = self._draw_parameters(rng, name, kind, number)
            arrival = Arrival(name, kind, number, parameters, begin + due_s)
            if (wait_s := arrival.at - time.monotonic()) > 0:
                eventlet.sleep(wait_s)
            if self._in_flight >= self._max_in_flight:
                self._record(
                    arrival, RequestResult("", 0, JudgedAnswer(NOT_SENT), 0, "")
                )
                continue
            self._in_flight += 1
            eventlet.spawn_n(self._send, arrival)
            eventlet.sleep(0)

    def _draw_parameters(
        self, rng: random.Random, name: str, kind: LoadKind, number: int
    ) -> dict[str, Any]:
        key = f"{kind.route}-{rng.randrange(max(1, kind.popular_keys))}"
        is_popular = rng.random() < kind.popular_share
        echo = key if is_popular else f"{self._caller}-{name}-{number}"
        return {"key": key, "echo": echo} | kind.parameters

    def _send(self, arrival: Arrival) -> None:
        try:
            if arrival.kind.idempotent:
                result = self._send_idempotent(arrival)
            else:
                result = self._send_once(arrival)
            self._record(arrival, result)
        finally:
            self._in_flight -= 1

    def _record(self, arrival: Arrival, result: RequestResult) -> None:
        now = time.monotonic()
        latency_s = now - arrival.at
        judged = result.judged
        record = Record(
            id=result.request_id,
            kind=arrival.kind_name,
            route=arrival.kind.route,
            rank=arrival.kind.rank,
            idempotent=arrival.kind.idempotent,
            sent_unix=time.time() - latency_s,
            latency_s=latency_s,
            status=result.status,
            tries=result.tries,
            entry=result.entry,
            **judged._asdict(),
        )
        self._records.append(record)

    # Tries of a request

    def _send_idempotent(self, arrival: Arrival) -> RequestResult:
        """Send each try under an id of its own; a retry goes to another entry."""
        prefix = f"{self._caller}-{arrival.kind_name}-{arrival.number}"
        return self._send_tries(arrival, lambda n: f"{prefix}.{n}", [])

    def _send_once(self, arrival: Arrival) -> RequestResult:
        """Send to the entry that issued the id; retry at others with the same id."""
        issued = self._fetch_id(arrival)
        if issued is None:
            return RequestResult("", 0, JudgedAnswer(NOT_SENT, "no id"), 0, "")
        request_id, entry = issued
        return self._send_tries(arrival, lambda n: request_id, [entry])

    def _fetch_id(self, arrival: Arrival) -> tuple[str, str] | None:
        tried: list[str] = []
        for _ in range(self._max_tries):
            entry = self._entries.choose(tried)
            tried.append(entry)
            try:
                body = b'{"count":1}'
                response = self._post(entry, "/v1/ids", body, self._timeout_s(arrival))
                if response.status == 200:
                    return msgspec.json.decode(response.body)["ids"][0], entry
            except (ConnectionBroken, msgspec.DecodeError, LookupError, TypeError):
                continue
        return None

    def _send_tries(
        self, arrival: Arrival, request_id_of, first_entries: list[str]
    ) -> RequestResult:
        tried: list[str] = []
        reason = ""
        while len(tried) < self._max_tries:
            entry = (
                first_entries[0]
                if first_entries and not tried
                else self._entries.choose(tried)
            )
            tried.append(entry)
            request_id = request_id_of(len(tried))
            body = self._format_query(arrival, request_id)
            try:
                timeout_s = self._timeout_s(arrival)
                response = self._post(entry, "/v1/queries", body, timeout_s)
                judged = self._judge(response, arrival, request_id)
                return RequestResult(
                    request_id, response.status, judged, len(tried), entry
                )
            except ConnectionBroken as error:
                reason = str(error)
            if self._remaining_s(arrival) <= 0:
                break
        judged = JudgedAnswer(NO_ANSWER, reason)
        return RequestResult(request_id, 0, judged, len(tried), entry)

    def _post(
        self, entry: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        eventlet.sleep(self._latency_s)
        response = self._entries.post(entry, target, body, timeout_s)
        eventlet.sleep(self._latency_s)
        return response

    def _judge(
        self, response: HttpResponse, arrival: Arrival, request_id: str
    ) -> JudgedAnswer:
        try:
            answer = msgspec.json.decode(response.body)
            return judge_answer(answer, request_id, arrival.parameters["echo"])
        except (msgspec.DecodeError, LookupError, AttributeError, TypeError) as error:
            return JudgedAnswer("malformed_answer", f"{type(error).__name__}: {error}")

    def _format_query(self, arrival: Arrival, request_id: str) -> bytes:
        query = {
            "id": request_id,
            "route": arrival.kind.route,
            "deadline_ms": max(1, int(self._remaining_s(arrival) * 1000)),
            "idempotent": arrival.kind.idempotent,
            "parameters": arrival.parameters,
        }
        if arrival.kind.kind is not None:
            query["kind"] = arrival.kind.kind
        return msgspec.json.encode(query)

    def _remaining_s(self, arrival: Arrival) -> float:
        return arrival.at + arrival.kind.deadline_ms / 1000 - time.monotonic()

    def _timeout_s(self, arrival: Arrival) -> float:
        return max(MIN_TIMEOUT_S, self._remaining_s(arrival) + ANSWER_GRACE_S)
