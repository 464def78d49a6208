"""Membership of the hosts, failure detection, and the choice of replica owners."""

from ._members import Member, MemberEvent, MemberState, MemberTable, MemberUpdate
from ._messages import Ack, Ping, PingRequest, VersionDigest
from ._ownership import Ownership
from ._prober import PeerDigest, Prober
from ._rendezvous import rendezvous_weight

__all__ = [
    "Ack",
    "Member",
    "MemberEvent",
    "MemberState",
    "MemberTable",
    "MemberUpdate",
    "Ownership",
    "PeerDigest",
    "Ping",
    "PingRequest",
    "Prober",
    "VersionDigest",
    "rendezvous_weight",
]
