"""Tests of replicas that say they are leaving, or ask for a pause."""

import time
import unittest

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from cicadalever.budgets import MemoryBudget
from cicadalever.notices import (
    MAX_PAUSE_S,
    Incarnation,
    ReplicaNotices,
    decode_leaving,
    encode_leaving,
    parse_pause,
)
from cicadalever.outcomes import Failure
from cicadalever.wire._answer_parser import AnswerParser
from tests.platform_standins import ReplicaStandIn, wait_for
from tests.test_discovery import entry
from tests.test_gateway_process import SHARDS, GatewayTestCase
from tests.test_peers import TwoGatewaysTestCase
from tests.test_wire import NAMES

# Reasons with which an entry that the store has removed is dropped.
REMOVALS = ("entry removed", "not listed", "still missing after the grace period")
# Time after an answer with a pause from which the pause is in force.
REACTION_S = 0.5
MAX_LATE_REQUESTS = 2


class TestPauseHeader(unittest.TestCase):
    """Values of Retry-After."""

    @given(st.binary(max_size=1000))
    def test_arbitrary_bytes_are_a_bounded_pause_or_none(self, value):
        """Guards against an exception, or an endless pause, because of a header."""
        pause_s = parse_pause(value)
        if not isinstance(pause_s, Failure):
            self.assertTrue(0.0 <= pause_s <= MAX_PAUSE_S)

    def test_odd_values(self):
        """Guards against values that a replica can hardly mean."""
        none = b"", b"-1", b"nan", b"inf", b"1e3", b"Sun, 06 Nov 1994 08:49:37 GMT"
        for value in none:
            self.assertIsInstance(parse_pause(value), Failure, value)
        for value, pause_s in (
            (b"2", 2.0),
            (b" 0.25 ", 0.25),
            (b"1, 3", 3.0),
            (b"9" * 400, MAX_PAUSE_S),
            (b"1." + b"0" * 400, 1.0),
        ):
            self.assertEqual(parse_pause(value), pause_s)


class TestLeavingHeader(unittest.TestCase):
    """Leaving replicas in the form in which hosts name them to each other."""

    @given(
        st.lists(
            st.builds(
                Incarnation,
                st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1),
                st.integers(1, 2**53 - 1),
            ),
            max_size=60,
        )
    )
    def test_round_trip(self, replicas):
        """Guards against a replica that is held off in place of another one."""
        self.assertEqual(decode_leaving(encode_leaving(replicas)), replicas)

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes(self, value):
        """Guards against an exception because of what a peer names."""
        for replica in decode_leaving(value):
            self.assertIsInstance(replica, Incarnation)


