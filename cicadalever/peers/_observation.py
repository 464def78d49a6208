"""Datagrams in which hosts tell each other what they observed at replicas."""

from math import isfinite
from typing import Annotated

import msgspec

from cicadalever.outcomes import Failure, FailureCode, decode_or_fail

from ._heartbeat import Count

# First byte of each kind of datagram; a heartbeat is an array and begins otherwise.
OBSERVATION_PREFIX = b"L"
CRASH_REPORT_PREFIX = b"C"
LIMIT_REPORT_PREFIX = b"R"
# Replicas that one datagram names, so that it fits into one packet.
MAX_REPLICAS = 32


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Replicas that ``host`` lost to the request with a ``fingerprint``.

    ``is_forwarded`` tells that the datagram comes from a third host, which the receiver
    does not pass on.
    """

    host: str
    fingerprint: int
    crashes: Count
    is_forwarded: bool = False


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Rate limits that replicas have named to ``host``.

    ``limits`` are pairs of the id of a replica and the requests per second that it
    takes from all hosts, or None if it names no limit any more. ``is_forwarded`` is
    that of ``CrashReport``.
    """

    host: str
    limits: Annotated[
        list[tuple[str, Annotated[float, msgspec.Meta(ge=0.0)] | None]],
        msgspec.Meta(max_length=MAX_REPLICAS),
    ]
    is_forwarded: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[str])
_crash_decoder = msgspec.msgpack.Decoder(CrashReport)
_limit_decoder = msgspec.msgpack.Decoder(LimitReport)


def encode_observation(replica_ids: list[str]) -> bytes:
    """Return a datagram that names at most ``MAX_REPLICAS`` late replicas."""
    return OBSERVATION_PREFIX + _encoder.encode(replica_ids[:MAX_REPLICAS])


def decode_observation(data: bytes) -> list[str] | Failure:
    """Return the ids of the late replicas, or a failure for an invalid datagram."""
    payload = data[len(OBSERVATION_PREFIX) :]
    replica_ids = decode_or_fail(_decoder.decode, payload, "invalid observation")
    return (
        replica_ids if isinstance(replica_ids, Failure) else replica_ids[:MAX_REPLICAS]
    )


def encode_crash_report(report: CrashReport) -> bytes:
    """Return the datagram of a crash report."""
    return CRASH_REPORT_PREFIX + _encoder.encode(report)


def decode_crash_report(data: bytes) -> CrashReport | Failure:
    """Return the crash report, or a failure for an invalid datagram."""
    payload = data[len(CRASH_REPORT_PREFIX) :]
    return decode_or_fail(_crash_decoder.decode, payload, "invalid crash report")


def encode_limit_report(report: LimitReport) -> bytes:
    """Return the datagram of a report of at most ``MAX_REPLICAS`` rate limits."""
    return LIMIT_REPORT_PREFIX + _encoder.encode(report)


def decode_limit_report(data: bytes) -> LimitReport | Failure:
    """Return the report of rate limits, or a failure for an invalid datagram."""
    payload = data[len(LIMIT_REPORT_PREFIX) :]
    report = decode_or_fail(_limit_decoder.decode, payload, "invalid limit report")
    if isinstance(report, Failure):
        return report
    if not all(limit is None or isfinite(limit) for _, limit in report.limits):
        return Failure(FailureCode.INVALID, "invalid limit report: limit not finite")
    return report
