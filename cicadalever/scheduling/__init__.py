"""Decisions about which work runs, where and when.

The classes are pure: they take the time as ``now`` in seconds and a seeded
``random.Random`` where they need chance. None of them locks, since a daemon runs its
event loop on one thread.
"""

from ._admission import AdmissionControl, Decision
from ._extra_load import ExtraLoadBudget
from ._latency import LatencyQuantile
from ._limit import AdaptiveLimit, Feedback
from ._queue import QueueEntry, RankQueue
from ._rank import Rank
from ._selector import ReplicaSelector

__all__ = [
    "AdaptiveLimit",
    "AdmissionControl",
    "Decision",
    "QueueEntry",
    "ExtraLoadBudget",
    "Feedback",
    "LatencyQuantile",
    "Rank",
    "RankQueue",
    "ReplicaSelector",
]
