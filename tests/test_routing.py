"""Tests of the lookup of routes and of the weighted round robin."""

import unittest
from collections import Counter

from cicadalever.routing import (
    Limits,
    Route,
    RoutingTable,
    WeightedRoundRobin,
    WeightedService,
)


def route(name, host, prefix):
    """Return a route of which only name, host and prefix matter."""
    return Route(name, host, prefix, True, 1.0, 0.1, 2, 0, ())


class TestRoutingTable(unittest.TestCase):
    """Lookup of routes by host and longest prefix."""

    def setUp(self):
        routes = [
            route("all", "a.example", "/"),
            route("search", "a.example", "/s/"),
            route("deep", "a.example", "/s/deep/"),
            route("other", "b.example", "/s/"),
        ]
        self.table = RoutingTable(3, routes, {}, Limits())

    def find(self, host, target):
        found = self.table.find(host, target)
        return found.name if found else None

    def test_longest_prefix_wins(self):
        """Guards against choosing a route with a shorter prefix."""
        self.assertEqual(self.find("a.example", "/s/deep/x"), "deep")
        self.assertEqual(self.find("a.example", "/s/deeper/x"), "search")
        self.assertEqual(self.find("a.example", "/s/deep"), "search")
        self.assertEqual(self.find("a.example", "/x"), "all")

    def test_prefix_ends_at_a_slash(self):
        """Guards against a prefix that matches a part of a path segment."""
        self.assertIsNone(self.find("b.example", "/sx/1"))
        self.assertIsNone(self.find("b.example", "/s"))
        self.assertEqual(self.find("b.example", "/s/"), "other")

    def test_host_without_port_and_case(self):
        """Guards against a 404 for a host with a port or in upper case."""
        self.assertEqual(self.find("B.Example:8080", "/s/1"), "other")
        self.assertIsNone(self.find("c.example", "/s/1"))

    def test_query_is_not_part_of_the_path(self):
        """Guards against choosing the route by slashes in the query string."""
        self.assertEqual(self.find("a.example", "/s?next=/s/deep/"), "all")


class TestWeightedRoundRobin(unittest.TestCase):
    """Division of requests by weight."""

    def test_shares_follow_weights_in_short_sequences(self):
        """Guards against shares that only hold over many requests."""
        round_robin = WeightedRoundRobin()
        services = [WeightedService("a", 70), WeightedService("b", 30)]
        for _ in range(20):
            counts = Counter(round_robin.next("r", services) for _ in range(10))
            self.assertEqual(counts, {"a": 7, "b": 3})

    def test_service_without_weight_gets_nothing(self):
        """Guards against requests to a service whose weight was set to 0."""
        round_robin = WeightedRoundRobin()
        services = [WeightedService("a", 0), WeightedService("b", 5)]
        self.assertEqual({round_robin.next("r", services) for _ in range(50)}, {"b"})

    def test_shares_hold_at_once_when_the_scale_of_weights_changes(self):
        """Guards against one service that gets all requests after a new version."""
        round_robin = WeightedRoundRobin()
        for _ in range(3):
            round_robin.next("r", [WeightedService("a", 7000), WeightedService("b", 3)])
        services = [WeightedService("a", 0.5), WeightedService("b", 0.5)]
        counts = Counter(round_robin.next("r", services) for _ in range(20))
        self.assertEqual(counts, {"a": 10, "b": 10})

    def test_service_whose_weight_becomes_zero_gets_nothing(self):
        """Guards against the credit of an older version."""
        round_robin = WeightedRoundRobin()
        for _ in range(2):
            round_robin.next("r", [WeightedService("a", 70), WeightedService("b", 30)])
        services = [WeightedService("a", 0), WeightedService("b", 5)]
        self.assertEqual({round_robin.next("r", services) for _ in range(50)}, {"b"})
