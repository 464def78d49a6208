"""Routes of a configuration version and the selection of a route for a request."""

from ._round_robin import WeightedRoundRobin
from ._route import Limits, Route, ServiceOptions, WeightedService
from ._table import RoutingTable

__all__ = [
    "Limits",
    "Route",
    "RoutingTable",
    "ServiceOptions",
    "WeightedService",
    "WeightedRoundRobin",
]
