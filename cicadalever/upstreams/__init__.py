"""HTTP calls to upstreams over persistent connections."""

from ._connection import (
    DEFAULT_MAX_ANSWER_BYTES,
    STATE_READY,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamConnection,
)
from ._connection_pool import ConnectionPool

__all__ = [
    "DEFAULT_MAX_ANSWER_BYTES",
    "STATE_READY",
    "ConnectionPool",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamConnection",
]
