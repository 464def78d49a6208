"""Heartbeat datagrams between hosts."""

from typing import Annotated

import msgspec

from cicadalever.addresses import is_host_address
from cicadalever.outcomes import Failure, FailureCode, decode_or_fail

# Numbers in messages are far below these bounds, which keep what is computed from them
# finite.
MAX_CAPACITY = 1e12
MAX_COUNT = 10**6
MAX_VERSION = 2**53

PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_CAPACITY)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """State of a host that it sends to other hosts.

    ``host`` is the id of the host, and ``address`` its IPv4 address with the port for
    queries (TCP) and heartbeats (UDP). ``link_mbps`` and ``cores`` are its capacity,
    and ``version`` is the version of the configuration in force (0: none).
    ``is_serving`` says that the host accepts queries, ``is_cut_off`` that it cannot
    reach its upstreams.

    With ``wants_reply`` the host asks the receiver for a heartbeat. In the reply,
    ``peers`` lists the hosts that may gather queries for the asking host, ``hosts``
    counts the hosts of its data centre, and ``similar`` those with about its capacity,
    itself included (0: not known yet). ``fellows`` lists the hosts of all data centres
    that gather queries, if the asking host is one of them. ``refuges`` lists some that
    can take over requests if the asking host loses its upstreams.
    """

    host: str
    data_centre: str
    address: tuple[str, int]
    link_mbps: PositiveFloat
    cores: PositiveFloat
    version: Version
    is_serving: bool
    is_cut_off: bool
    wants_reply: bool
    peers: list[tuple[str, int]] = []
    hosts: Count = 0
    similar: Count = 0
    fellows: list[tuple[str, int]] = []
    refuges: list[tuple[str, int]] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as MessagePack."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(data: bytes) -> Heartbeat | Failure:
    """Return the heartbeat, or a failure if the datagram is invalid.

    Addresses that are none are left out of the lists: a host sends to each of them.
    """
    heartbeat = decode_or_fail(_decoder.decode, data, "invalid heartbeat")
    return heartbeat if isinstance(heartbeat, Failure) else check_heartbeat(heartbeat)


def check_heartbeat(heartbeat: Heartbeat) -> Heartbeat | Failure:
    """Return a heartbeat without invalid addresses, or a failure if its own is one."""
    if not is_host_address(heartbeat.address):
        reason = f"invalid heartbeat: {ascii(heartbeat.address)} is no host"
        return Failure(FailureCode.INVALID, reason)
    lists = {
        name: [each for each in getattr(heartbeat, name) if is_host_address(each)]
        for name in ("peers", "fellows", "refuges")
    }
    return msgspec.structs.replace(heartbeat, **lists)
