"""Readiness of this host to receive requests of callers."""

from collections.abc import Callable, Iterable

from cicadalever.routing import RoutingTable

# A host lacks upstreams when too few shards have been reachable for this long. The load
# balancer removes a host after two failed checks, one second apart, so a short outage
# has no effect.
CUT_OFF_DELAY_S = 0.6


class Readiness:
    """State from which the readiness check of the load balancer is answered.

    A host is ready when it has a configuration, is not draining and is not cut off. It
    is cut off when it has lost its links to the upstreams (see ``ContactMonitor``), or
    can serve none of its routes although other hosts may: the load balancer then sends
    its callers to these. A host that lacks upstreams which other hosts cannot reach
    either stays ready.
    """

    def __init__(self):
        self.is_draining = False
        self._unreachable_since: float | None = None
        self._lacks_upstreams = False
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this host cannot reach upstreams that others may reach."""
        return self._is_cut_off

    @property
    def lacks_upstreams(self) -> bool:
        """Whether too few shards are reachable for all routes over shards."""
        return self._lacks_upstreams

    def is_ready(self, table: RoutingTable | None) -> bool:
        """Return whether the load balancer should send requests to this host."""
        return table is not None and not self.is_draining and not self._is_cut_off

    def update(
        self,
        table: RoutingTable | None,
        is_reachable: Callable[[str], bool],
        now: float,
        *,
        has_lost_links: bool = False,
        is_shared_outage: bool = False,
    ) -> None:
        """Update the state from the services that are reachable at ``now``.

        ``has_lost_links`` is the verdict of ``ContactMonitor``. With
        ``is_shared_outage``, other hosts have been asked and do not reach the missing
        upstreams either.
        """
        if table is None or _can_serve_any(table.routes, is_reachable):
            self._unreachable_since = None
            self._lacks_upstreams = False
        else:
            if self._unreachable_since is None:
                self._unreachable_since = now
            if now - self._unreachable_since >= CUT_OFF_DELAY_S:
                self._lacks_upstreams = True
        lacks_alone = self._lacks_upstreams and not is_shared_outage
        self._is_cut_off = has_lost_links or lacks_alone


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
