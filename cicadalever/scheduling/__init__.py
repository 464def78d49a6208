"""Admission, queueing, load limits and replica selection.

The classes do no I/O and read no clock: they take the time as ``now`` in seconds, and
a seeded ``random.Random`` where they need random numbers. None of them uses locks,
since the event loop of a daemon runs on one thread.
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
