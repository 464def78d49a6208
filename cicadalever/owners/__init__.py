"""The owner side: one rank order and one set of connections per replica."""

from ._read import QueuedRead
from ._replica import OwnedReplica
from ._service import OwnerService, OwnerView

__all__ = ["OwnedReplica", "OwnerService", "OwnerView", "QueuedRead"]
