"""Hosts that work for each other: heartbeats, gatherers and relayed changes.

A host delegates queries over many shards to a much larger host of its data centre, the
gatherer, which reads the shards and merges their answers. A host can also follow such a
host as the source of platform changes, instead of calling the platform itself.
"""

from ._changes import (
    ChangeLog,
    Position,
    RelayedChanges,
    decode_changes,
    encode_changes,
)
from ._heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from ._observation import (
    CRASH_REPORT_PREFIX,
    LIMIT_REPORT_PREFIX,
    MAX_REPLICAS,
    OBSERVATION_PREFIX,
    CrashReport,
    LimitReport,
    decode_crash_report,
    decode_limit_report,
    decode_observation,
    encode_crash_report,
    encode_limit_report,
    encode_observation,
)
from ._table import COUNT_AFTER_S, Address, Capacity, HostCount, Peer, PeerTable

__all__ = [
    "COUNT_AFTER_S",
    "CRASH_REPORT_PREFIX",
    "CrashReport",
    "decode_crash_report",
    "encode_crash_report",
    "LIMIT_REPORT_PREFIX",
    "LimitReport",
    "MAX_REPLICAS",
    "decode_limit_report",
    "encode_limit_report",
    "OBSERVATION_PREFIX",
    "decode_observation",
    "encode_observation",
    "Address",
    "Capacity",
    "ChangeLog",
    "Heartbeat",
    "HostCount",
    "Peer",
    "PeerTable",
    "Position",
    "RelayedChanges",
    "decode_changes",
    "decode_heartbeat",
    "encode_changes",
    "encode_heartbeat",
]
