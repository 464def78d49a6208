"""Tests of rate limits that upstream replicas name."""

import time

import eventlet

from tests.platform_standins import wait_for
from tests.test_gateway_process import GatewayTestCase

WINDOW_S = 4.0


def count_allowed(limit_per_s):
    """Return how many requests a replica accepts in any window of ``WINDOW_S``."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def count_in_worst_window(arrivals):
    """Return the greatest number of arrivals in any window of ``WINDOW_S``."""
    return max(
        (
            sum(start <= each < start + WINDOW_S for each in arrivals)
            for start in arrivals
        ),
        default=0,
    )


class TestLimitedShards(GatewayTestCase):
    """Queries some of whose shards may not be read."""

    def test_shard_that_answers_after_the_query_has_failed(self):
        """Guards against a query that is refused as one that crashes replicas."""
        for service in ("s0", "s1"):
            for replica in self.replicas_of(service):
                replica.rate_limit = 0.01
        for number in range(12):
            self.gateway.ask("/search/saves-repeats", request_id=f"r{number}")
        self.set_behaviour("s2", "reset")
        for replica in self.replicas_of("s3"):
            replica.delay_s = 0.1
        for number in range(3):
            self.gateway.ask("/search/x", request_id=f"f{number}")
        eventlet.sleep(0.4)
        refused = self.gateway.events("request_refused")
        self.set_behaviour("s2", "answer")
        self.assertEqual(self.gateway.ask("/search/x", request_id="whole")[0], 200)
        self.assertEqual([e["reason"] for e in refused], [])


class TestLimitedReplicas(GatewayTestCase):
    """Reads of a gateway process from replicas that name a limit."""

    def limit(self, service, limit_per_s, copies="ab"):
        limited = [self.replicas[f"i-{service}{copy}"] for copy in copies]
        for replica in limited:
            replica.rate_limit = limit_per_s
        return limited

    def ask_for(self, seconds, path, method="GET"):
        """Send requests one after another; return their statuses and latencies."""
        ends_at = time.monotonic() + seconds
        answers = []
        while (began_at := time.monotonic()) < ends_at:
            request_id = f"q{len(answers)}x{method}"
            status, headers, _ = self.gateway.ask(
                path, request_id=request_id, method=method
            )
            answers.append((request_id, status, time.monotonic() - began_at, headers))
            eventlet.sleep(0.02)
        return answers

    def arrivals_after_naming(self, replica):
        """Return the arrivals later than half a second after the limit was known."""
        wait_for(lambda: self.gateway.events("limit_named"), "the named limit")
        return [each for each in replica.arrivals if each > replica.arrivals[0] + 0.5]

    def test_other_replica_of_a_shard_serves_first(self):
        """Guards against reads beyond the named limit while another replica is free."""
        (limited,) = self.limit("s0", 0.5, "a")
        answers = self.ask_for(5.0, "/search/x")
        self.assertGreater(len(answers), 60)
        for _, status, _, headers in answers:
            self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
        arrivals = self.arrivals_after_naming(limited)
        self.assertLessEqual(count_in_worst_window(arrivals), count_allowed(0.5))

    def test_truncated_answers_name_the_limit(self):
        """Guards against a limit that is overlooked because the body broke off."""
        (limited,) = self.limit("s0", 0.5, "a")
        limited.behaviour = "cut"
        self.ask_for(4.5, "/search/x")
        arrivals = self.arrivals_after_naming(limited)
        self.assertLessEqual(count_in_worst_window(arrivals), count_allowed(0.5))

    def test_late_answer_of_a_replica_that_left(self):
        """Guards against limits that are kept for replicas which are gone."""
        (limited,) = self.limit("one", 0.5, "a")
        limited.delay_s = 0.8
        answers = [
            eventlet.spawn(
                self.gateway.ask, "/order/x", request_id=f"g{n}", method="POST"
            )
            for n in range(6)
        ]
        wait_for(lambda: limited.executed_ids, "a run")
        self.store.delete(f"servers/{limited.id}")

        def has_left():
            events = self.gateway.events("replica_changed")
            return any(e["reason"] == "entry removed" for e in events)

        wait_for(has_left, "the removal")
        for answer in answers:
            self.assertEqual(answer.wait()[0], 200)
        self.assertEqual(self.gateway.events("limit_named"), [])

    def test_orders_beyond_the_limit_are_refused_at_once(self):
        """Guards against orders that wait for, or run at, replicas beyond the limit."""
        limited = self.limit("one", 0.5)
        answers = self.ask_for(3.0, "/order/x", "POST")
        refused = [answer for answer in answers if answer[1] == 503]
        self.assertGreater(len(refused), len(answers) // 2)
        for request_id, _, latency_s, headers in refused:
            self.assertEqual(self.count_runs("one", request_id), 0)
            self.assertLess(latency_s, 1.0)
            self.assertIn("retry-after", headers)
        for replica in limited:
            arrivals = self.arrivals_after_naming(replica)
            self.assertLessEqual(count_in_worst_window(arrivals), count_allowed(0.5))

    def test_query_is_refused_at_once_if_too_few_shards_can_be_read(self):
        """Guards against reading shards for a query that cannot be answered."""
        for service in ("s0", "s1", "s2"):
            self.limit(service, 0.05)
        answers = self.ask_for(2.0, "/search/x")
        refused = [answer for answer in answers if answer[1] == 503]
        self.assertGreater(len(refused), len(answers) // 2)
        for request_id, _, latency_s, _ in refused:
            self.assertEqual(self.count_runs("s3", request_id), 0)
            self.assertLess(latency_s, 1.0)
