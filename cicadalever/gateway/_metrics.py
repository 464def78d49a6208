"""Counters and histograms of the gateway."""

from collections import Counter as Counts
from collections.abc import Iterator, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily

LATENCY_BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0,
)  # fmt: skip


class GatewayMetrics:
    """Metrics of one host in the format of Prometheus.

    Requests are labelled by rank and by how they ended. The route is not a label, since
    deployments have hundreds of routes.
    """

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = self._counter("requests", "Answered requests", "rank", "end")
        self._latency = Histogram(
            "cicadalever_gateway_request_seconds",
            "Time from the first byte of a request to its answer",
            ["rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        # Plain counters, because incrementing one of the library takes as long as
        # parsing the answer of a read.
        self._reads: Counts[str] = Counts()
        self._read_seconds = 0.0
        self._registry.register(self)
        self._extra_reads = self._counter(
            "extra_reads", "Reads beyond the first", "cause"
        )
        self._connections_opened = self._counter(
            "connections_opened", "Connections to replicas"
        )
        self._platform_calls = self._gauge("platform_calls", "Calls to the platform")
        self._platform_age = self._gauge(
            "platform_age_seconds", "Time since the last contact"
        )
        self._upstream_age = self._gauge(
            "upstream_age_seconds",
            "Time since a replica completed an answer or a handshake",
        )
        self._version = self._gauge("configuration_version", "Version in force")
        self._replicas = self._gauge("replicas", "Known replicas")
        self._limited_replicas = self._gauge(
            "limited_replicas", "Replicas that name a rate limit"
        )
        self._leaving_replicas = self._gauge(
            "leaving_replicas", "Listed replicas that have said they are leaving"
        )
        self._paused_replicas = self._gauge(
            "paused_replicas", "Replicas that want no requests of this host for a while"
        )
        self._held_off = self._counter(
            "replicas_held_off", "Replicas held off for what they have said", "cause"
        )
        self._refused_requests = self._gauge(
            "quarantined_requests", "Requests that are refused because of crashes"
        )
        self._quarantined = self._counter(
            "requests_quarantined", "Requests that were found to crash replicas"
        )
        self._entries_rejected = self._counter(
            "entries_rejected", "Entries that were found to name no replica"
        )
        self._rejected_entries = self._gauge(
            "rejected_entries", "Published entries that name no replica"
        )
        self._failed_callbacks = self._gauge(
            "failed_callbacks", "Callbacks with an unexpected exception since the start"
        )
        self._held_bytes = self._labelled_gauge(
            "held_bytes", "Bytes held for others", "kind"
        )
        self._open_connections = self._labelled_gauge(
            "open_connections", "Connections that others have opened", "address"
        )
        self._holders_dropped = self._counter(
            "holders_dropped", "Transfers dropped for the budget of memory", "kind"
        )
        self._connections_dropped = self._counter(
            "connections_dropped",
            "Connections closed or not opened for want of descriptors",
            "kind",
            "cause",
        )
        self._loop_lag = self._gauge("loop_lag_seconds", "Lateness of the last tick")

    def request_ended(self, rank: int, end: str, seconds: float) -> None:
        """Count an ended request; ``seconds`` is the time from its first byte."""
        self._requests.labels(str(rank), end).inc()
        self._latency.labels(str(rank)).observe(seconds)

    def read_ended(self, kind: str, seconds: float) -> None:
        """Count an ended read by its ``AnswerKind``, with its latency."""
        self._reads[kind] += 1
        self._read_seconds += seconds

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the metrics of reads; called by the registry of the library."""
        name = "cicadalever_gateway_reads"
        reads = CounterMetricFamily(name, "Ended reads from replicas", labels=["kind"])
        for kind, count in self._reads.items():
            reads.add_metric([kind], count)
        yield reads
        yield CounterMetricFamily(
            "cicadalever_gateway_read_seconds",
            "Sum of the latencies of reads",
            value=self._read_seconds,
        )

    def extra_read(self, cause: str) -> None:
        """Count an extra read by its cause.

        The causes are hedge, retry, repeat (another host may have sent the read before)
        and no_allowance (the read was not sent because the retry budget was used up).
        """
        self._extra_reads.labels(cause).inc()

    def connection_opened(self) -> None:
        """Count a new connection to a replica."""
        self._connections_opened.inc()

    def entry_rejected(self) -> None:
        """Count an entry that was found to name no replica."""
        self._entries_rejected.inc()

    def request_quarantined(self) -> None:
        """Count a request that is refused from now on because it crashes replicas."""
        self._quarantined.inc()

    def replica_held_off(self, cause: str) -> None:
        """Count a replica that said it is "leaving" or wants to be "paused"."""
        self._held_off.labels(cause).inc()

    def holder_dropped(self, kind: str) -> None:
        """Count a transfer of a ``HeldKind`` that was dropped to free memory."""
        self._holders_dropped.labels(kind).inc()

    def connection_dropped(self, kind: str, cause: str) -> None:
        """Count a connection of a ``DescriptorKind`` that had to give way.

        The cause is "idle" if it made room for another, and "full" if it got none. A
        connection on which a poll may not wait counts with "polls", and stays open.
        """
        self._connections_dropped.labels(kind, cause).inc()

    def set_held(
        self, bytes_by_kind: Mapping[str, int], connections: Mapping[str, int]
    ) -> None:
        """Set the gauges of what is held for others.

        ``connections`` is the number of connections accepted at each address.
        """
        for kind, size in bytes_by_kind.items():
            self._held_bytes.labels(kind).set(size)
        for address, count in connections.items():
            self._open_connections.labels(address).set(count)

    def set_faults(self, *, rejected_entries: int, failed_callbacks: int) -> None:
        """Set the gauges of entries that are rejected now and of failed callbacks."""
        self._rejected_entries.set(rejected_entries)
        self._failed_callbacks.set(failed_callbacks)

    def set_gauges(
        self,
        *,
        calls: int,
        age_s: float,
        upstream_age_s: float,
        version: int,
        replicas: int,
        limited: int,
        leaving: int,
        paused: int,
        quarantined: int,
        lag_s: float,
    ) -> None:
        """Set the gauges; ``age_s`` is the time since the platform last answered.

        ``upstream_age_s`` is the time since a replica last completed an answer or a
        handshake, ``limited`` the number of replicas that name a rate limit,
        ``leaving`` and ``paused`` of those that are leaving and that pause,
        ``quarantined`` the number of requests that are refused because of crashes, and
        ``lag_s`` the delay of the last periodic tick of the event loop.
        """
        self._platform_calls.set(calls)
        self._platform_age.set(age_s)
        self._upstream_age.set(upstream_age_s)
        self._version.set(version)
        self._replicas.set(replicas)
        self._limited_replicas.set(limited)
        self._leaving_replicas.set(leaving)
        self._paused_replicas.set(paused)
        self._refused_requests.set(quarantined)
        self._loop_lag.set(lag_s)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        full_name = f"cicadalever_gateway_{name}"
        return Counter(full_name, help_text, labels, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return self._labelled_gauge(name, help_text)

    def _labelled_gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        full_name = f"cicadalever_gateway_{name}"
        return Gauge(full_name, help_text, labels, registry=self._registry)
