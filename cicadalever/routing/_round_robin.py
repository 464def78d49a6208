"""Distribution of the requests of a route over weighted services."""

from collections.abc import Sequence

from ._route import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin, separately for each route.

    Any sequence of consecutive requests of a route is divided as close to the weights
    as whole requests allow. An overloaded service keeps its share: requests are never
    moved to another service. Credits carry over when the weights change.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route_name: str, services: Sequence[WeightedService]) -> str:
        """Return the service that gets the next request of a route."""
        if len(services) == 1:
            return services[0].service
        credits = self._credits.setdefault(route_name, {})
        total_weight = 0.0
        best = services[0].service
        for candidate in services:
            credits[candidate.service] = (
                credits.get(candidate.service, 0.0) + candidate.weight
            )
            total_weight += candidate.weight
            if credits[candidate.service] > credits.get(best, float("-inf")):
                best = candidate.service
        credits[best] -= total_weight
        return best
