"""Queries over many shards: when to hedge, when to answer, and the merged result.

Each shard is read once from one of its replicas. A hedge is a second read from another
replica while the first one is still in flight; the first answer counts.
"""

from ._attempts import decode_attempts, encode_attempts
from ._groups import decode_shards, encode_shards, group_by_data_centre
from ._merge import ShardAnswer, merge_top_records, shorten_answer
from ._state import (
    GatherDecision,
    GatherEndReason,
    GatherPolicy,
    GatherState,
    required_shards,
)

__all__ = [
    "GatherDecision",
    "GatherEndReason",
    "GatherPolicy",
    "GatherState",
    "ShardAnswer",
    "decode_attempts",
    "decode_shards",
    "encode_attempts",
    "encode_shards",
    "group_by_data_centre",
    "merge_top_records",
    "required_shards",
    "shorten_answer",
]
