"""Whether this host should get callers."""

from collections.abc import Callable, Iterable

from cicadalever.routing import RoutingTable

# Time for which too few shards must be in reach before the host says so. The balancer
# acts on two misses, a second apart, so that a short loss changes nothing.
CUT_OFF_DELAY_S = 0.6


class Readiness:
    """Ready when there is a configuration, and the host reaches what it routes to.

    A host that is cut off from the upstreams of all routes sends its callers to other
    hosts. It stays ready when single services are out of reach, since other hosts
    would not reach them either.
    """

    def __init__(self):
        self.is_draining = False
        self._unreachable_since: float | None = None
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether the host has been out of reach of its upstreams for a while."""
        return self._is_cut_off

    def is_ready(self, table: RoutingTable | None) -> bool:
        """Return what the balancer is told."""
        return table is not None and not self.is_draining and not self._is_cut_off

    def update(
        self,
        table: RoutingTable | None,
        is_reachable: Callable[[str], bool],
        now: float,
        *,
        are_gatherers_cut_off: bool = False,
    ) -> None:
        """Take which services are reachable at ``now``.

        A host whose queries are gathered by others shares their fate: it notices
        itself only once it has tried.
        """
        if are_gatherers_cut_off:
            self._is_cut_off = True
            return
        if table is None or _can_serve_any(table.routes, is_reachable):
            self._unreachable_since = None
            self._is_cut_off = False
            return
        if self._unreachable_since is None:
            self._unreachable_since = now
        if now - self._unreachable_since >= CUT_OFF_DELAY_S:
            self._is_cut_off = True


def _can_serve_any(routes: Iterable, is_reachable: Callable[[str], bool]) -> bool:
    """Tell whether most routes over many shards, or any other route, can be served."""
    lists = {route.shards: route.min_shard_share for route in routes if route.shards}
    if lists:
        served = [
            sum(map(is_reachable, shards)) >= min_share * len(shards)
            for shards, min_share in lists.items()
        ]
        return any(served)
    services = {part.service for route in routes for part in route.services}
    return not services or any(map(is_reachable, services))
