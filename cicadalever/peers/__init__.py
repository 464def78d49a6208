"""What hosts know of each other, and which of them gathers a query."""

from ._beat import Beat, decode_beat, encode_beat
from ._table import Address, Capacity, Peer, PeerTable

__all__ = [
    "Address",
    "Beat",
    "Capacity",
    "Peer",
    "PeerTable",
    "decode_beat",
    "encode_beat",
]
