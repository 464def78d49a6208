"""Discovery of upstream replicas from the entries that they publish."""

from ._directory import (
    DirectoryChange,
    ReplicaEntry,
    ReplicaState,
    UpstreamDirectory,
)

__all__ = ["DirectoryChange", "ReplicaEntry", "ReplicaState", "UpstreamDirectory"]
