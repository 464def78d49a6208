"""Distribution of the requests of a route over weighted services."""

from collections.abc import Sequence

from ._route import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin, separately for each route.

    Any sequence of consecutive requests of a route is divided as close to the weights
    as whole requests allow. An overloaded service keeps its share: requests are never
    moved to another service. Credits are carried over in proportion when the weights
    change, so that neither their scale nor a service without weight matters.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}
        # Sum of the weights to which the credits of each route refer.
        self._total_weights: dict[str, float] = {}

    def next(self, route_name: str, services: Sequence[WeightedService]) -> str:
        """Return the service that gets the next request of a route."""
        if len(services) == 1:
            return services[0].service
        candidates = [each for each in services if each.weight > 0.0]
        if not candidates:
            return services[0].service
        total_weight = sum(each.weight for each in candidates)
        credits = self._scaled_credits(route_name, total_weight)
        best = candidates[0].service
        for candidate in candidates:
            credits[candidate.service] = (
                credits.get(candidate.service, 0.0) + candidate.weight
            )
            if credits[candidate.service] > credits[best]:
                best = candidate.service
        credits[best] -= total_weight
        return best

    def _scaled_credits(self, route_name: str, total_weight: float) -> dict[str, float]:
        credits = self._credits.setdefault(route_name, {})
        previous = self._total_weights.get(route_name, total_weight)
        if previous != total_weight:
            for service in credits:
                credits[service] *= total_weight / previous
        self._total_weights[route_name] = total_weight
        return credits
