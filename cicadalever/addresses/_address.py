"""Which texts and numbers are the address of a single host."""

from functools import lru_cache
from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65535
# Addresses whose result is remembered: hosts name the same ones again and again.
REMEMBERED_ADDRESSES = 4096


@lru_cache(maxsize=REMEMBERED_ADDRESSES)
def is_host(host: str) -> bool:
    """Return whether ``host`` is the IPv4 address of a single host.

    Names are not resolved, because that would block the event loop.

    >>> [is_host(each) for each in ("10.0.0.1", "0.0.0.0", "224.0.0.1", "a.example")]
    [True, False, False, False]
    """
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    # An unspecified address stands for this host itself.
    is_group = address.is_multicast or address.is_reserved
    return not (is_group or address.is_unspecified)


def is_host_address(address: tuple[str, int]) -> bool:
    """Return whether ``address`` is that of a single host, with a port.

    >>> is_host_address(("10.0.0.1", 80)), is_host_address(("10.0.0.1", 70_000))
    (True, False)
    """
    host, port = address
    return 0 < port <= MAX_PORT and is_host(host)
