"""HTTP calls to upstreams over persistent connections."""

from ._connection import (
    STATE_READY,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamConnection,
)
from ._connection_pool import ConnectionPool

__all__ = [
    "STATE_READY",
    "ConnectionPool",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamConnection",
]
