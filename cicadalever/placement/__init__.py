"""The choice of a replica for a read, from what this host observed."""

from ._health import ReplicaHealth
from ._placement import Placement, ReadEnd

__all__ = ["Placement", "ReadEnd", "ReplicaHealth"]
