"""Runs queries on the entry: admission, fan-out and assembly of the answer."""

import itertools
import random
import secrets
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import xxhash
from eventlet.event import Event
from eventlet.queue import LightQueue

from cicadalever.configuration import CanaryMode, Configuration, Policy, QueryRoute
from cicadalever.metrics import Metrics
from cicadalever.outcomes import Failure, FailureCode, Outcome
from cicadalever.quarantine import ProvenFingerprints, Quarantine
from cicadalever.scheduling import (
    AdmissionControl,
    Decision,
    ExtraLoadBudget,
    Rank,
)
from cicadalever.topology import Host, Replica
from cicadalever.transport import ReadAnswer, ReadAnswers

from ._answer import QueryAnswer
from ._gather import Gather
from ._latency import LatencyByIndex
from ._query import Query
from ._silence import SilenceDetector

# A query is restarted on a newer snapshot when the replicas of a shard no longer have
# the one that it began with.
MAX_SNAPSHOT_RESTARTS = 2
# Callers whose request did not run are told to send it again after this time.
RETRY_AFTER_S = 1.0


class ValidatedRequest(NamedTuple):
    """A request whose fields were checked, with its route and rank.

    ``deadline`` is a time of ``time.monotonic`` in seconds. ``idempotent`` tells
    whether the request may run more than once. ``parameters`` is the JSON body for the
    upstreams, and ``key`` selects the shard of a request with operation ``run``.
    """

    request_id: str
    route: QueryRoute
    rank: Rank
    deadline: float
    idempotent: bool
    parameters: bytes
    fingerprint: int
    key: str


class QueryFeatures(NamedTuple):
    """The mechanisms that a coordinator uses.

    The baseline policy, against which measurements compare, switches all of them off.
    If ``budgeted_retries`` is off, the number of retries is not limited by a budget.
    """

    hedging: bool = True
    canary: bool = True
    budgeted_retries: bool = True
    admission: bool = True


class EntryView(NamedTuple):
    """The configuration and the state of the other hosts, as the entry knows them.

    ``owner_of`` returns the host that runs the reads of a replica, ``is_reachable``
    takes the peer address of a host and ``is_draining`` the id of a replica.
    ``self_address`` is the peer address of the entry and ``region`` its region.
    """

    configuration: Callable[[], Configuration | None]
    owner_of: Callable[[Replica], Host | None]
    is_reachable: Callable[[str], bool]
    is_draining: Callable[[str], bool]
    self_address: str
    region: str


