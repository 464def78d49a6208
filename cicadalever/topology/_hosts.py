"""Hosts of the system and the platform's list of them."""

from enum import StrEnum
from typing import NamedTuple


class Host(NamedTuple):
    """One daemon; ``address`` is the ``ip:port`` on which it hears its peers."""

    id: str
    address: str
    data_centre: str
    region: str
    roles: tuple[str, ...] = ("entry", "owner")


class HostState(StrEnum):
    """State of a host in the platform's list, which lags behind the truth."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(NamedTuple):
    """One entry of the platform's host list."""

    host: Host
    state: HostState = HostState.LIVE


class HostList(NamedTuple):
    """The platform's host list; ``generation`` grows with every change."""

    generation: int
    hosts: tuple[ListedHost, ...]
