"""What hosts know of each other, and which of them gathers a query."""

from ._beat import Beat, decode_beat, encode_beat
from ._changes import ChangeLog, RelayedChanges, decode_changes, encode_changes
from ._table import Address, Capacity, HostCount, Peer, PeerTable

__all__ = [
    "Address",
    "Beat",
    "Capacity",
    "ChangeLog",
    "HostCount",
    "Peer",
    "PeerTable",
    "RelayedChanges",
    "decode_beat",
    "decode_changes",
    "encode_beat",
    "encode_changes",
]
