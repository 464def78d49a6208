"""What upstream replicas say in answers: that they leave, or need a pause."""

from ._header import MAX_PAUSE_S, parse_pause
from ._leaving import decode_leaving, encode_leaving
from ._notices import Incarnation, ReplicaNotices

__all__ = [
    "MAX_PAUSE_S",
    "Incarnation",
    "ReplicaNotices",
    "decode_leaving",
    "encode_leaving",
    "parse_pause",
]
