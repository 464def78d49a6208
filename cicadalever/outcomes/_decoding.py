"""Decoding of bytes that others have written."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from ._failure import Failure, FailureCode

Decoded = TypeVar("Decoded")

# What decoders raise for bytes that they cannot read. Text that is not UTF-8 is a
# ValueError; JSON and MessagePack that are nested deeper than the stack allows are a
# RecursionError, also in fields that the decoder skips.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


def decode_or_fail(
    decode: Callable[[bytes], Decoded], data: bytes, subject: str
) -> Decoded | Failure:
    """Return the decoded data, or a failure that names its ``subject``.

    >>> decode_or_fail(msgspec.json.Decoder(int).decode, b"[]", "size").reason
    'size: Expected `int`, got `array`'
    >>> nested = b"[" * 20_000 + b"]" * 20_000
    >>> bool(decode_or_fail(msgspec.json.decode, nested, "note"))
    False
    """
    try:
        return decode(data)
    except DECODE_ERRORS as error:
        return Failure(FailureCode.INVALID, f"{subject}: {error}")
