"""The entry side: pins a snapshot, fans a query out and assembles the answer."""

from ._answer import QueryAnswer
from ._coordinator import EntryView, QueryCoordinator, QueryFeatures, ValidatedRequest
from ._fingerprint import fingerprint_of
from ._latency import LatencyByIndex
from ._once import OnceResult, OnceService
from ._query import Coverage, MissingShard, Query, ShardRead

__all__ = [
    "Coverage",
    "EntryView",
    "LatencyByIndex",
    "MissingShard",
    "OnceResult",
    "OnceService",
    "Query",
    "QueryAnswer",
    "QueryCoordinator",
    "QueryFeatures",
    "ShardRead",
    "ValidatedRequest",
    "fingerprint_of",
]
