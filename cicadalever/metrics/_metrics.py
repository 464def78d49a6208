"""Metrics of one daemon.

Labelled children that change often are created once and kept, because looking one up
by its label values takes longer than changing it.
"""

from collections import Counter as Counts
from collections.abc import Mapping
from typing import Literal

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from cicadalever.outcomes import FailureCode, Outcome
from cicadalever.scheduling import Rank

CONTENT_TYPE = CONTENT_TYPE_LATEST
PREFIX = "cicadalever_"

# One bucket ends at 73 ms, the target latency of lookups. Reports may take minutes.
QUERY_BUCKETS_S = (
    *(0.005, 0.01, 0.02, 0.03, 0.05, 0.073, 0.1, 0.15, 0.2, 0.3, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0),
)
READ_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 60.0),
)
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0)
COVERAGE_BUCKETS = (0.0, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0)

OK = "ok"
NO_RANK = "none"
Direction = Literal["sent", "received"]


class Metrics:
    """Counters, gauges and histograms in a registry of their own.

    Methods named after an event count it, and those named ``set`` set a current value.
    Times are in seconds.

    >>> metrics = Metrics()
    >>> metrics.query_finished(Rank.BATCH, Outcome.COMPLETE, 0.02, 1.0)
    >>> b'queries_total{outcome="complete",rank="batch"} 1.0' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._create_query_metrics()
        self._create_read_metrics()
        self._create_replica_metrics()
        self._create_fleet_metrics()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus, see ``CONTENT_TYPE``."""
        return generate_latest(self._registry)

    def query_finished(
        self,
        rank: Rank | None,
        outcome: Outcome,
        seconds: float,
        coverage: float | None,
    ) -> None:
        """Count a query of a caller; ``seconds`` is the time from arrival to answer.

        ``rank`` is None if the query was refused before its rank was known, and only
        the outcome counts then. ``coverage`` is the share (0 to 1) of the shards that
        the answer covers, None if nothing was read.
        """
        self._queries[rank, outcome].inc()
        if rank is None:
            return
        self._query_seconds[rank].observe(seconds)
        if coverage is not None:
            self._query_coverage[rank].observe(coverage)

    def set_admission(
        self, rank: Rank, window: float, running: int, waiting: int
    ) -> None:
        """Set the admission window and the numbers of running and waiting queries."""
        self._windows[rank].set(window)
        self._running[rank].set(running)
        self._waiting[rank].set(waiting)

    def read_finished(
        self, code: FailureCode | str, queued_s: float, service_s: float
    ) -> None:
        """Count a read of which this host is the owner.

        ``code`` is empty if it succeeded. ``queued_s`` is the time in the queue and
        ``service_s`` the time at the upstream. ``service_s`` is 0 if the read was
        refused before it started, and is not observed then.
        """
        self._reads[code or OK].inc()
        self._queue_seconds.observe(queued_s)
        if service_s > 0:
            self._service_seconds.observe(service_s)

    def read_hedged(self) -> None:
        """Count a hedge: a read sent to a second replica while the first still runs."""
        self._hedges.inc()

    def read_retried(self) -> None:
        """Count a read that was sent again after a failure or a refusal."""
        self._retries.inc()

    def set_extra_read_stock(self, stock: float) -> None:
        """Set the stock of the budget: how many hedges and retries may be sent now."""
        self._extra_read_stock.set(stock)

    def set_replica(
        self, replica_id: str, queued: int, limit: int, connections: int
    ) -> None:
        """Set the queue length, limit and open connections of an owned replica."""
        gauges = self._replica_gauges.get(replica_id)
        if gauges is None:
            gauges = tuple(
                family.labels(replica_id) for family in self._replica_families
            )
            self._replica_gauges[replica_id] = gauges
            self._owned_replicas.set(len(self._replica_gauges))
        for gauge, value in zip(gauges, (queued, limit, connections), strict=True):
            gauge.set(value)

    def remove_replica(self, replica_id: str) -> None:
        """Remove the series of a replica that this host no longer owns."""
        if self._replica_gauges.pop(replica_id, None) is None:
            return
        for family in self._replica_families:
            family.remove(replica_id)
        self._owned_replicas.set(len(self._replica_gauges))

    def set_member_counts(self, counts: Mapping[str, int]) -> None:
        """Set the number of members by state; it is 0 for states not in ``counts``."""
        for state in self._member_states - counts.keys():
            self._members.labels(state).set(0)
        for state, count in counts.items():
            self._members.labels(state).set(count)
        self._member_states |= counts.keys()

    def set_peer_bytes(self, direction: Direction, totals: Mapping[str, int]) -> None:
        """Set the bytes sent or received so far, by message type.

        ``totals`` are those of ``PeerNetwork``, which never decrease.
        """
        for message_type, total in totals.items():
            key = message_type, direction
            self._peer_bytes.labels(*key).inc(total - self._peer_totals[key])
            self._peer_totals[key] = total

    def set_configuration(self, sequence: int, version: int) -> None:
        """Set the last applied sequence of the log and the version in force."""
        self._sequence.set(sequence)
        self._version.set(version)

    def set_platform_contact_age(self, age_s: float) -> None:
        """Set the seconds since the platform last answered; infinite before that."""
        self._platform_age.set(age_s)

    def set_quarantined(self, fingerprints: int) -> None:
        """Set the number of quarantined request fingerprints."""
        self._quarantined.set(fingerprints)

    def audit_recorded(self, kind: str) -> None:
        """Count an audit event."""
        self._audit_events.labels(kind).inc()

    def connection_dropped(self, server: str, cause: str) -> None:
        """Count a connection that a server, "caller" or "admin", has closed."""
        self._connections_dropped.labels(server, cause).inc()

    def answer_dropped(self) -> None:
        """Count an unfinished answer that was dropped for the budget of memory."""
        self._answers_dropped.inc()

    def set_held_answer_bytes(self, size: int) -> None:
        """Set the bytes of all answers of upstreams that are not complete."""
        self._held_answer_bytes.set(size)

    def observe_loop_lag(self, seconds: float) -> None:
        """Observe by how much a timer of the event loop was late."""
        self._loop_lag.observe(seconds)

    def _create_query_metrics(self) -> None:
        queries = self._counter(
            "queries", "Caller queries by rank and outcome.", "rank", "outcome"
        )
        self._queries = {
            (rank, outcome): queries.labels(_rank_name(rank), outcome.value)
            for rank in (*Rank, None)
            for outcome in Outcome
        }
        self._query_seconds = _by_rank(
            self._histogram(
                "query_seconds",
                "Time from the arrival of a caller query to its answer.",
                QUERY_BUCKETS_S,
                "rank",
            )
        )
        self._query_coverage = _by_rank(
            self._histogram(
                "query_coverage_ratio",
                "Covered shards divided by all shards of a query.",
                COVERAGE_BUCKETS,
                "rank",
            )
        )
        self._windows = _by_rank(
            self._gauge(
                "admission_window_queries", "Queries that may run at once.", "rank"
            )
        )
        self._running = _by_rank(
            self._gauge("queries_running", "Caller queries running now.", "rank")
        )
        self._waiting = _by_rank(
            self._gauge(
                "queries_waiting", "Caller queries waiting for admission.", "rank"
            )
        )

    def _create_read_metrics(self) -> None:
        reads = self._counter("reads", "Reads on this owner by result code.", "code")
        codes = (OK, *FailureCode)
        self._reads = {code: reads.labels(str(code)) for code in codes}
        self._queue_seconds = self._histogram(
            "read_queue_seconds", "Time of a read in the owner's queue.", READ_BUCKETS_S
        )
        self._service_seconds = self._histogram(
            "read_service_seconds", "Time of a read at its upstream.", READ_BUCKETS_S
        )
        self._hedges = self._counter(
            "hedges", "Reads sent to a second replica while the first ran."
        )
        self._retries = self._counter(
            "retries", "Reads sent again after a failure or refusal."
        )
        self._extra_read_stock = self._gauge(
            "extra_load_stock_reads", "Extra reads that the budget allows now."
        )

    def _create_replica_metrics(self) -> None:
        self._replica_families = (
            self._gauge(
                "replica_queue_reads", "Reads queued for an owned replica.", "replica"
            ),
            self._gauge(
                "replica_limit_reads",
                "Reads that may run at once on an owned replica.",
                "replica",
            ),
            self._gauge(
                "replica_connections", "Connections open to a replica.", "replica"
            ),
        )
        self._replica_gauges: dict[str, tuple[Gauge, ...]] = {}
        self._owned_replicas = self._gauge(
            "owned_replicas", "Replicas that this host owns."
        )

    def _create_fleet_metrics(self) -> None:
        self._members = self._gauge("members", "Known members by state.", "state")
        self._member_states: set[str] = set()
        self._peer_bytes = self._counter(
            "peer_bytes",
            "Bytes of messages between daemons, by message type and direction.",
            "type",
            "direction",
        )
        self._peer_totals: Counts[tuple[str, str]] = Counts()
        self._sequence = self._gauge(
            "configuration_sequence", "Last sequence of the log that was applied."
        )
        self._version = self._gauge(
            "configuration_version", "Configuration version in force."
        )
        self._platform_age = self._gauge(
            "platform_contact_age_seconds", "Time since the last platform contact."
        )
        self._quarantined = self._gauge(
            "quarantined_fingerprints", "Fingerprints that are refused."
        )
        self._audit_events = self._counter(
            "audit_events", "Audit events by kind.", "kind"
        )
        self._connections_dropped = self._counter(
            "connections_dropped",
            "Connections closed to make room or for a late request.",
            "server",
            "cause",
        )
        self._answers_dropped = self._counter(
            "answers_dropped", "Unfinished answers of upstreams dropped for memory."
        )
        self._held_answer_bytes = self._gauge(
            "held_answer_bytes", "Bytes of unfinished answers of upstreams."
        )
        self._loop_lag = self._histogram(
            "event_loop_lag_seconds", "Lateness of the loop's timer.", LAG_BUCKETS_S
        )

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(PREFIX + name, help_text, labels, registry=self._registry)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(PREFIX + name, help_text, labels, registry=self._registry)

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            PREFIX + name, help_text, labels, buckets=buckets, registry=self._registry
        )


def _rank_name(rank: Rank | None) -> str:
    return NO_RANK if rank is None else rank.name.lower()


def _by_rank(family: Gauge | Histogram) -> dict[Rank, Gauge | Histogram]:
    return {rank: family.labels(_rank_name(rank)) for rank in Rank}
