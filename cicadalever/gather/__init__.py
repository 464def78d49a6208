"""Queries over many shards: when to hedge, when to answer, and the merged result."""

from ._merge import ShardAnswer, merge_top_records
from ._state import GatherDecision, GatherEndReason, GatherPolicy, GatherState

__all__ = [
    "GatherPolicy",
    "GatherState",
    "GatherDecision",
    "ShardAnswer",
    "GatherEndReason",
    "merge_top_records",
]
