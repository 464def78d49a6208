"""The datagram by which hosts learn of each other."""

from typing import Annotated

import msgspec

from cicadalever.outcomes import Failure, FailureCode

Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """What a host says of itself.

    ``address`` is an IPv4 address and the port for queries (TCP) and heartbeats (UDP).
    ``link_mbps`` and ``cores`` tell what the host can do, ``version`` the configuration
    in force (0: none). ``is_cut_off`` tells that the host is out of reach of its
    upstreams. ``wants_reply`` asks the receiver for its own heartbeat, in which
    ``peers`` lists the more capable hosts of the sender's data centre, ``hosts`` counts
    all of its hosts and ``similar`` those that are as capable as the sender, itself
    included (0: not known yet).
    """

    host: str
    data_centre: str
    address: tuple[str, int]
    link_mbps: Positive
    cores: Positive
    version: int
    is_serving: bool
    is_cut_off: bool
    wants_reply: bool
    peers: list[tuple[str, int]] = []
    hosts: int = 0
    similar: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(data: bytes) -> Heartbeat | Failure:
    """Return a heartbeat, or why the datagram is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"heartbeat: {error}")
