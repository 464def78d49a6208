"""Messages between daemons, their codec and the sockets that carry them."""

from ._codec import decode, encode, register_message
from ._messages import (
    CancelReads,
    ConfigurationReply,
    ConfigurationRequest,
    OnceAnswer,
    QuarantineNotice,
    ReadAnswer,
    ReadAnswers,
    ReadBatch,
    ReadMode,
    ReadRequest,
    ReplicaNotice,
    ReplicaRelease,
    RunOnce,
)
from ._network import PeerNetwork

__all__ = [
    "CancelReads",
    "ConfigurationReply",
    "ConfigurationRequest",
    "OnceAnswer",
    "PeerNetwork",
    "QuarantineNotice",
    "ReadAnswer",
    "ReadAnswers",
    "ReadBatch",
    "ReadRequest",
    "ReplicaNotice",
    "ReplicaRelease",
    "RunOnce",
    "ReadMode",
    "decode",
    "encode",
    "register_message",
]
