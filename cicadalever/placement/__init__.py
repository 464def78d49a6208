"""The choice of a replica for a read, from what this host observed."""

from ._health import ReplicaHealth
from ._selector import LeastCostSelector, ReadOutcome

__all__ = ["LeastCostSelector", "ReadOutcome", "ReplicaHealth"]
