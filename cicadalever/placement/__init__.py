"""Selection of replicas for reads by their observed health."""

from ._health import ReplicaHealth
from ._selector import LeastCostSelector, ReadOutcome

__all__ = ["LeastCostSelector", "ReadOutcome", "ReplicaHealth"]
