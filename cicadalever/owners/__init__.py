"""The owner side: runs the reads of the replicas that this host owns.

A replica has one owner at a time, which holds its read queue and its connections.
"""

from ._read import QueuedRead
from ._replica import OwnedReplica
from ._service import OwnerService, OwnerView

__all__ = ["OwnedReplica", "OwnerService", "OwnerView", "QueuedRead"]
