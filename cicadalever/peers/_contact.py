"""Datagrams with which hosts find out which of them have lost their links."""

from typing import Annotated

import msgspec

from cicadalever.addresses import is_host_address
from cicadalever.outcomes import Failure, FailureCode, decode_or_fail

from ._heartbeat import Heartbeat, check_heartbeat

# First byte of each kind of datagram; see ``_observation``.
CONTACT_QUERY_PREFIX = b"Q"
CONTACT_REPORT_PREFIX = b"A"
# Replicas that one query names.
MAX_QUERIED_REPLICAS = 8


class ContactQuery(msgspec.Struct, array_like=True, frozen=True):
    """Request to connect to ``replicas``, which the host at ``address`` cannot reach.

    Without replicas, it only asks for the state of the receiver. ``number`` identifies
    the query.
    """

    address: tuple[str, int]
    number: int
    replicas: Annotated[list[str], msgspec.Meta(max_length=MAX_QUERIED_REPLICAS)]


class ContactReport(msgspec.Struct, array_like=True, frozen=True):
    """State of a host, and the queried replicas to which it has just connected.

    ``number`` is that of the query.
    """

    heartbeat: Heartbeat
    number: int
    reached: Annotated[list[str], msgspec.Meta(max_length=MAX_QUERIED_REPLICAS)] = []


_encoder = msgspec.msgpack.Encoder()
_query_decoder = msgspec.msgpack.Decoder(ContactQuery)
_report_decoder = msgspec.msgpack.Decoder(ContactReport)


def encode_contact_query(query: ContactQuery) -> bytes:
    """Return the datagram of a query."""
    return CONTACT_QUERY_PREFIX + _encoder.encode(query)


def decode_contact_query(data: bytes) -> ContactQuery | Failure:
    """Return the query, or a failure for an invalid datagram."""
    payload = data[len(CONTACT_QUERY_PREFIX) :]
    query = decode_or_fail(_query_decoder.decode, payload, "invalid contact query")
    if isinstance(query, Failure) or is_host_address(query.address):
        return query
    reason = f"invalid contact query: {ascii(query.address)} is no host"
    return Failure(FailureCode.INVALID, reason)


def encode_contact_report(report: ContactReport) -> bytes:
    """Return the datagram of a report."""
    return CONTACT_REPORT_PREFIX + _encoder.encode(report)


def decode_contact_report(data: bytes) -> ContactReport | Failure:
    """Return the report, or a failure for an invalid datagram."""
    payload = data[len(CONTACT_REPORT_PREFIX) :]
    report = decode_or_fail(_report_decoder.decode, payload, "invalid contact report")
    if isinstance(report, Failure):
        return report
    heartbeat = check_heartbeat(report.heartbeat)
    if isinstance(heartbeat, Failure):
        return heartbeat
    return msgspec.structs.replace(report, heartbeat=heartbeat)
