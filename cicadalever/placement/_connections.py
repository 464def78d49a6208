"""How many connections a host may open to one replica."""

from typing import NamedTuple

# Share of a replica's connection limit that the hosts use together; the rest covers
# connections that the replica has not closed yet and hosts that are not counted yet.
USED_SHARE = 0.8
# Share of the limit that one host uses before it knows how many hosts there are.
UNKNOWN_SHARE = 0.12


class HostCounts(NamedTuple):
    """Number of all ``hosts`` and of those that gather queries (``gatherers``).

    Both are estimates for all data centres from the counts of one.
    """

    hosts: int
    gatherers: int


def connections_per_host(
    limit: int, counts: HostCounts | None, *, is_gathered: bool, is_gatherer: bool
) -> int:
    """Return how many connections this host may open to a replica.

    ``limit`` is the connection limit of the replica, for all hosts together. The
    replicas of a service that is read for queries over shards (``is_gathered``) are
    divided between the gatherers; other hosts read them only when these fail, and keep
    one connection. All hosts share the replicas of other services equally. ``counts``
    is None until they are known. This answers the load of many hosts on replicas that
    take few connections: what exceeds the limit is reset.

    >>> connections_per_host(
    ...     54, HostCounts(63, 10), is_gathered=True, is_gatherer=True
    ... )
    4
    >>> connections_per_host(
    ...     1200, HostCounts(195, 18), is_gathered=False, is_gatherer=False
    ... )
    4
    """
    if counts is None:
        return max(1, int(UNKNOWN_SHARE * limit))
    if is_gathered and not is_gatherer:
        return 1
    readers = counts.gatherers if is_gathered else counts.hosts
    return max(1, int(USED_SHARE * limit / max(1, readers)))
