"""HTTP calls to upstreams over kept-open connections."""

from ._connection import UpstreamAnswer, UpstreamCall, UpstreamConnection
from ._pool import ConnectionPool

__all__ = ["ConnectionPool", "UpstreamAnswer", "UpstreamCall", "UpstreamConnection"]
