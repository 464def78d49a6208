"""Heartbeats between hosts, the gatherers of queries, and relayed changes."""

from ._changes import ChangeLog, RelayedChanges, decode_changes, encode_changes
from ._heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from ._table import Address, Capacity, HostCount, Peer, PeerTable

__all__ = [
    "Address",
    "Heartbeat",
    "Capacity",
    "ChangeLog",
    "HostCount",
    "Peer",
    "PeerTable",
    "RelayedChanges",
    "decode_heartbeat",
    "decode_changes",
    "encode_heartbeat",
    "encode_changes",
]
