"""Messages of the failure detector.

All three begin with the same fields: the sender's host, the incarnation and
refutation counter of its process, whether it is leaving, a sequence number that
matches an acknowledgement to a ping, its configuration digest, and up to
``MAX_UPDATES`` piggybacked updates about members.
"""

from typing import NamedTuple

from cicadalever.topology import Host

from ._members import MemberUpdate

MAX_UPDATES = 16


class VersionDigest(NamedTuple):
    """The configuration in force at a host.

    ``platform_age_s`` is the time in seconds since a host of the same data centre was
    last in contact with the platform, as far as is known, and infinite if none was.
    """

    sequence: int = 0
    version: int = 0
    platform_age_s: float = float("inf")


class Ping(NamedTuple):
    """Asks the receiver for an ``Ack`` with the same sequence number."""

    sender: Host
    incarnation: int
    refutation: int
    leaving: bool
    sequence: int
    digest: VersionDigest
    updates: tuple[MemberUpdate, ...]


class Ack(NamedTuple):
    """Answers a ``Ping``, or a ``PingRequest`` whose target answered the sender.

    ``target`` is the host id of the original target of a ``PingRequest``, and empty
    in the answer to a ``Ping``.
    """

    sender: Host
    incarnation: int
    refutation: int
    leaving: bool
    sequence: int
    digest: VersionDigest
    updates: tuple[MemberUpdate, ...]
    target: str = ""


class PingRequest(NamedTuple):
    """Asks the receiver to ping a target that did not answer the sender."""

    sender: Host
    incarnation: int
    refutation: int
    leaving: bool
    sequence: int
    digest: VersionDigest
    updates: tuple[MemberUpdate, ...]
    target: str
    target_address: str


Message = Ping | Ack | PingRequest
