"""Hosts of the system and the platform's host list."""

from enum import StrEnum
from typing import NamedTuple


class Host(NamedTuple):
    """One daemon; ``address`` is the ``ip:port`` on which it listens for peers.

    ``roles`` holds ``entry`` if the host accepts queries from callers, and ``owner``
    if it may hold connections to replicas.
    """

    id: str
    address: str
    data_centre: str
    region: str
    roles: tuple[str, ...] = ("entry", "owner")


class HostState(StrEnum):
    """State of a host in the platform's list, which may be out of date."""

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
