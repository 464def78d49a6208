"""Tests of the number of replicas that may run a request with all its hosts."""

import unittest
from types import SimpleNamespace

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from cicadalever.gateway._delegated_call import DelegatedCall
from cicadalever.gateway._outbound import PEER_SHARD_ATTEMPTS
from cicadalever.gateway._service import has_attempts
from cicadalever.gather import decode_attempts, encode_attempts
from cicadalever.routing import Limits, Route, RoutingTable, WeightedService
from cicadalever.wire import EventLoop
from tests.platform_standins import ReplicaStandIn, wait_for
from tests.test_gateway import gather_route
from tests.test_peers import TwoGatewaysTestCase

SLOW_SHARDS = TwoGatewaysTestCase.SHARDS[:6]
# Longer than the time-out of the route.
SLOW_S = 2.0


class TestAttemptsHeader(unittest.TestCase):
    """Attempts of all shards in the form in which hosts send them."""

    @given(st.lists(st.integers(0, 16), min_size=1, max_size=200))
    def test_round_trip(self, attempts):
        """Guards against a shard that counts as read less often than it was."""
        value = encode_attempts(attempts)
        self.assertEqual(decode_attempts(value, len(attempts)), attempts)

    @given(st.binary(max_size=200), st.integers(1, 100))
    def test_arbitrary_bytes_are_decoded_or_none(self, value, count):
        """Guards against an exception while the report of another host is read."""
        attempts = decode_attempts(value, count)
        if attempts is not None:
            self.assertEqual(len(attempts), count)


class TestDelegatedAttempts(unittest.TestCase):
    """What a host must assume of a request that another one did not finish."""

    def call(self, attempts=(), shards="abcd", reports=()):
        route = gather_route(shards)
        table = RoutingTable(1, [route], {}, Limits())
        runner = SimpleNamespace(loop=EventLoop())
        call = DelegatedCall(
            None, route, table, runner, None, None,
            link=None, fall_back=None, attempts=attempts,
        )  # fmt: skip
        for report in reports:
            call._record_attempts(report)
            call._is_acknowledged = True
        return call

    def report(self, attempts):
        return [(PEER_SHARD_ATTEMPTS, encode_attempts(attempts))]

    def test_host_that_has_not_acknowledged_may_have_sent_one_read(self):
        """Guards against reads that are not counted when a host falls silent."""
        self.assertEqual(self.call().attempts, [1, 1, 1, 1])
        self.assertEqual(self.call([1, 1, 1, 0]).attempts, [2, 2, 2, 1])

    def test_extra_reads_are_those_of_the_last_report(self):
        """Guards against a third replica for a shard that was hedged elsewhere."""
        reports = [self.report([0, 0, 0, 0]), self.report([1, 2, 1, 1])]
        self.assertEqual(self.call(reports=reports[:1]).attempts, [1, 1, 1, 1])
        self.assertEqual(self.call(reports=reports).attempts, [1, 2, 1, 1])

    def test_host_that_does_not_report_may_have_used_all_attempts(self):
        """Guards against extra reads of an older build that are not counted."""
        self.assertEqual(self.call(reports=[[]]).attempts, [2, 2, 2, 2])
        broken = [(PEER_SHARD_ATTEMPTS, b"zz")]
        self.assertEqual(self.call(reports=[broken]).attempts, [2, 2, 2, 2])

    def test_request_without_shards_is_one_shard(self):
        """Guards against a read that a second host repeats after a hedge."""
        call = self.call(shards="", reports=[self.report([2])])
        self.assertEqual(call.attempts, [2])
        one = Route("r", "h", "/", True, 1, 1, 2, 0, (WeightedService("s", 1.0),))
        self.assertFalse(has_attempts(one, call.attempts))
        self.assertTrue(has_attempts(one, [1]))
        self.assertFalse(has_attempts(one._replace(idempotent=False), [1]))


class TestLostGatherer(TwoGatewaysTestCase):
    """Queries whose gatherer is lost after it has hedged some shards."""

    def setUp(self):
        super().setUp()
        self.slow = []
        for service in SLOW_SHARDS:
            for copy in "xyz":
                replica = ReplicaStandIn(service, f"i-{service}{copy}")
                replica.delay_s = SLOW_S
                self.addCleanup(replica.stop)
                self.slow.append(replica)
                self.store.put(f"servers/{replica.id}", replica.entry())
            # The replica that ``TwoGatewaysTestCase`` has started.
            self.store.delete(f"servers/i-{service}")
        for gateway in (self.large, self.small):
            wait_for(lambda g=gateway: self.knows_replicas(g), "the slow replicas")

    def knows_replicas(self, gateway):
        changed = gateway.events("replica_changed")
        removed = {e["replica"] for e in changed if e["reason"] == "entry removed"}
        added = {e["replica"] for e in changed if not e["known"]}
        return {replica.id for replica in self.slow} <= added and {
            f"i-{service}" for service in SLOW_SHARDS
        } <= removed

    def runs(self, request_id, service):
        return sum(
            request_id in replica.executed_ids
            for replica in self.slow
            if replica.service == service
        )

    def check_lost(self, request_id, lose):
        """Lose the gatherer once all slow shards were hedged; check the runs."""
        asked = eventlet.spawn(self.small.ask, "/search/q", request_id=request_id)
        wait_for(
            lambda: all(self.runs(request_id, each) == 2 for each in SLOW_SHARDS),
            "the hedges",
        )
        lose()
        status, headers, _ = asked.wait()
        self.assertEqual((status, headers["x-missing-parts"]), (200, "6"))
        failed = self.small.events("gatherer_failed")
        self.assertEqual([each["extra_attempts"] for each in failed], [6])
        runs = {each: self.runs(request_id, each) for each in SLOW_SHARDS}
        self.assertEqual(runs, dict.fromkeys(SLOW_SHARDS, 2))

    def test_no_shard_runs_on_a_third_replica(self):
        """Guards against hedges of a killed host that nobody counts (BUDGET)."""
        self.check_lost("lost", self.large.process.kill)
