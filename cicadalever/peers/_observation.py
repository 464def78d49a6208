"""Datagrams in which hosts tell each other which replicas are late."""

import msgspec

from cicadalever.outcomes import Failure, FailureCode

# First byte of an observation; a heartbeat is an array and begins otherwise.
OBSERVATION_PREFIX = b"L"
# Replicas that one datagram names, so that it fits into one packet.
MAX_REPLICAS = 32

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[str])


def encode_observation(replica_ids: list[str]) -> bytes:
    """Return a datagram that names at most ``MAX_REPLICAS`` late replicas."""
    return OBSERVATION_PREFIX + _encoder.encode(replica_ids[:MAX_REPLICAS])


def decode_observation(data: bytes) -> list[str] | Failure:
    """Return the ids of the late replicas, or a failure for an invalid datagram."""
    try:
        return _decoder.decode(data[len(OBSERVATION_PREFIX) :])[:MAX_REPLICAS]
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"invalid observation: {error}")
