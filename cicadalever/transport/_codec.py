"""Encoding of messages: one type byte, then the fields as a msgpack array."""

from typing import Any

import msgspec

from cicadalever.outcomes import Failure, FailureCode

from . import _messages

_encoder = msgspec.msgpack.Encoder()
_codes: dict[type, bytes] = {}
_decoders: dict[int, msgspec.msgpack.Decoder] = {}


def register_message(code: int, message_type: type) -> None:
    """Assign a type byte to a message type.

    Raises ValueError if either is registered already.
    """
    if code in _decoders or message_type in _codes:
        raise ValueError(f"type byte {code} or {message_type.__name__} is taken")
    _codes[message_type] = bytes((code,))
    _decoders[code] = msgspec.msgpack.Decoder(message_type)


def encode(message: Any) -> bytes:
    """Return the frame of a registered message."""
    return _codes[type(message)] + _encoder.encode(message)


def decode(frame: bytes) -> Any | Failure:
    """Return the message in ``frame``, or an ``INVALID`` failure if malformed."""
    if not frame:
        return Failure(FailureCode.INVALID, "empty frame")
    decoder = _decoders.get(frame[0])
    if decoder is None:
        return Failure(FailureCode.INVALID, f"unknown message type byte {frame[0]}")
    try:
        return decoder.decode(memoryview(frame)[1:])
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"type byte {frame[0]}: {error}")


for _code, _type in enumerate(
    (
        _messages.ReadBatch,
        _messages.ReadAnswers,
        _messages.CancelReads,
        _messages.RunOnce,
        _messages.OnceAnswer,
        _messages.ConfigurationRequest,
        _messages.ConfigurationReply,
        _messages.QuarantineNotice,
        _messages.ReplicaNotice,
        _messages.ReplicaRelease,
    ),
    start=1,
):
    register_message(_code, _type)
