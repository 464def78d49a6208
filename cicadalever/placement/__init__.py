"""Selection of replicas for reads by their observed health."""

from ._connections import HostCounts, connections_per_host
from ._health import ReplicaHealth
from ._selector import LeastCostSelector, ReadOutcome

__all__ = [
    "HostCounts",
    "connections_per_host",
    "LeastCostSelector",
    "ReadOutcome",
    "ReplicaHealth",
]
