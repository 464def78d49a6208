"""Types of a configuration version."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its share of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """What an operator configured for the requests below one path prefix.

    A route has either ``services``, one of which gets each request, or ``shards``, all
    of which get it. ``max_attempts`` limits the replicas that may run one request; for
    shards it holds for each shard. ``rank`` 0 is the most urgent. ``target_latency_s``
    is the latency within which an answer has its full value; ``timeout_s`` bounds the
    time for which a caller is kept waiting. ``top_records`` and ``min_shard_share`` (0
    to 1) only apply to shards.
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
    """Options of a service; ``max_connections`` holds for each replica."""

    health_path: str
    max_connections: int


class Limits(NamedTuple):
    """Limits on what a caller may send, and on how long it may take or stay idle."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
