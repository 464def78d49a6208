"""Tests of the checks of the soak that compare what was seen with the bounds."""

import unittest

from tests.soak_bounds import (
    Arrival,
    Bounds,
    BoundsCheck,
    Departure,
    Disruptions,
    Request,
    Version,
)

BOUNDS = Bounds(contact_s=4.0, apply_s=1.0, drain_s=2.0)
VERSIONS = [
    Version(1, 0.0, {"kept": "a", "moved": "a", "dropped": "a"}),
    Version(3, 10.0, {"kept": "a", "moved": "b", "added": "a"}),
]


class TestBoundsCheck(unittest.TestCase):
    """Violated bounds, from the times of requests, changes and disruptions."""

    def setUp(self):
        self.disruptions = Disruptions()

    def check(self, *handled, departures=(), steady=()):
        """Return what is wrong with requests: route, service, times and process.

        A service of None stands for the answer 404, and an empty one for 503.
        """
        requests, arrivals = [], []
        for number, (route, service, sent_at, *process) in enumerate(handled):
            status = {None: 404, "": 503}.get(service, 200)
            requests.append(
                Request(
                    f"r{number}",
                    route,
                    0,
                    process[0] if process else 0,
                    sent_at,
                    sent_at + 0.05,
                    status,
                )
            )
            if service:
                at = sent_at + 0.02
                arrivals.append(Arrival(f"r{number}", f"i-{service}", service, at))
        check = BoundsCheck(BOUNDS, VERSIONS, departures, self.disruptions)
        found = check.find_violations(requests, arrivals, steady)
        return [violation.text.partition(":")[0] for violation in found]

    def test_older_version(self):
        """Guards against hosts that handle requests by a version that was replaced."""
        for route, old, new in (
            ("moved", "a", "b"),
            ("added", None, "a"),
            ("dropped", "a", None),
        ):
            with self.subTest(route=route):
                self.assertEqual(self.check((route, old, 10.9)), [])
                self.assertEqual(self.check((route, new, 10.1)), [])
                self.assertEqual(self.check((route, old, 11.2)), ["CONFIG"])

    def test_hosts_out_of_touch(self):
        """Guards against accusing a host that was disrupted a moment before."""
        for host, is_excused in ((0, True), (Disruptions.STORE, True), (1, False)):
            with self.subTest(host=host):
                self.disruptions = Disruptions()
                self.disruptions.add(host, 9.0, 12.0)
                found = self.check(("moved", "a", 15.9))
                self.assertEqual(found, [] if is_excused else ["CONFIG"])
                self.assertEqual(self.check(("moved", "a", 16.2)), ["CONFIG"])

    def test_return_to_older_version(self):
        """Guards against a process that goes back to a version before the present."""
        self.disruptions.add(0, 9.0, 12.0)
        seen = ("moved", "b", 10.2)
        self.assertEqual(self.check(seen, ("moved", "a", 10.4)), [])
        self.assertEqual(self.check(seen, ("moved", "a", 10.7)), ["CONFIG"])
        self.assertEqual(self.check(seen, ("added", None, 10.7)), ["CONFIG"])
        self.assertEqual(self.check(seen, ("moved", "a", 10.7, 1)), [])

    def test_service_of_no_version(self):
        """Guards against requests at a service that no version has named."""
        self.assertEqual(self.check(("moved", "c", 9.0)), ["ROUTE"])
        self.assertEqual(self.check(("moved", "b", 9.0)), ["ROUTE"])

    def test_replica_that_left(self):
        """Guards against requests at replicas that the store has named as leaving."""
        left = [Departure("i-a", "removed", 20.0)]
        self.assertEqual(self.check(("kept", "a", 21.9), departures=left), [])
        self.assertEqual(self.check(("kept", "a", 22.2), departures=left), ["DRAIN"])
        self.disruptions.add(0, 20.5, 21.0)
        self.assertEqual(self.check(("kept", "a", 24.9), departures=left), [])
        self.assertEqual(self.check(("kept", "a", 25.2), departures=left), ["DRAIN"])

    def test_replica_that_left_during_an_outage(self):
        """Guards against counting what an unstable store has acknowledged."""
        left = [Departure("i-a", "removed", 20.0)]
        self.disruptions.add(Disruptions.STORE, 15.0, 16.5)
        self.assertEqual(self.check(("kept", "a", 25.2), departures=left), [])

    def test_service_that_is_lost(self):
        """Guards against hosts that forget replicas while the store is away."""
        failed = [("kept", "", 20.0 + 0.2 * number) for number in range(5)]
        self.disruptions.add(Disruptions.STORE, 19.0, 20.5)
        self.assertEqual(self.check(*failed, steady=["kept"]), ["LOST"])
        self.assertEqual(self.check(*failed[:2], steady=["kept"]), [])
        self.disruptions.add(0, 15.5, 15.5)
        self.assertEqual(self.check(*failed, steady=["kept"]), [])
