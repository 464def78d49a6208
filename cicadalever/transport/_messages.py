"""Messages between daemons.

Every message that expects an answer carries the peer address of its sender, so a
host can answer a sender that its member table does not list yet. Deadlines are
absolute Unix times in seconds, so that a message that waited in a socket while the
process was paused is recognized as expired.
"""

from enum import IntEnum
from typing import NamedTuple


class ReadMode(IntEnum):
    """How a read is isolated from others, as its request may crash an upstream.

    A canary is the first read of a request that has not succeeded yet. An exclusive
    read runs alone on its replica.
    """

    NORMAL = 0
    CANARY = 1
    EXCLUSIVE = 2


class ReadRequest(NamedTuple):
    """One shard read inside a ``ReadBatch``; ``number`` is unique in its query."""

    number: int
    replica: str
    shard: str
    mode: int = ReadMode.NORMAL


class ReadBatch(NamedTuple):
    """The reads that one query sends to one owner at the same time.

    ``parameters`` is the JSON body for the upstream. ``fingerprint`` is the same for
    requests with the same route, operation and parameters.
    """

    sender: str
    query: str
    request_id: str
    rank: int
    deadline_unix: float
    operation: str
    snapshot: int
    fingerprint: int
    parameters: bytes
    reads: list[ReadRequest]


class ReadAnswer(NamedTuple):
    """The result of one read; ``code`` and ``reason`` are empty when it succeeded.

    ``rows`` is the JSON body of the upstream. ``queued_s`` and ``service_s`` are
    seconds spent in the owner's queue and in the upstream call. ``pressure`` tells
    whether too many reads wait for this replica, or the read was refused for its
    deadline or for overload.
    """

    number: int
    code: str
    reason: str
    snapshot: int
    rows: bytes
    queued_s: float
    service_s: float
    pressure: bool


class ReadAnswers(NamedTuple):
    """Results of reads of one query."""

    query: str
    answers: list[ReadAnswer]


class CancelReads(NamedTuple):
    """The sender no longer needs these reads of a query.

    With ``confirm``, the owner answers the reads that it had not started yet with the
    code ``CANCELLED``.
    """

    sender: str
    query: str
    read_numbers: list[int]
    confirm: bool = False


class RunOnce(NamedTuple):
    """A non-idempotent request, forwarded to the process that issued its id.

    ``body`` is the caller's request as JSON. ``token`` is unique and repeated in the
    ``OnceAnswer``.
    """

    sender: str
    token: str
    request_id: str
    deadline_unix: float
    body: bytes


class OnceAnswer(NamedTuple):
    """The answer to ``RunOnce``; ``body`` is the answer for the caller as JSON."""

    token: str
    status: int
    body: bytes


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its configuration if it is newer than ``sequence``."""

    sender: str
    sequence: int


class ConfigurationReply(NamedTuple):
    """A newer configuration, as log entries or as a full document, both JSON.

    ``entries`` holds the log entries that follow the requested sequence, if the
    sender still has them; else ``document`` holds the full document.
    """

    entries: list[bytes]
    document: bytes


class QuarantineNotice(NamedTuple):
    """The fingerprint of a request that may have crashed an upstream.

    ``quarantined`` tells whether it is quarantined or only a suspect. A quarantine
    expires in ``ttl_s`` seconds; a suspicion expires after a time that the receiver
    sets.
    """

    sender: str
    fingerprint: int
    ttl_s: float
    reason: str
    quarantined: bool


class ReplicaNotice(NamedTuple):
    """``replica`` began or stopped draining; sent by its owner."""

    sender: str
    replica: str
    draining: bool


class ReplicaRelease(NamedTuple):
    """The sender closed its connections to ``replica``."""

    sender: str
    replica: str
