"""Types that several schemas share."""

import re
import socket
from functools import lru_cache
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field

STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)
"""Pydantic configuration of the schemas that allow no unknown fields."""

MAX_INTEGER = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly."""

MAX_PORT = 65_535
CACHED_ADDRESSES = 8192
"""Enough for two documents of 3,200 replicas: each patch checks all addresses again."""

ADDRESS_PATTERN = re.compile(r"(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([1-9][0-9]{0,4})")


def _pack_ip(family: int, text: str) -> bytes | None:
    try:
        return socket.inet_pton(family, text)
    except OSError:
        return None


@lru_cache(maxsize=CACHED_ADDRESSES)
def address_key(address: str) -> tuple[bytes, int] | None:
    """Return the packed IP address and the port, or None if ``address`` is malformed.

    The key is the same for every spelling of one IPv6 address:

    >>> address_key("[::1]:80") == address_key("[0:0::1]:80")
    True
    """
    match = ADDRESS_PATTERN.fullmatch(address)
    if match is None or int(match[3]) > MAX_PORT:
        return None
    family = socket.AF_INET6 if match[1] else socket.AF_INET
    packed = _pack_ip(family, match[1] or match[2])
    return None if packed is None else (packed, int(match[3]))


def check_address(address: str) -> str:
    """Return ``address`` if it is ``IPv4:port`` or ``[IPv6]:port``.

    Raises ValueError otherwise, as pydantic expects. Host names are not allowed,
    because the processes communicate by IP address.
    """
    if address_key(address) is None:
        raise ValueError("is not IPv4:port or [IPv6]:port with a port in 1..65535")
    return address


def check_ip(address: str) -> str:
    """Return ``address`` if it is an IPv4 or IPv6 address; else raise ValueError."""
    for family in (socket.AF_INET, socket.AF_INET6):
        if "\0" not in address and _pack_ip(family, address) is not None:
            return address
    raise ValueError("is not an IPv4 or IPv6 number")


Name = Annotated[str, Field(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, AfterValidator(check_address)]
IpAddress = Annotated[str, AfterValidator(check_ip)]
DeadlineMs = Annotated[int, Field(ge=1, le=3_600_000, json_schema_extra={"unit": "ms"})]
