"""Distribution of requests over weighted services."""

from collections.abc import Sequence

from ._route import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin, separately for each route.

    Any run of consecutive requests of a route is divided as close to the weights as
    whole requests allow. A service that is short of room keeps its share: requests are
    never moved to another service. Credits carry over when the weights change.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route_name: str, parts: Sequence[WeightedService]) -> str:
        """Return the service of the next request of a route."""
        if len(parts) == 1:
            return parts[0].service
        credits = self._credits.setdefault(route_name, {})
        total = 0.0
        best = parts[0].service
        for part in parts:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
            total += part.weight
            if credits[part.service] > credits.get(best, float("-inf")):
                best = part.service
        credits[best] -= total
        return best
