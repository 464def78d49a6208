"""Datagrams in which hosts tell each other what they observed at replicas."""

import msgspec

from cicadalever.outcomes import Failure, FailureCode

# First byte of each kind of datagram; a heartbeat is an array and begins otherwise.
OBSERVATION_PREFIX = b"L"
CRASH_REPORT_PREFIX = b"C"
# Replicas that one datagram names, so that it fits into one packet.
MAX_REPLICAS = 32


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Replicas that ``host`` lost to the request with a ``fingerprint``.

    ``is_forwarded`` tells that the datagram comes from a third host, which the receiver
    does not pass on.
    """

    host: str
    fingerprint: int
    crashes: int
    is_forwarded: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[str])
_crash_decoder = msgspec.msgpack.Decoder(CrashReport)


def encode_observation(replica_ids: list[str]) -> bytes:
    """Return a datagram that names at most ``MAX_REPLICAS`` late replicas."""
    return OBSERVATION_PREFIX + _encoder.encode(replica_ids[:MAX_REPLICAS])


def decode_observation(data: bytes) -> list[str] | Failure:
    """Return the ids of the late replicas, or a failure for an invalid datagram."""
    try:
        return _decoder.decode(data[len(OBSERVATION_PREFIX) :])[:MAX_REPLICAS]
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"invalid observation: {error}")


def encode_crash_report(report: CrashReport) -> bytes:
    """Return the datagram of a crash report."""
    return CRASH_REPORT_PREFIX + _encoder.encode(report)


def decode_crash_report(data: bytes) -> CrashReport | Failure:
    """Return the crash report, or a failure for an invalid datagram."""
    try:
        return _crash_decoder.decode(data[len(CRASH_REPORT_PREFIX) :])
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"invalid crash report: {error}")