class QueryCoordinator:
    """Runs queries, each in the green thread that calls ``execute``.

    The daemon passes the answers of owners to ``receive`` and calls ``tick``
    periodically. The two pass answers and admission decisions to the waiting green
    threads.

    ``send`` sends a message to a peer address and returns a failure if it cannot.
    ``selector`` is a ``ReplicaSelector`` or has its methods.

    ``on_ping_due`` and ``on_host_silent`` are called with the peer address of an owner
    that has not answered for a while, and of one that did not answer a ping either.
    """

    def __init__(
        self,
        view: EntryView,
        send: Callable[[str, Any], Failure | None],
        selector,
        admission: AdmissionControl,
        budget: ExtraLoadBudget,
        latencies: LatencyByIndex,
        quarantine: Quarantine,
        proven: ProvenFingerprints,
        metrics: Metrics,
        *,
        features: QueryFeatures,
        rng: random.Random,
        max_answer_bytes: int,
    ):
        self.view = view
        self.send = send
        self.selector = selector
        self.admission = admission
        self.budget = budget
        self.latencies = latencies
        self.quarantine = quarantine
        self.proven = proven
        self.metrics = metrics
        self.features = features
        self.rng = rng
        self.max_answer_bytes = max_answer_bytes
        self.silence_detector = SilenceDetector()
        self.on_ping_due: Callable[[str], None] = _do_nothing
        self.on_host_silent: Callable[[str], None] = _do_nothing
        self._gathers: dict[str, Gather] = {}
        self._admission_events: dict[int, Event] = {}
        self._is_canary_enabled = features.canary
        self._id_counter = itertools.count(1)
        # Owners may answer reads of a former process of this host, whose counter
        # started at the same number.
        self._id_prefix = secrets.token_hex(6)

    @property
    def running(self) -> int:
        """Number of admitted queries whose reads are being sent or awaited."""
        return len(self._gathers)

    @property
    def uses_canary(self) -> bool:
        """Whether the first read of an unproven request is sent alone."""
        return self._is_canary_enabled

    def execute(
        self, request: ValidatedRequest, is_caller_connected: Callable[[], bool]
    ) -> QueryAnswer:
        """Run ``request`` and return its answer by its deadline.

        Quarantined and refused requests are answered as not run.
        """
        configuration = self.view.configuration()
        if configuration is None:
            return _refused_answer(
                Failure(FailureCode.UNAVAILABLE, "no configuration is known yet")
            )
        started_at = time.monotonic()
        quarantine_failure = self.quarantine.check(request.fingerprint, started_at)
        if quarantine_failure is not None:
            remaining_s = self.quarantine.remaining_s(request.fingerprint, started_at)
            answer = _refused_answer(quarantine_failure, version=configuration.version)
            return answer._replace(retry_after_s=round(remaining_s, 1))
        refusal = self._admit(request)
        if refusal is not None:
            return _refused_answer(refusal, version=configuration.version)
        congested = False
        try:
            answer = self._run(request, is_caller_connected)
            congested = answer.congested
            return answer
        finally:
            self._finish_admission(request.rank, congested, started_at)

    def set_policy(self, policy: Policy) -> None:
        """Apply the policy of the configuration in force."""
        self.budget.ratio = policy.extra_load
        self.latencies.set_quantile(policy.hedge_quantile)
        self._is_canary_enabled = (
            self.features.canary and policy.canary is CanaryMode.ALWAYS
        )

    def receive(self, message: ReadAnswers) -> None:
        """Pass answers to the query that waits for them; drop those of ended queries.

        An answer with code ``CANCELLED`` refunds the budget: a read and its hedge cause
        no extra load if one of the two is cancelled before it starts.
        """
        for answer in message.answers:
            if answer.code == FailureCode.CANCELLED:
                self.budget.refund()
        gather = self._gathers.get(message.query)
        if gather is not None:
            gather.mailbox.put(message.answers)

    def host_lost(self, address: str) -> None:
        """Fail the outstanding reads of an owner whose connection was lost."""
        reason = f"connection to owner {address} lost"
        for gather in list(self._gathers.values()):
            answers = [
                ReadAnswer(
                    read.number, FailureCode.HOST_LOST, reason, 0, b"", 0.0, 0.0, False
                )
                for read in gather.query.outstanding.values()
                if read.owner == address
            ]
            if answers:
                gather.mailbox.put(answers)

    def host_heard(self, address: str) -> None:
        """Record that a message from the owner at ``address`` arrived."""
        self.silence_detector.heard_from(address, time.monotonic())

    def is_reachable(self, address: str) -> bool:
        """Tell whether reads can be sent to the owner at ``address``."""
        return not self.silence_detector.is_silent(address) and self.view.is_reachable(
            address
        )

    def tick(self) -> None:
        """Admit or refuse waiting queries; report owners that do not answer."""
        self._wake_waiting()
        report = self.silence_detector.check(time.monotonic())
        for address in report.to_ping:
            self.on_ping_due(address)
        for address in report.silent:
            self.on_host_silent(address)

    def _admit(self, request: ValidatedRequest) -> Failure | None:
        """Wait until ``request`` is admitted; return a failure if it is refused."""
        if not self.features.admission:
            return None
        key = next(self._id_counter)
        now = time.monotonic()
        decision = self.admission.offer(key, request.rank, request.deadline, now)
        if decision is Decision.ADMIT:
            return None
        if isinstance(decision, Failure):
            return decision
        event = self._admission_events[key] = Event()
        decision = event.wait(timeout=max(request.deadline - now, 0.001))
        self._admission_events.pop(key, None)
        if decision is Decision.ADMIT:
            return None
        if decision is None:
            self.admission.cancel(key)
            return Failure(FailureCode.DEADLINE, "the deadline passed in the queue")
        return decision

    def _finish_admission(self, rank: Rank, congested: bool, started_at: float) -> None:
        if not self.features.admission:
            return
        now = time.monotonic()
        self.admission.finish(
            rank, congested=congested, elapsed_s=now - started_at, now=now
        )
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        """Pass the decisions on waiting queries to their green threads."""
        for key, decision in self.admission.next_ready(time.monotonic()):
            event = self._admission_events.pop(key, None)
            if event is not None:
                event.send(decision)

    def _run(
        self, request: ValidatedRequest, is_caller_connected: Callable[[], bool]
    ) -> QueryAnswer:
        hedges = retries = 0
        for attempt in range(MAX_SNAPSHOT_RESTARTS + 1):
            configuration = self.view.configuration()
            snapshot = configuration.newest_snapshot()
            shards = select_shards(configuration, request, snapshot)
            if isinstance(shards, Failure):
                return QueryAnswer(Outcome.INVALID, failure=shards)
            query = Query(self._next_query_id(), snapshot.id, shards)
            gather = Gather(self, request, query, configuration, LightQueue())
            self._gathers[query.query_id] = gather
            try:
                gather.run(
                    is_caller_connected,
                    may_restart=request.idempotent and attempt < MAX_SNAPSHOT_RESTARTS,
                )
            finally:
                del self._gathers[query.query_id]
            hedges += gather.hedges
            retries += gather.retries
            if not gather.restart_needed:
                break
        answer = self._build_answer(request, query, configuration.version)
        return answer._replace(
            hedges=hedges, retries=retries, congested=gather.is_congested
        )

    def _next_query_id(self) -> str:
        return f"{self._id_prefix}-{next(self._id_counter):x}"

    def _build_answer(
        self, request: ValidatedRequest, query: Query, version: int
    ) -> QueryAnswer:
        rows = self._rows_within_limit(query)
        coverage = query.coverage()
        outcome = _outcome_of(request, query)
        failure = None
        if coverage.missing:
            first = coverage.missing[0]
            failure = Failure(FailureCode(first.code), f"{first.shard}: {first.reason}")
        retry_after_s = RETRY_AFTER_S if outcome is Outcome.NOT_RUN else None
        return QueryAnswer(
            outcome, query.snapshot, version, coverage, rows, failure, retry_after_s
        )

    def _rows_within_limit(self, query: Query) -> dict[str, bytes]:
        """Return the rows without those shards that exceed ``max_answer_bytes``.

        Shards are dropped as a whole and count as missing.
        """
        size = 0
        dropped = []
        for shard, rows in query.rows.items():
            size += len(rows)
            if size > self.max_answer_bytes:
                dropped.append(shard)
        for shard in dropped:
            query.drop_rows(
                shard,
                Failure(
                    FailureCode.TOO_LARGE,
                    f"the answer exceeds {self.max_answer_bytes} bytes",
                ),
            )
        return query.rows


