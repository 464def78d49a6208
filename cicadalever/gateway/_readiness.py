"""Readiness of this host to receive requests of callers."""

from collections.abc import Callable, Iterable

from cicadalever.routing import RoutingTable

# A host is cut off when too few shards have been reachable for this long. The load
# balancer removes a host after two failed checks, one second apart, so a short outage
# has no effect.
CUT_OFF_DELAY_S = 0.6


class Readiness:
    """State from which the readiness check of the load balancer is answered.

    A host is ready when it has a configuration, is not draining and is not cut off. It
    is cut off when it can serve none of its routes because their upstreams are
    unreachable; the load balancer then sends its callers to other hosts. A host that
    cannot reach some individual services stays ready, since other hosts could not reach
    them either.
    """

    def __init__(self):
        self.is_draining = False
        self._unreachable_since: float | None = None
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether the host cannot reach its upstreams, or its gatherers cannot."""
        return self._is_cut_off

    def is_ready(self, table: RoutingTable | None) -> bool:
        """Return whether the load balancer should send requests to this host."""
        return table is not None and not self.is_draining and not self._is_cut_off

    def update(
        self,
        table: RoutingTable | None,
        is_reachable: Callable[[str], bool],
        now: float,
        *,
        are_gatherers_cut_off: bool = False,
    ) -> None:
        """Update the state from the services that are reachable at ``now``.

        If all hosts that gather the queries of this one are cut off, it counts as cut
        off at once: it would notice a loss of its own upstreams only after sending
        reads itself.
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
    """Return whether some route can be served.

    If there are routes over shards, only these count: the required share of the shards
    of one of them must be reachable.
    """
    min_share_by_shards = {
        route.shards: route.min_shard_share for route in routes if route.shards
    }
    if min_share_by_shards:
        served = [
            sum(map(is_reachable, shards)) >= min_share * len(shards)
            for shards, min_share in min_share_by_shards.items()
        ]
        return any(served)
    services = {part.service for route in routes for part in route.services}
    return not services or any(map(is_reachable, services))