class TestReplicaNotices(unittest.TestCase):
    """What is remembered of replicas, without a network."""

    def setUp(self):
        self.notices = ReplicaNotices(drain_s=3.0)

    def test_leaving_concerns_one_process(self):
        """Guards against holding off the next process under the same id."""
        first, second = entry("i-1", started_at_ms=1), entry("i-1", started_at_ms=2)
        self.assertTrue(self.notices.record_leaving(Incarnation("i-1", 1), 10.0, 1))
        # Later answers do not prolong the time in which it may still be read.
        self.assertFalse(self.notices.record_leaving(Incarnation("i-1", 1), 12.0, 1))
        self.assertTrue(self.notices.may_read(first, 12.9))
        self.assertFalse(self.notices.may_read(first, 13.0))
        self.assertTrue(self.notices.may_read(second, 13.0))
        self.assertFalse(self.notices.is_leaving(second))

    def test_answer_of_a_process_that_is_listed_later(self):
        """Guards against a stale entry that takes the blame for the next process."""
        known, answering, following = (
            entry("i-1", started_at_ms=start) for start in (1_000, 5_000, 9_000)
        )
        self.notices.record_entry("i-1", known)
        # The process of 5 s answers, while the list still names that of 1 s.
        self.notices.record_leaving(Incarnation("i-1", 1_000), 10.0, unix_ms=7_000)
        self.notices.record_entry("i-1", answering)
        self.assertTrue(self.notices.is_leaving(answering))
        self.assertFalse(self.notices.may_read(answering, 13.0))
        self.notices.record_entry("i-1", following)
        self.assertFalse(self.notices.is_leaving(following))
        self.assertTrue(self.notices.may_read(following, 13.0))

    def test_only_listed_replicas_count(self):
        """Guards against checks of all reads because of replicas that are gone."""
        replica = entry("i-1", started_at_ms=1)
        self.notices.record_leaving(Incarnation("i-1", 1), 10.0, 1)
        self.notices.record_entry("i-1", replica)
        self.assertEqual((bool(self.notices), self.notices.count_leaving()), (True, 1))
        self.notices.record_entry("i-1", None)
        self.assertFalse(self.notices)
        # A stale copy may list the same process again.
        self.notices.record_entry("i-1", replica)
        self.assertTrue(self.notices)
        self.assertTrue(self.notices.is_leaving(replica))

    def test_longest_pause_counts(self):
        """Guards against an answer that ends a pause before its time."""
        replica = entry("i-1")
        self.assertTrue(self.notices.record_pause(replica, 2.0, 10.0))
        self.assertFalse(self.notices.record_pause(replica, 0.5, 10.5))
        self.assertFalse(self.notices.may_read(replica, 11.9))
        self.assertTrue(self.notices.has_pause(replica.service, 11.9))
        self.assertTrue(self.notices.may_read(replica, 12.0))
        self.assertFalse(self.notices.has_pause(replica.service, 12.0))

    def test_memory_is_bounded(self):
        """Guards against notices that are kept without end."""
        for number in range(10_000):
            self.notices.record_leaving(Incarnation(f"i-{number}", 1), 0.0, 1)
            self.notices.record_pause(entry(f"i-{number}"), 1.0, 0.0)
        self.notices.forget_ended_pauses(1.0)
        self.assertLess(len(self.notices._leaving_since), 5000)
        self.assertEqual(self.notices.count_paused(0.5), 0)


class TestNoticesInHeads(unittest.TestCase):
    """Heads of answers, whatever becomes of the rest."""

    def parse(self, *pieces):
        parser = AnswerParser(NAMES, MemoryBudget())
        parser.begin(b"1")
        for piece in pieces:
            parser.feed(piece)
        return parser

    def test_head_counts_without_its_body(self):
        """Guards against a notice that is lost with the body of its answer."""
        for status, body in ((200, b"ha"), (500, b""), (503, b"")):
            head = b"HTTP/1.1 %d X\r\nX-Id: 1\r\nX-Leaving: 1\r\n" % status
            parser = self.parse(head + b"Content-Length: 4\r\n\r\n" + body)
            self.assertIsNone(parser.answer)
            self.assertTrue(parser.is_leaving)

    def test_answer_to_an_earlier_request_counts(self):
        """Guards against a notice that is lost because its caller has gone."""
        late = b"HTTP/1.1 200 X\r\nX-Id: 0\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
        own = b"HTTP/1.1 200 X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
        parser = self.parse(late, own)
        self.assertTrue(parser.answer.is_leaving)

    def test_other_replica_or_value_does_not_count(self):
        """Guards against holding off a replica for what another one says."""
        for status, value in ((421, b"1"), (200, b"0"), (200, b"")):
            head = b"HTTP/1.1 %d X\r\nX-Id: 1\r\nX-Leaving: %s\r\n" % (status, value)
            parser = self.parse(head + b"Content-Length: 0\r\n\r\n")
            self.assertFalse(parser.is_leaving)

    def test_pause_needs_status_503(self):
        """Guards against a pause because of an answer that is no refusal."""
        for status, expected in ((200, None), (500, None), (503, b"1,2")):
            head = b"HTTP/1.1 %d X\r\nX-Id: 1\r\nRetry-After: 1\r\n" % status
            rest = b"Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
            self.assertEqual(self.parse(head + rest).answer.retry_after, expected)


