"""Messages of the failure detector.

All three begin with the same fields, which describe the sender: its host, its
process incarnation and refutation counter, whether it announced that it is leaving,
a sequence number that matches an acknowledgement to a ping, its configuration
digest, and up to ``MAX_UPDATES`` piggybacked updates.
"""

from typing import NamedTuple

from cicadalever.topology import Host

from ._members import MemberUpdate

MAX_UPDATES = 16


class VersionDigest(NamedTuple):
    """The configuration in force at a host.

    ``platform_age_s`` is the time since the host last heard from the platform, in
    seconds, and infinite when it never did.
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
