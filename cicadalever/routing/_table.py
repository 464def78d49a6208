"""Lookup of the route of a request by host and path prefix."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from ._route import Limits, Route, ServiceOptions


class RoutingTable:
    """Routes, services and limits of one configuration version; immutable.

    A request gets the route of its host with the longest matching path prefix:

    >>> search = Route("r", "a.example", "/s/", True, 1, 1, 1, 0, ())
    >>> table = RoutingTable(7, [search], {}, Limits())
    >>> table.find("A.example:80", "/s/query?q=1").name
    'r'
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServiceOptions],
        limits: Limits,
    ):
        self.version = version
        self.services = MappingProxyType(dict(services))
        self.limits = limits
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = (
                route
            )
        self._shard_names = frozenset(
            shard for route in self.routes for shard in route.shards
        )
        self._service_names = self._shard_names | {
            weighted.service for route in self.routes for weighted in route.services
        }

    @property
    def shard_names(self) -> frozenset[str]:
        """Names of the services that are shards of some route."""
        return self._shard_names

    @property
    def routes(self) -> list[Route]:
        """All routes, grouped by host, in the order of the configuration."""
        return [
            route
            for by_prefix in self._routes_by_host.values()
            for route in by_prefix.values()
        ]

    @property
    def service_names(self) -> frozenset[str]:
        """Names of the services and shards of all routes."""
        return self._service_names

    def find(self, host: str, target: str) -> Route | None:
        """Return the route for a ``Host`` header and a request target, or None.

        The port and the case of the host and the query string of the target are
        ignored. Only prefixes that end with a slash are found.
        """
        by_prefix = self._routes_by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        slash = path.rfind("/")
        while slash >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None