def select_shards(
    configuration: Configuration, request: ValidatedRequest, snapshot
) -> dict[str, str] | Failure:
    """Return the shards that ``request`` needs, each with its service.

    The operation ``read`` needs every shard of the route's indexes, ``run`` only the
    one that the hash of the key selects. Return a ``NOT_FOUND`` failure if the snapshot
    has no shards for the route.
    """
    shards = configuration.shards_of(request.route, snapshot)
    if not shards:
        return Failure(
            FailureCode.NOT_FOUND,
            f"route {request.route.name}: snapshot {snapshot.id} has no shards",
        )
    if request.route.operation == "run":
        shards = (shards[xxhash.xxh3_64_intdigest(request.key.encode()) % len(shards)],)
    return dict(shards)


def _outcome_of(request: ValidatedRequest, query: Query) -> Outcome:
    if query.is_complete:
        return Outcome.COMPLETE
    if not request.idempotent:
        return Outcome.UNKNOWN if query.may_have_run else Outcome.NOT_RUN
    if not query.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.PARTIAL


def _do_nothing(address: str) -> None:
    """Do nothing; the default of ``on_ping_due`` and ``on_host_silent``."""


def _refused_answer(failure: Failure, version: int = 0) -> QueryAnswer:
    return QueryAnswer(
        Outcome.NOT_RUN,
        version=version,
        failure=failure,
        retry_after_s=RETRY_AFTER_S,
    )
