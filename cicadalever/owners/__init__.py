"""The owner side: runs the reads of the replicas that this host owns.

The owner of a replica keeps one read queue and one set of connections for it.
"""

from ._read import QueuedRead
from ._replica import OwnedReplica
from ._service import OwnerService, OwnerView

__all__ = ["OwnedReplica", "OwnerService", "OwnerView", "QueuedRead"]
