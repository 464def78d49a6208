"""Hosts and replicas as the platform publishes them."""

from ._hosts import Host, HostList, HostState, ListedHost
from ._replica import Replica

__all__ = ["Host", "HostList", "HostState", "ListedHost", "Replica"]
