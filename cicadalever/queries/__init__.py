"""Queries on the entry: pins a snapshot, reads its shards and assembles the answer.

The entry is the host that a caller asks. Its reads go to the owners: each replica has
one owner, the host that queues its reads and sends them to its upstream.
"""

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
