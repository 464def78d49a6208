"""Hosts that work for each other: heartbeats, gatherers and relayed changes.

A host delegates queries over many shards to a much larger host of its data centre, the
gatherer, which reads the shards and merges their answers. A host can also follow such a
host as the source of platform changes, instead of calling the platform itself.
"""

from ._changes import (
    MAX_AGE_S,
    ChangeLog,
    Position,
    RelayedChanges,
    decode_changes,
    encode_changes,
)
from ._contact import (
    CONTACT_QUERY_PREFIX,
    CONTACT_REPORT_PREFIX,
    MAX_QUERIED_REPLICAS,
    ContactQuery,
    ContactReport,
    decode_contact_query,
    decode_contact_report,
    encode_contact_query,
    encode_contact_report,
)
from ._crash_news import (
    CRASH_NEWS_PREFIX,
    MAX_DATAGRAM_BYTES,
    CrashNews,
    decode_crash_news,
    encode_crash_news,
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
from ._peer import Address, Capacity, Peer
from ._refuges import Refuges
from ._table import COUNT_AFTER_S, HostCount, PeerTable

__all__ = [
    "CONTACT_QUERY_PREFIX",
    "CONTACT_REPORT_PREFIX",
    "MAX_QUERIED_REPLICAS",
    "ContactQuery",
    "ContactReport",
    "decode_contact_query",
    "decode_contact_report",
    "encode_contact_query",
    "encode_contact_report",
    "CRASH_NEWS_PREFIX",
    "MAX_DATAGRAM_BYTES",
    "CrashNews",
    "decode_crash_news",
    "encode_crash_news",
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
    "MAX_AGE_S",
    "ChangeLog",
    "Heartbeat",
    "HostCount",
    "Peer",
    "PeerTable",
    "Position",
    "Refuges",
    "RelayedChanges",
    "decode_changes",
    "decode_heartbeat",
    "encode_changes",
    "encode_heartbeat",
]
