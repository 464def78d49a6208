"""Queries over many shards: when to read again, when to answer, and with what."""

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
