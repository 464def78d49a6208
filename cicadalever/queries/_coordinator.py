"""Runs queries: admission, fan-out, hedging, retries and snapshot restarts."""

import itertools
import random
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

MAX_SNAPSHOT_RESTARTS = 2
RETRY_AFTER_S = 1.0


class ValidatedRequest(NamedTuple):
    """A checked request; ``deadline`` is in monotonic seconds."""

    request_id: str
    route: QueryRoute
    rank: Rank
    deadline: float
    idempotent: bool
    parameters: bytes
    fingerprint: int
    key: str


class QueryFeatures(NamedTuple):
    """Which mechanisms a coordinator uses; the baseline switches them off."""

    hedging: bool = True
    canary: bool = True
    budgeted_retries: bool = True
    admission: bool = True


class EntryView(NamedTuple):
    """What a coordinator asks of the host's view of the fleet."""

    configuration: Callable[[], Configuration | None]
    owner_of: Callable[[Replica], Host | None]
    is_reachable: Callable[[str], bool]
    is_draining: Callable[[str], bool]
    self_address: str
    region: str


class QueryCoordinator:
    """Runs each query in the green thread of its caller."""

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
        self.silence = SilenceDetector()
        self.on_ping_due: Callable[[str], None] = _ignore
        self.on_host_silent: Callable[[str], None] = _ignore
        self._gathers: dict[str, Gather] = {}
        self._admissions: dict[int, Event] = {}
        self._canary = features.canary
        self._numbers = itertools.count(1)

    @property
    def running(self) -> int:
        """Number of queries that are being gathered."""
        return len(self._gathers)

    @property
    def uses_canary(self) -> bool:
        """Whether the first read of an unproven request goes out alone."""
        return self._canary

    def execute(
        self, work: ValidatedRequest, is_caller_connected: Callable[[], bool]
    ) -> QueryAnswer:
        """Run ``work`` and return its answer by its deadline."""
        configuration = self.view.configuration()
        if configuration is None:
            return _refused(
                Failure(FailureCode.UNAVAILABLE, "no configuration is known yet")
            )
        started = time.monotonic()
        blocked = self.quarantine.check(work.fingerprint, started)
        if blocked is not None:
            remaining_s = self.quarantine.remaining_s(work.fingerprint, started)
            answer = _refused(blocked, version=configuration.version)
            return answer._replace(retry_after_s=round(remaining_s, 1))
        refusal = self._admit(work)
        if refusal is not None:
            return _refused(refusal, version=configuration.version)
        congested = False
        try:
            answer = self._run(work, is_caller_connected)
            congested = answer.congested
            return answer
        finally:
            self._finish_admission(work.rank, congested, started)

    def set_policy(self, policy: Policy) -> None:
        """Use the parameters of the configuration in force."""
        self.budget.ratio = policy.extra_load
        self.latencies.set_quantile(policy.hedge_quantile)
        self._canary = self.features.canary and policy.canary is CanaryMode.ALWAYS

    def receive(self, message: ReadAnswers) -> None:
        """Hand answers to the query that waits for them; drop late ones.

        Of a read and its hedge, the one that was cancelled before its start caused no
        extra load.
        """
        for answer in message.answers:
            if answer.code == FailureCode.CANCELLED:
                self.budget.refund()
        gather = self._gathers.get(message.query)
        if gather is not None:
            gather.mailbox.put(message.answers)

    def host_lost(self, address: str) -> None:
        """Stop waiting for reads that a lost owner was running."""
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
        """Record a sign of life of an owner."""
        self.silence.heard(address, time.monotonic())

    def is_reachable(self, address: str) -> bool:
        """Tell whether reads should be sent to an owner."""
        return not self.silence.is_silent(address) and self.view.is_reachable(address)

    def tick(self) -> None:
        """Admit or refuse waiting queries and look for silent owners."""
        self._wake_waiting()
        report = self.silence.check(time.monotonic())
        for address in report.to_ping:
            self.on_ping_due(address)
        for address in report.silent:
            self.on_host_silent(address)

    def _admit(self, work: ValidatedRequest) -> Failure | None:
        if not self.features.admission:
            return None
        key = next(self._numbers)
        now = time.monotonic()
        decision = self.admission.offer(key, work.rank, work.deadline, now)
        if decision is Decision.ADMIT:
            return None
        if isinstance(decision, Failure):
            return decision
        event = self._admissions[key] = Event()
        decision = event.wait(timeout=max(work.deadline - now, 0.001))
        self._admissions.pop(key, None)
        if decision is Decision.ADMIT:
            return None
        if decision is None:
            self.admission.cancel(key)
            return Failure(FailureCode.DEADLINE, "the deadline passed in the queue")
        return decision

    def _finish_admission(self, rank: Rank, congested: bool, started: float) -> None:
        if not self.features.admission:
            return
        now = time.monotonic()
        self.admission.finish(rank, refused=congested, elapsed_s=now - started, now=now)
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        for key, decision in self.admission.next_ready(time.monotonic()):
            event = self._admissions.pop(key, None)
            if event is not None:
                event.send(decision)

    def _run(
        self, work: ValidatedRequest, is_caller_connected: Callable[[], bool]
    ) -> QueryAnswer:
        hedges = retries = 0
        for attempt in range(MAX_SNAPSHOT_RESTARTS + 1):
            configuration = self.view.configuration()
            snapshot = configuration.newest_snapshot()
            shards = select_shards(configuration, work, snapshot)
            if isinstance(shards, Failure):
                return QueryAnswer(Outcome.INVALID, failure=shards)
            query = Query(f"{next(self._numbers):x}", snapshot.id, shards)
            gather = Gather(self, work, query, configuration, LightQueue())
            self._gathers[query.query_id] = gather
            try:
                gather.run(
                    is_caller_connected,
                    may_restart=work.idempotent and attempt < MAX_SNAPSHOT_RESTARTS,
                )
            finally:
                del self._gathers[query.query_id]
            hedges += gather.hedges
            retries += gather.retries
            if not gather.restart_wanted:
                break
        answer = self._answer(work, query, configuration.version)
        return answer._replace(
            hedges=hedges, retries=retries, congested=gather.is_congested
        )

    def _answer(
        self, work: ValidatedRequest, query: Query, version: int
    ) -> QueryAnswer:
        rows = self._fit_rows(query)
        coverage = query.coverage()
        outcome = _outcome_of(work, query)
        failure = None
        if coverage.missing:
            first = coverage.missing[0]
            failure = Failure(FailureCode(first.code), f"{first.shard}: {first.reason}")
        retry_after_s = RETRY_AFTER_S if outcome is Outcome.NOT_RUN else None
        return QueryAnswer(
            outcome, query.snapshot, version, coverage, rows, failure, retry_after_s
        )

    def _fit_rows(self, query: Query) -> dict[str, bytes]:
        """Drop whole shards that would make the answer exceed the size limit."""
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
    configuration: Configuration, work: ValidatedRequest, snapshot
) -> dict[str, str] | Failure:
    """Return the shards that ``work`` needs, each with its service.

    A read needs every shard of its indexes; a run needs the one that the hash of its
    key selects.
    """
    shards = configuration.shards_of(work.route, snapshot)
    if not shards:
        return Failure(
            FailureCode.NOT_FOUND,
            f"route {work.route.name}: snapshot {snapshot.id} has no shards",
        )
    if work.route.operation == "run":
        shards = (shards[xxhash.xxh3_64_intdigest(work.key.encode()) % len(shards)],)
    return dict(shards)


def _outcome_of(work: ValidatedRequest, query: Query) -> Outcome:
    if query.is_complete:
        return Outcome.COMPLETE
    if not work.idempotent:
        return Outcome.UNKNOWN if query.may_have_run else Outcome.NOT_RUN
    if not query.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.PARTIAL


def _ignore(address: str) -> None:
    """Stand in until the composition root sets a handler."""


def _refused(failure: Failure, version: int = 0) -> QueryAnswer:
    return QueryAnswer(
        Outcome.NOT_RUN,
        version=version,
        failure=failure,
        retry_after_s=RETRY_AFTER_S,
    )
