"""Queries over many shards: when to read again, when to answer, and with what."""

from ._merge import Part, merge_top_records
from ._state import GatherDecision, GatherEndReason, GatherPolicy, GatherState

__all__ = [
    "GatherPolicy",
    "GatherState",
    "GatherDecision",
    "Part",
    "GatherEndReason",
    "merge_top_records",
]
