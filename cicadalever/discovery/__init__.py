"""Discovery of upstream replicas from the entries that they publish."""

from ._check import check_entry
from ._directory import DirectoryChange, UpstreamDirectory
from ._entry import ReplicaEntry, ReplicaState
from ._rejected import RejectedEntries

__all__ = [
    "DirectoryChange",
    "RejectedEntries",
    "ReplicaEntry",
    "ReplicaState",
    "UpstreamDirectory",
    "check_entry",
]