class TestLeavingReplicas(GatewayTestCase):
    """A gateway whose replicas say they are leaving; their entries say ready."""

    DRAIN_MS = 600
    DRAIN_S = DRAIN_MS / 1000.0

    def setUp(self):
        super().setUp()
        self.leaving, self.staying = self.replicas_of("one")

    def ask(self, count, path="/read/x", pause_s=0.0, method="GET"):
        """Send requests one after another; return their statuses."""
        statuses = []
        for number in range(count):
            request_id = f"q{number}-{time.monotonic_ns()}"
            status, *_ = self.gateway.ask(path, request_id=request_id, method=method)
            statuses.append(status)
            eventlet.sleep(pause_s)
        return statuses

    def ask_at_once(self, count, path="/read/x"):
        """Send requests that are in progress together; return their statuses."""
        requests = [
            eventlet.spawn(self.gateway.ask, path, request_id=f"c{n}{path[1]}")
            for n in range(count)
        ]
        return {request.wait()[0] for request in requests}

    def reads_since(self, replica, began_at):
        return sum(at >= began_at for at in replica.arrivals)

    def leave(self, *replicas):
        """Let replicas say that they are leaving; return when all have said so."""
        for replica in replicas:
            replica.is_leaving = True
        wait_for(
            lambda: (self.ask(1), all(each.leaving_answers for each in replicas))[1],
            "the notices",
        )
        return time.monotonic()

    def test_other_replica_serves_at_once(self):
        """Guards against requests because the entry still says ready (DRAIN)."""
        told_at = self.leave(self.leaving)
        self.assertEqual(set(self.ask(20, pause_s=0.05)), {200})
        self.assertEqual(self.reads_since(self.leaving, told_at), 0)
        (line,) = self.gateway.events("replica_leaving")
        self.assertEqual((line["replica"], line["source"]), (self.leaving.id, "answer"))

    def test_each_kind_of_answer_counts(self):
        """Guards against a notice that only successes may carry."""
        for number, behaviour in enumerate(("error", "shed", "cut", "busy")):
            service = SHARDS[number]
            leaving = self.replicas_of(service)[0]
            leaving.is_leaving, leaving.behaviour = True, behaviour
            wait_for(
                lambda each=leaving: (
                    self.ask(1, "/search/x"), each.leaving_answers,
                )[1],
                behaviour,
            )  # fmt: skip
            eventlet.sleep(0.1)
            told_at = time.monotonic()
            leaving.behaviour = "answer"
            self.replicas_of(service)[1].delay_s = 0.1
            # So many that the other replica alone would be the dearer choice.
            self.assertEqual(self.ask_at_once(12, "/search/x"), {200})
            self.replicas_of(service)[1].delay_s = 0.0
            self.assertEqual(self.reads_since(leaving, told_at), 0, behaviour)

    def test_late_answer_whose_caller_has_gone_counts(self):
        """Guards against a notice that is dropped with an abandoned read."""
        for replica in (self.leaving, self.staying):
            replica.delay_s = 0.2
        self.leaving.is_leaving = True

        def has_been_abandoned():
            sock = self.gateway.send("/read/x", request_id=f"a{time.monotonic_ns()}")
            eventlet.sleep(0.1)
            sock.close()
            eventlet.sleep(0.2)
            return self.leaving.leaving_answers

        wait_for(has_been_abandoned, "an abandoned read")
        wait_for(lambda: self.gateway.events("replica_leaving"), "the notice")

    def test_all_leave(self):
        """Guards against requests that wait, or reach replicas after the drain time.

        The replicas serve until then, so that callers lose nothing; after that they are
        refused at once and told when to return.
        """
        told_at = self.leave(self.leaving, self.staying)
        self.assertEqual(self.ask(3), [200, 200, 200])
        eventlet.sleep(max(0.0, told_at + self.DRAIN_S - time.monotonic()))
        drained_at = time.monotonic()
        status, headers, _ = self.gateway.ask("/order/x", method="POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertLess(time.monotonic() - drained_at, 0.3)
        self.assertEqual(set(self.ask(5)), {503})
        for replica in (self.leaving, self.staying):
            self.assertEqual(self.reads_since(replica, drained_at), 0)
        self.assertIn(
            "leaving", [e["end"] for e in self.gateway.events()[-6:] if "end" in e]
        )

    def test_notice_outlasts_a_new_entry_and_a_silent_store(self):
        """Guards against a stale copy that brings a leaving replica back (DRAIN)."""
        told_at = self.leave(self.leaving)
        self.store.delete(f"servers/{self.leaving.id}")
        self.check_stale_copy(told_at)

    def test_notice_outlasts_a_removal_that_was_held(self):
        """Guards against a notice that ends with the grace period of its entry."""
        told_at = self.leave(self.leaving)
        self.lose_store()
        self.store.delete(f"servers/{self.leaving.id}")
        self.store.is_down = False
        wait_for(lambda: self.gateway.events("removal_held"), "the grace period")
        self.check_stale_copy(told_at)

    def check_stale_copy(self, told_at):
        # A call to the store that is late starts a grace period, which holds removals.
        wait_for(lambda: any(map(self.has_changed, REMOVALS)), "the removal")
        self.store.put(f"servers/{self.leaving.id}", self.leaving.entry(Seq=9))
        wait_for(lambda: self.has_changed("published ready", known=False), "the return")
        self.store.is_down = True
        eventlet.sleep(max(0.0, told_at + self.DRAIN_S - time.monotonic()))
        self.staying.delay_s = 0.1
        self.assertEqual(self.ask_at_once(12), {200})
        self.assertEqual(self.reads_since(self.leaving, told_at), 0)

    def has_changed(self, reason, known=None):
        return any(
            e["reason"] == reason and known in (None, e["known"])
            for e in self.gateway.events("replica_changed")
            if e["replica"] == self.leaving.id
        )

    def test_next_process_is_not_held_off(self):
        """Guards against holding off an id, or an address, for a former process."""
        told_at = self.leave(self.leaving)
        eventlet.sleep(max(0.0, told_at + self.DRAIN_S - time.monotonic()))
        self.leaving.restart()
        self.store.put(f"servers/{self.leaving.id}", self.leaving.entry())
        wait_for(
            lambda: (self.ask(1), self.reads_since(self.leaving, told_at))[1],
            "a read of the next process",
        )

    def test_process_that_is_not_listed_yet(self):
        """Guards against a process that is read again when its entry arrives."""
        self.lose_store()
        self.leaving.restart()
        told_at = self.leave(self.leaving)
        self.store.put(f"servers/{self.leaving.id}", self.leaving.entry())
        self.regain_store()
        eventlet.sleep(max(0.5, told_at + self.DRAIN_S - time.monotonic()))
        self.staying.delay_s = 0.1
        self.assertEqual(self.ask_at_once(12), {200})
        self.assertEqual(self.reads_since(self.leaving, told_at), 0)

    def test_waiting_requests_move_on(self):
        """Guards against requests that wait for connections to a leaving replica."""
        self.staying.behaviour = "hang"
        self.store.delete(f"servers/{self.staying.id}")
        wait_for(
            lambda: any(
                e["reason"] == "entry removed"
                for e in self.gateway.events("replica_changed")
            ),
            "the removal",
        )
        self.leaving.delay_s = 0.4
        orders = [
            eventlet.spawn(
                self.gateway.ask, "/order/x", request_id=f"w{n}", method="POST"
            )
            for n in range(9)
        ]
        wait_for(lambda: len(self.leaving.requests) >= 3, "the first requests")
        self.staying.behaviour = "answer"
        self.store.put(f"servers/{self.staying.id}", self.staying.entry(Seq=2))
        wait_for(
            lambda: (
                sum(
                    e["replica"] == self.staying.id and not e["known"]
                    for e in self.gateway.events("replica_changed")
                )
                >= 2
            ),
            "the other replica",
        )
        self.leaving.is_leaving = True
        self.assertEqual({order.wait()[0] for order in orders}, {200})
        self.assertLessEqual(len(self.leaving.requests), 3)
        self.assertGreaterEqual(len(self.staying.requests), 6)


class TestPausingReplicas(GatewayTestCase):
    """A gateway whose replicas refuse requests and ask for a pause."""

    PAUSE_S = 1.5

    def setUp(self):
        super().setUp()
        self.first, self.second = self.replicas_of("one")

    def pause(self, *replicas, behaviour="shed"):
        for replica in replicas:
            replica.behaviour, replica.pause_s = behaviour, self.PAUSE_S
        wait_for(
            lambda: (
                self.gateway.ask("/read/x", request_id=f"p{time.monotonic_ns()}"),
                all(replica.pauses for replica in replicas),
            )[1],
            "the pauses",
        )
        for replica in replicas:
            replica.behaviour = "answer"

    def count_in_pause(self, replica):
        """Return the requests between the reaction time and the end of a pause."""
        pause = replica.pauses[0]
        return sum(
            pause.answered_at + REACTION_S <= at < pause.answered_at + pause.seconds
            for at in replica.arrivals
        )

    def wait_for_end(self, replica):
        pause = replica.pauses[0]
        ends_at = pause.answered_at + pause.seconds
        eventlet.sleep(max(0.0, ends_at - time.monotonic()))

    def test_other_replica_serves_until_the_end(self):
        """Guards against requests, repeats and hedges in a pause (BUDGET)."""
        for behaviour in ("shed", "busy"):
            with self.subTest(behaviour):
                self.first.pauses.clear()
                self.pause(self.first, behaviour=behaviour)
                eventlet.sleep(REACTION_S)
                # Longer than the time after which a read is hedged.
                self.second.delay_s = 0.2
                answers = [
                    eventlet.spawn(
                        self.gateway.ask, "/read/x", request_id=f"{behaviour}{n}"
                    )
                    for n in range(4)
                ]
                self.assertEqual({each.wait()[0] for each in answers}, {200})
                self.second.delay_s = 0.0
                self.wait_for_end(self.first)
                in_pause = self.count_in_pause(self.first)
                self.assertLessEqual(in_pause, MAX_LATE_REQUESTS)
                ended_at = time.monotonic()
                wait_for(
                    lambda at=ended_at: (
                        self.gateway.ask(
                            "/read/x", request_id=f"e{time.monotonic_ns()}"
                        ),
                        any(each > at for each in self.first.arrivals),
                    )[1],
                    "a read after the pause",
                )
        self.assertEqual(self.gateway.events("replica_ejected"), [])

    def test_whole_service_pauses(self):
        """Guards against requests that wait in vain, and an untrue Retry-After."""
        self.pause(self.first, self.second)
        until = max(
            r.pauses[0].answered_at + self.PAUSE_S for r in (self.first, self.second)
        )
        first_until = min(
            r.pauses[0].answered_at + self.PAUSE_S for r in (self.first, self.second)
        )
        for number, (path, method) in enumerate(
            (("/read/x", "GET"), ("/order/x", "POST"))
        ):
            began_at = time.monotonic()
            status, headers, _ = self.gateway.ask(
                path, request_id=f"w{number}", method=method, deadline_ms=900
            )
            self.assertEqual(status, 503)
            self.assertLess(time.monotonic() - began_at, 0.3)
            returns_at = began_at + float(headers["retry-after"])
            self.assertGreaterEqual(returns_at, first_until - 0.05)
        ends = {e["id"]: e["end"] for e in self.gateway.events("request_ended")}
        self.assertEqual((ends["w0"], ends["w1"]), ("paused", "paused"))
        eventlet.sleep(max(0.0, until - time.monotonic()))
        self.assertEqual(self.gateway.ask("/read/x", request_id="after")[0], 200)

    def test_load_is_not_moved_beyond_the_slots_of_the_rest(self):
        """Guards against a burst that all but one replica of a service push away."""
        self.pause(self.first)
        self.second.delay_s = 0.05
        self.second.most_in_progress = 0
        answers = [
            eventlet.spawn(
                self.gateway.ask, "/order/x", request_id=f"b{n}", method="POST"
            )
            for n in range(30)
        ]
        statuses = [each.wait()[0] for each in answers]
        self.assertLessEqual(self.second.most_in_progress, 2)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreaterEqual(statuses.count(200), 4)
        for number, status in enumerate(statuses):
            if status == 503:
                self.assertEqual(self.count_runs("one", f"b{number}"), 0)

    def test_pause_beside_a_rate_limit(self):
        """Guards against requests beyond a limit because the other replica pauses."""
        self.second.rate_limit = 0.5
        self.pause(self.first)
        began_at = time.monotonic()
        for number in range(40):
            self.gateway.ask("/order/x", request_id=f"l{number}", method="POST")
        arrivals = sum(at >= began_at for at in self.second.arrivals)
        self.assertLessEqual(arrivals, 5)
        ends = {e["end"] for e in self.gateway.events("request_ended")[-10:]}
        self.assertLessEqual(ends, {"limited", "paused", "answered"})
        self.assertTrue(ends & {"limited", "paused"})

    def test_query_lacks_paused_shards_or_is_refused(self):
        """Guards against reads in vain for a query that cannot be answered."""
        for service, replicas in ((s, self.replicas_of(s)) for s in SHARDS[:3]):
            for replica in replicas:
                replica.behaviour, replica.pause_s = "shed", self.PAUSE_S
            for number in range(4):
                self.gateway.ask("/search/x", request_id=f"{service}-{number}")
        wait_for(lambda: len(self.gateway.events("replica_paused")) >= 6, "the pauses")
        before = len(self.replicas_of("s3")[0].requests) + len(
            self.replicas_of("s3")[1].requests
        )
        status, headers, _ = self.gateway.ask("/search/x", request_id="refused")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        after = sum(len(each.requests) for each in self.replicas_of("s3"))
        self.assertEqual(after, before)
        for service in SHARDS[:3]:
            for replica in self.replicas_of(service):
                self.assertLessEqual(self.count_in_pause(replica), MAX_LATE_REQUESTS)


class TestLeavingThroughPeers(TwoGatewaysTestCase):
    """Answers that a host passes on from another one, which read the replicas."""

    def test_host_learns_what_its_gatherer_was_told(self):
        """Guards against a host that reads a replica which left long ago (DRAIN)."""
        service = self.SHARDS[0]
        leaving = self.replicas[0]
        other = ReplicaStandIn(service, f"i-{service}z")
        self.addCleanup(other.stop)
        self.store.put(f"servers/{other.id}", other.entry())
        for gateway in (self.small, self.large):
            wait_for(
                lambda g=gateway: any(
                    e["replica"] == other.id for e in g.events("replica_changed")
                ),
                "the other replica",
            )
        leaving.is_leaving = True
        wait_for(
            lambda: (
                self.small.ask("/search/q", request_id=f"g{time.monotonic_ns()}"),
                leaving.leaving_answers,
            )[1],
            "the notice",
        )
        wait_for(lambda: self.small.events("replica_leaving"), "the report")
        (line,) = self.small.events("replica_leaving")
        self.assertEqual((line["replica"], line["source"]), (leaving.id, "large"))
        self.large.process.kill()
        self.large.process.wait()
        told_at = time.monotonic()
        for number in range(8):
            status, headers, _ = self.small.ask("/search/q", request_id=f"k{number}")
            self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
            self.assertNotIn("x-cicadalever-leaving", headers)
        self.assertEqual([at for at in leaving.arrivals if at >= told_at], [])
