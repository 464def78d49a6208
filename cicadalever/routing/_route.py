"""Routes, services and limits of a configuration version."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Configuration of the requests to one host below one path prefix.

    Each request goes to one of the ``services``, chosen by weight, or to all
    ``shards``; the other of the two is empty. ``max_attempts`` limits the replicas that
    may run one request, separately for each shard. An ``idempotent`` request may be
    sent again although it may have run. Requests of a lower ``rank`` are served first;
    0 is the most urgent. An answer has its full value within ``target_latency_s``, and
    the caller gets an error after ``timeout_s``. With shards, an answer holds the
    ``top_records`` greatest records and needs ``min_shard_share`` (0 to 1) of the
    shards.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    rank: int
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...] = ()
    top_records: int = 0
    min_shard_share: float = 0.0


class ServiceOptions(NamedTuple):
    """Options of a service; ``max_connections`` applies to each of its replicas."""

    health_path: str
    max_connections: int


class Limits(NamedTuple):
    """Limits on requests and connections of callers.

    A connection is closed when a request with its body takes longer than
    ``header_timeout_s`` to arrive, or when it is idle for ``idle_timeout_s``.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
