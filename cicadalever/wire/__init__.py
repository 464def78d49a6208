"""HTTP connections to callers and replicas on the event loop of eventlet."""

from ._caller_server import CallerConnection, CallerServer, ServerLimits
from ._headers import HeaderNames, is_hop_by_hop
from ._loop import EventLoop
from ._message import (
    AnswerFault,
    CallerRequest,
    CallerResponse,
    Header,
    ReplicaAnswer,
)
from ._replica_connection import ReplicaConnection
from ._replica_pool import Exchange, ReplicaPool

__all__ = [
    "AnswerFault",
    "CallerConnection",
    "CallerRequest",
    "CallerServer",
    "EventLoop",
    "Exchange",
    "Header",
    "HeaderNames",
    "ReplicaAnswer",
    "ReplicaPool",
    "CallerResponse",
    "ServerLimits",
    "ReplicaConnection",
    "is_hop_by_hop",
]
