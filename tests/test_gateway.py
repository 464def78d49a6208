"""Tests of the gateway's answer classification, timing, readiness and follower."""

import time
import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

import eventlet
import eventlet.event

from cicadalever.freshness import Backoff, GraceBounds, WatchTiming
from cicadalever.freshness._backoff import MIN_PAUSE_S
from cicadalever.gateway import HistoryLost, PlatformUpdate
from cicadalever.gateway._answers import (
    AnswerKind,
    classify_answer,
    classify_read_outcome,
)
from cicadalever.gateway._follower import PlatformFollower
from cicadalever.gateway._outbound import OutboundRequest
from cicadalever.gateway._readiness import Readiness
from cicadalever.gateway._relay import ChangeRelay
from cicadalever.gateway._service import (
    AnswerLateness,
    parse_deadline,
    plan_peer_answer,
    plan_times,
)
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.peers import Position, RelayedChanges
from cicadalever.placement import ReadOutcome
from cicadalever.routing import Limits, Route, RoutingTable
from cicadalever.wire import (
    AnswerFault,
    CallerRequest,
    EventLoop,
    HeaderNames,
    ReplicaAnswer,
)

NAMES = HeaderNames(
    b"x-id",
    b"x-left",
    b"x-signed",
    b"x-replica",
    b"x-not-run",
    b"x-parts",
    b"x-miss",
    b"x-limit",
    b"x-leaving",
)
SIGNED = [(b"x-id", b"1"), (b"x-signed", b"s")]
FAILURE = Failure(FailureCode.UNREACHABLE, "reset")
# Times of a host that waits for long and does not pause between its calls.
PATIENT = WatchTiming.plan(60.0, 60.0, 60.0)._replace(interval_s=0.001)
# Bounds of deployments in seconds: contact, apply and drain.
BOUNDS = [
    (4.0, 3.0, 3.0),
    (5.0, 5.0, 5.0),
    (6.0, 6.0, 6.0),
    (4.0, 10.0, 10.0),
    (10.0, 2.0, 2.0),
    (2.0, 2.0, 2.0),
    (3.0, 1.0, 1.0),
]


def gather_route(shards, **changes):
    """Return a route that gathers its answer from shards."""
    route = Route("r", "h", "/", True, 1.0, 0.1, 2, 0, (), tuple(shards), 5, 0.75)
    return route._replace(**changes)


class TestClassifyAnswer(unittest.TestCase):
    """Result of a read, and whether the replica may have run the request."""

    def classify(self, status=200, headers=SIGNED, fault=None):
        answer = ReplicaAnswer(status, headers, b"", fault)
        return classify_answer(answer, NAMES)

    def test_success_needs_signature_and_id(self):
        """Guards against a body that no replica computed for this request."""
        self.assertEqual(self.classify(), AnswerKind.SUCCESS)
        self.assertEqual(self.classify(headers=SIGNED[:1]), AnswerKind.UNKNOWN)
        self.assertEqual(self.classify(headers=SIGNED[1:]), AnswerKind.UNKNOWN)

    def test_encoded_body_is_rejected(self):
        """Guards against a body in an encoding that the caller did not request."""
        headers = [*SIGNED, (b"content-encoding", b"gzip")]
        self.assertEqual(self.classify(headers=headers), AnswerKind.UNKNOWN)

    def test_not_run_needs_header_or_misdirected_status(self):
        """Guards against repeating a request that may have run."""
        not_run = [(b"x-not-run", b"1")]
        self.assertEqual(self.classify(503, not_run), AnswerKind.NOT_RUN)
        self.assertEqual(self.classify(421, []), AnswerKind.WRONG_REPLICA)
        self.assertEqual(self.classify(503, SIGNED), AnswerKind.FAILURE)
        self.assertEqual(self.classify(504, SIGNED), AnswerKind.FAILURE)

    def test_only_unreachable_counts_as_not_sent(self):
        """Guards against treating a lost request as one that was never sent."""
        kinds = {fault: self.classify(0, [], fault) for fault in AnswerFault}
        self.assertEqual(kinds[AnswerFault.UNREACHABLE], AnswerKind.NOT_SENT)
        for fault in (AnswerFault.LOST, AnswerFault.GARBLED, AnswerFault.ABANDONED):
            self.assertEqual(kinds[fault], AnswerKind.UNKNOWN)

    def test_client_errors_do_not_count_against_a_replica(self):
        """Guards against ejecting replicas because of invalid requests of callers."""
        answer = ReplicaAnswer(404, SIGNED, b"")
        self.assertEqual(
            classify_read_outcome(answer, AnswerKind.FAILURE), ReadOutcome.ANSWERED
        )
        answer = ReplicaAnswer(500, SIGNED, b"")
        self.assertEqual(
            classify_read_outcome(answer, AnswerKind.FAILURE), ReadOutcome.FAILED
        )


class TestOutboundRequest(unittest.TestCase):
    """Bytes of the request to a replica."""

    def encode(self, headers, body=b"", method=b"GET"):
        request = CallerRequest(method, b"/a?b=c", headers, body, 0.0, False, True)
        outbound = OutboundRequest(request, NAMES, deadline=0.5, request_id=b"1")
        return outbound.encode("i-1", now=0.2)

    def test_forwards_end_to_end_headers_only(self):
        """Guards against forwarded hop-by-hop headers and an unchanged deadline."""
        headers = [
            (b"host", b"h"),
            (b"x-id", b"1"),
            (b"x-left", b"9999"),
            (b"connection", b"keep-alive, X-Hop"),
            (b"x-hop", b"1"),
            (b"x-other", b"2"),
        ]
        expected = (
            b"GET /a?b=c HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-other: 2\r\n"
            b"x-left: 300\r\nx-replica: i-1\r\n\r\n"
        )
        self.assertEqual(self.encode(headers), expected)

    def test_body_is_framed_by_its_length(self):
        """Guards against a body that is parsed as a second request."""
        headers = [(b"transfer-encoding", b"chunked")]
        sent = self.encode(headers, b"abc 100%", b"POST")
        self.assertIn(b"Content-Length: 8\r\n", sent)
        self.assertNotIn(b"chunked", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nabc 100%"))

    def test_percent_signs_pass_unchanged(self):
        """Guards against percent signs of a target that act as format directives."""
        request = CallerRequest(b"GET", b"/%41%d", [], b"", 0.0, False, True)
        outbound = OutboundRequest(request, NAMES, deadline=1.0, request_id=b"1")
        self.assertTrue(
            outbound.encode("i", 0.0).startswith(b"GET /%41%d HTTP/1.1\r\n")
        )


class TestPlanTimes(unittest.TestCase):
    """Times by which a request is answered."""

    def test_target_minus_transit_and_margin(self):
        """Guards against answers that are sent in time but arrive late."""
        route = gather_route(["a"])
        times = plan_times(route, 10.0, 0.5, False, margin_s=0.004)
        self.assertAlmostEqual(times.answer_by, 10.09)
        self.assertAlmostEqual(times.deadline, 10.5)
        first = plan_times(route, 10.0, 0.5, True, margin_s=0.004)
        self.assertAlmostEqual(first.answer_by, 10.084)

    def test_measured_round_trip_replaces_the_assumed_one(self):
        """Guards against shards that are left out although there was time for them."""
        route = gather_route(["a"])
        near = plan_times(route, 10.0, 0.5, False, margin_s=0.004, round_trip_s=0.002)
        self.assertAlmostEqual(near.answer_by, 10.094)
        far = plan_times(route, 10.0, 0.5, True, margin_s=0.004, round_trip_s=0.01)
        self.assertAlmostEqual(far.answer_by, 10.076)

    def test_shorter_timeout_applies(self):
        """Guards against work after the deadline of the caller or the route."""
        route = gather_route(["a"], timeout_s=0.3)
        self.assertAlmostEqual(plan_times(route, 0.0, 0.5, False).deadline, 0.3)
        self.assertAlmostEqual(plan_times(route, 0.0, None, False).deadline, 0.3)
        self.assertAlmostEqual(plan_times(route, 0.0, 0.05, False).answer_by, 0.05)

    def test_margin_follows_the_lateness(self):
        """Guards against late answers from hosts with slow processors."""
        lateness = AnswerLateness()
        for _ in range(50):
            lateness.observe(0.003)
        self.assertAlmostEqual(lateness.margin_s, 0.014, places=4)

    def test_suspension_does_not_shorten_later_queries(self):
        """Guards against partial answers to all queries after one suspension."""
        lateness = AnswerLateness()
        lateness.observe(3.0)
        self.assertLess(lateness.margin_s, 0.06)
        # An earlier time than the start would end a query with the least shards, and
        # no such end lowers the margin again.
        self.assertGreaterEqual(plan_peer_answer(10.0, 0.4, 2.0), 10.2)

    def test_invalid_deadline_is_ignored(self):
        """Guards against an exception on a header that is not a number."""
        for value in (None, b"", b"soon", b"-5"):
            self.assertIsNone(parse_deadline(value))
        self.assertEqual(parse_deadline(b"250"), 0.25)


class TestReadiness(unittest.TestCase):
    """Answer to the readiness check of the load balancer."""

    def setUp(self):
        self.readiness = Readiness()
        self.table = RoutingTable(1, [gather_route("abcd")], {}, Limits())

    def update(self, reachable, now):
        self.readiness.update(self.table, reachable.__contains__, now)
        return self.readiness.is_ready(self.table)

    def test_not_ready_without_configuration(self):
        """Guards against requests to a host that cannot route them yet."""
        self.assertFalse(self.readiness.is_ready(None))

    def test_cut_off_host_is_not_ready(self):
        """Guards against a host that fails all requests but still receives them."""
        self.assertTrue(self.update("abcd", 0.0))
        self.assertTrue(self.update("ab", 1.0))
        self.assertTrue(self.update("ab", 1.5))
        self.assertFalse(self.update("ab", 1.7))
        self.assertTrue(self.update("abc", 2.2))

    def test_host_without_reads_is_cut_off_with_its_links(self):
        """Guards against a wait until the reads of a host show that it is cut off."""
        reach_all = "abcd".__contains__
        self.readiness.update(self.table, reach_all, 0.0, has_lost_links=True)
        self.assertFalse(self.readiness.is_ready(self.table))
        self.assertTrue(self.readiness.is_cut_off)
        self.readiness.update(self.table, reach_all, 0.2, has_lost_links=False)
        self.assertTrue(self.readiness.is_ready(self.table))

    def test_host_stays_ready_when_no_host_reaches_the_shards(self):
        """Guards against taking out sound hosts because their upstreams are dead."""
        for now in range(10):
            reach_none = "".__contains__
            self.readiness.update(
                self.table, reach_none, float(now), is_shared_outage=True
            )
            self.assertTrue(self.readiness.is_ready(self.table))
        self.assertTrue(self.readiness.lacks_upstreams)

    def test_host_stays_ready_without_a_single_shard(self):
        """Guards against all hosts becoming unready because of one lost service."""
        for now in range(10):
            self.assertTrue(self.update("abc", float(now)))

    def test_draining_host_is_not_ready(self):
        """Guards against new requests to a host that shuts down."""
        self.readiness.is_draining = True
        self.assertFalse(self.update("abcd", 0.0))


class TestWatchTiming(unittest.TestCase):
    """Waits of watch calls, compared with the bounds of a deployment."""

    def test_lost_watch_ends_before_the_bounds_apply_again(self):
        """Guards against requests to removed replicas after a watch call was lost."""
        for bounds in BOUNDS:
            times = WatchTiming.plan(*bounds)
            for delay_s in (0.0, 0.5 * times.interval_s, times.interval_s):
                call = times.plan_call(delay_s, 0.0, times.min_margin_s)
                # The next call has a connection of its own and a slow answer.
                recovery_s = 1.5 * MIN_PAUSE_S + 0.25
                end_s = delay_s + call.timeout_s + recovery_s
                self.assertLess(end_s, bounds[0] + 0.001, bounds)
                self.assertLessEqual(call.timeout_s + delay_s, 0.701 * bounds[0])
            self.assertLess(times.interval_s, min(bounds) / 2)

    def test_lost_source_is_replaced_within_the_bounds(self):
        """Guards against a poll that outlasts the time in which changes must apply."""
        for bounds in BOUNDS:
            times = WatchTiming.plan(*bounds)
            end_s = times.max_age_s + times.poll_timeout_s
            self.assertLess(end_s, 0.9 * min(bounds))
            # A sound source answers in time, even if it holds the poll to the end.
            self.assertGreater(times.poll_timeout_s, 1.25 * times.long_poll_s)

    def test_contact_is_back_soon_after_an_outage(self):
        """Guards against a host that is out of date for long after an outage."""
        for bounds in BOUNDS:
            times = WatchTiming.plan(*bounds)
            refused_s, silent_s, left_s = 0.0, 0.0, bounds[0] - 2.5
            backoff = Backoff(times.max_backoff_s, Random(1))
            for _ in range(100):
                refused_s = max(refused_s, backoff.next_pause_s(elapsed_s=0.0))
                pause_s = backoff.next_pause_s(elapsed_s=times.max_margin_s)
                silent_s = max(silent_s, times.max_margin_s + pause_s)
            self.assertLess(refused_s, max(0.5, 0.7 * left_s))
            self.assertLess(silent_s, max(1.3, left_s))

    def test_calls_while_the_platform_is_away_are_rare(self):
        """Guards against a price of calls that fail at once."""
        for bounds in BOUNDS:
            times = WatchTiming.plan(*bounds)
            backoff = Backoff(times.max_backoff_s, Random(1))
            calls, now = 0, 0.0
            while now < 10.0:
                calls, now = calls + 1, now + backoff.next_pause_s(elapsed_s=0.0)
            # At most two calls a second for the usual bounds.
            self.assertLessEqual(calls, 20 if bounds[0] >= 4.0 else 40)

    def test_wait_stays_in_range(self):
        """Guards against waits that the platform rejects or that amount to polling."""
        long = WatchTiming.plan(60.0, 60.0, 60.0)
        self.assertEqual(long.plan_call(0.0, 0.0, long.min_margin_s).wait_s, 30.0)
        for bounds in BOUNDS:
            times = WatchTiming.plan(*bounds)
            call = times.plan_call(0.0, 0.0, times.min_margin_s)
            self.assertGreaterEqual(call.wait_s, 0.4 * bounds[0])
            late = times.plan_call(100.0, 0.0, times.min_margin_s)
            self.assertGreaterEqual(late.wait_s, 0.1)

    def test_calls_without_changes_are_rare(self):
        """Guards against a price of freshness beyond one call in two seconds."""
        times = WatchTiming.plan(4.0, 3.0, 3.0)
        call = times.plan_call(0.0, 0.0, times.min_margin_s)
        self.assertGreaterEqual(call.wait_s, 2.0)
        for contact_s, bound_s in ((4.0, 3.0), (5.0, 5.0), (6.0, 6.0), (10.0, 2.0)):
            followed = WatchTiming.plan(contact_s, bound_s, bound_s)
            # Hosts that relay changes to others call once in this time.
            self.assertGreaterEqual(followed.interval_s, 0.35 * bound_s)


class FakeClient:
    """Platform client that returns prepared results and then blocks."""

    def __init__(self, results):
        self.results = list(results)
        self.calls_made = []
        # Number of calls before each time that the connections were closed.
        self.closed_after = []
        # Wait and time-out of each watch call.
        self.planned = []

    def close(self):
        """Note that the next call uses a new connection."""
        self.closed_after.append(len(self.calls_made))

    def read_all(self, *, allow_stale, timeout_s):
        return self._next(("read_all", allow_stale))

    def watch(self, after, wait_s, timeout_s):
        self.planned.append((wait_s, timeout_s))
        return self._next(("watch", after))

    def _next(self, call):
        self.calls_made.append(call)
        if not self.results:
            self._waiting = eventlet.event.Event()
            return self._waiting.wait()
        return self.results.pop(0)

    def answer_after(self, seconds, result):
        """Answer the waiting call some time from now."""
        eventlet.spawn_after(seconds, self._waiting.send, result)


class FakeEvents:
    """Event log that records the names of the events."""

    def __init__(self):
        self.names = []

    def emit(self, event, **fields):
        self.names.append(event)


def update(revision, is_complete=False):
    """Return an update without content."""
    return PlatformUpdate(None, [], [], {}, revision, is_complete)


class FakeRelay:
    """Relay with a larger host as source, which returns prepared answers."""

    def __init__(self, answers):
        self.answers = answers
        self.polled_positions = []
        self.rejected = 0
        self.published = []
        self.has_followers = False

    def choose_source(self):
        return SimpleNamespace(heartbeat=SimpleNamespace(host="large"))

    def poll(self, source, after):
        self.polled_positions.append(after)
        if not self.answers:
            eventlet.sleep(60)
        return self.answers.pop(0)

    def reject(self, source):
        self.rejected += 1

    def publish(self, update):
        self.published.append(update.revision)


class TestRelayedChanges(unittest.TestCase):
    """Changes that come from a larger host instead of the platform."""

    def follow(self, answers, results, seconds=0.05):
        client = self.client = FakeClient([update(5, True), *results])
        self.relay, self.updates, self.returned = FakeRelay(answers), [], []
        follower = PlatformFollower(
            client,
            PATIENT._replace(max_age_s=2.5),
            EventLoop(),
            Random(1),
            FakeEvents(),
            self.updates.append,
            lambda *reported: self.returned.append(reported),
            self.relay,
            lambda data: update(int(data)) if data.isdigit() else FAILURE,
        )
        follower.start()
        eventlet.sleep(seconds)
        follower.stop()
        return client.calls_made

    def test_fresh_changes_replace_the_watch(self):
        """Guards against watch calls of a host that gets changes from a larger one."""
        answers = [RelayedChanges(0, 8, 0.5, 0.0, [b"7", b"8"])]
        calls = self.follow(answers, [])
        self.assertEqual(calls, [("read_all", True)])
        self.assertEqual([each.revision for each in self.updates], [5, 7, 8])
        self.assertEqual(self.relay.polled_positions, [(0, 5), (0, 8)])
        self.assertEqual(self.relay.published, [5, 7, 8])

    def test_old_or_missing_changes_fall_back_to_the_platform(self):
        """Guards against following a host that has itself lost the platform."""
        old = RelayedChanges(0, 8, 2.6, 0.0, [b"8"])
        unreadable = RelayedChanges(0, 8, 0.1, 0.0, [b"x"])
        for answer in (old, unreadable, FAILURE):
            calls = self.follow([answer], [update(6)])
            self.assertEqual(calls, [("read_all", True), ("watch", 5)])
            self.assertEqual(self.relay.rejected, 1)
            self.assertEqual([each.revision for each in self.updates], [5, 6])

    def test_host_that_leaves_its_source_uses_a_new_connection(self):
        """Guards against a connection that fell silent while it was not used."""
        fresh = RelayedChanges(0, 8, 0.1, 0.0, [b"8"])
        calls = self.follow([fresh, FAILURE], [update(9)])
        self.assertEqual(calls, [("read_all", True), ("watch", 8)])
        # When the source was found and when it was left, and at the end of the test.
        self.assertEqual(self.client.closed_after, [1, 1, 2])

    def test_source_of_another_era_falls_back_to_the_platform(self):
        """Guards against changes whose revisions belong to another history."""
        other = RelayedChanges(1, 8, 0.1, 0.0, [b"8"])
        calls = self.follow([other], [update(6)])
        self.assertEqual(calls, [("read_all", True), ("watch", 5)])
        self.assertEqual([each.revision for each in self.updates], [5, 6])

    def test_grace_period_of_the_larger_host_applies(self):
        """Guards against removing entries after an outage that only the source saw."""
        self.follow([RelayedChanges(0, 7, 0.1, 1.5, [b"7"])], [])
        self.assertEqual([grace_s for _, grace_s in self.returned], [1.5])

    def test_relayed_grace_is_bounded_by_what_this_host_knows(self):
        """Guards against a grace that lasts as long as another host says."""
        begun_at = time.monotonic()
        answers = [RelayedChanges(0, 7, 0.1, 60.0, []) for _ in range(2)]
        self.follow(answers, [])
        ends = [GraceBounds(4.0, 1.0).end_of_grace(*each) for each in self.returned]
        self.assertEqual(len(ends), 2)
        self.assertLess(max(ends), begun_at + 1.0)

    def test_followed_host_calls_again_before_its_data_is_old(self):
        """Guards against followers that reject their source while nothing changes."""
        for apply_s in (3.0, 5.0, 8.0):
            times = WatchTiming.plan(4.0, apply_s, apply_s)
            oldest_s = times.interval_s + times.followed_wait_s
            self.assertLess(oldest_s, times.max_age_s)
            self.assertGreater(times.followed_wait_s, 0.0)


class TestNewerVersion(unittest.TestCase):
    """Versions that peers name while a watch call waits."""

    def setUp(self):
        client = self.client = FakeClient([update(5, True), update(6)])
        self.events = FakeEvents()
        self.follower = PlatformFollower(
            client,
            PATIENT._replace(min_margin_s=0.02),
            EventLoop(),
            Random(1),
            self.events,
            lambda update: None,
            lambda *reported: None,
        )
        self.follower.start()
        self.addCleanup(self.follower.stop)
        eventlet.sleep(0.02)

    def hear(self, version, times):
        for _ in range(times):
            self.follower.notice_newer_version(version)
            eventlet.sleep(0.01)

    def test_rejected_version_ends_one_call_only(self):
        """Guards against calls without end for a version that this host rejects."""
        self.hear(8, 30)
        self.assertEqual(self.events.names.count("call_given_up"), 1)
        self.assertEqual(len(self.client.planned), 3)
        self.hear(9, 30)
        self.assertEqual(self.events.names.count("call_given_up"), 2)

    def test_rejected_version_ends_one_pause_only(self):
        """Guards against calls that follow each other for a version that is invalid."""
        self.client.results = [update(6 + n) for n in range(1, 50)]
        self.follower.timing = PATIENT._replace(interval_s=0.6)
        self.client.answer_after(0.0, update(7))
        begun_at = time.monotonic()
        self.hear(8, 150)
        elapsed_s = time.monotonic() - begun_at
        self.assertLessEqual(len(self.client.planned), 4 + elapsed_s / 0.6)

    def test_answered_call_is_not_given_up(self):
        """Guards against a second call for a version that is on its way."""
        self.client.answer_after(0.01, update(7))
        self.hear(8, 1)
        eventlet.sleep(0.1)
        self.assertEqual(self.events.names, [])


class RelayLoop:
    """Loop with a clock that the test sets, which runs nothing later."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time

    def call_later(self, seconds, callback, *arguments):
        return SimpleNamespace(cancel=lambda: None)

    def run_guarded(self, function, *arguments):
        function(*arguments)


class TestChangeRelay(unittest.TestCase):
    """The age of the data that one host gets from another."""

    def setUp(self):
        self.loop, self.age_s = RelayLoop(), 0.3
        relays = [
            ChangeRelay(
                self.loop,
                SimpleNamespace(send=self.send),
                PATIENT,
                lambda: self.age_s,
                lambda: 0.0,
                lambda: None,
            )
            for _ in range(2)
        ]
        self.source, self.follower = relays
        self.source.publish(update(5, True))
        # Times on the way and at the source, in seconds.
        self.way_there_s = self.held_s = self.way_back_s = 0.0

    def send(self, address, exchange):
        """Carry a poll to the source and its answer back."""
        self.loop.time += self.way_there_s
        target = exchange.encode().split()[1]
        self.source.handle(
            SimpleNamespace(respond=self.answers.append),
            SimpleNamespace(target=target),
        )
        self.loop.time += self.held_s
        self.source.publish(update(6)._replace(raw=b"{}", removed=["i-1"]))
        self.loop.time += self.way_back_s
        exchange.end(ReplicaAnswer(200, [], self.answers[0].body))

    def poll(self, way_there_s, held_s, way_back_s):
        self.way_there_s, self.held_s = way_there_s, held_s
        self.way_back_s, self.answers = way_back_s, []
        peer = SimpleNamespace(address=("127.0.0.2", 1))
        return self.follower.poll(peer, Position(0, 5)).age_s

    def test_time_on_the_way_counts_as_age(self):
        """Guards against data that grew old in a buffer and is taken for fresh."""
        self.assertAlmostEqual(self.poll(0.0, 0.7, 2.5), 2.8)

    def test_time_at_the_source_does_not_count_twice(self):
        """Guards against a sound source that is rejected for holding a poll."""
        self.assertAlmostEqual(self.poll(0.01, 0.7, 0.01), 0.32)

    def test_waiting_polls_are_limited(self):
        """Guards against polls that take a connection each, without a limit."""
        refused, answers = [], []
        self.source.max_waiting = 2
        self.source.on_refused = lambda: refused.append(1)
        connection = SimpleNamespace(respond=answers.append, on_disconnect=None)
        for _ in range(3):
            self.source.handle(connection, SimpleNamespace(target=b"/changes/0-5"))
        self.assertEqual([each.status for each in answers], [503])
        self.assertEqual(len(refused), 1)
        self.source.publish(update(6)._replace(raw=b"{}", removed=["i-1"]))
        self.assertEqual([each.status for each in answers], [503, 200, 200])

    def test_data_that_was_never_confirmed_is_old(self):
        """Guards against a host that relays a read which may be out of date."""
        self.age_s = float("inf")
        self.assertGreater(self.poll(0.0, 0.1, 0.0), 1e6)


class TestPlatformFollower(unittest.TestCase):
    """Resumption, lost history and lost contact."""

    def follow(self, results, interval_s=0.001):
        client, events = FakeClient(results), FakeEvents()
        self.client, self.updates, self.returned = client, [], []
        follower = PlatformFollower(
            client,
            PATIENT._replace(interval_s=interval_s),
            EventLoop(),
            Random(1),
            events,
            self.updates.append,
            lambda *reported: self.returned.append(reported),
        )
        follower.start()
        with eventlet.Timeout(3, False):
            while client.results:
                eventlet.sleep(0.005)
        eventlet.sleep(0.02)
        follower.stop()
        return client.calls_made, events.names

    def test_age_counts_from_what_an_answer_proves(self):
        """Guards against data that grew old on the way and is relayed as fresh."""
        client = FakeClient([update(5, True)])
        follower = PlatformFollower(
            client,
            PATIENT,
            EventLoop(),
            Random(1),
            FakeEvents(),
            lambda update: None,
            lambda *reported: None,
        )
        follower.start()
        self.addCleanup(follower.stop)
        eventlet.sleep(0.05)
        # A read that may be out of date proves nothing.
        self.assertGreater(follower.data_age_s, 1e6)
        client.answer_after(0.3, update(6)._replace(removed=["i-1"]))
        eventlet.sleep(0.32)
        # The change may have been sent when the call began.
        self.assertGreater(follower.data_age_s, 0.3)
        self.assertLess(follower.contact_age_s, 0.1)

    def test_waiting_call_ends_when_the_bounds_change(self):
        """Guards against a call that keeps the wait of settings no longer in force."""
        client, relay = FakeClient([update(5, True), update(6)]), FakeRelay([])
        relay.choose_source = lambda: None
        follower = PlatformFollower(
            client,
            WatchTiming.plan(60.0, 0.01, 30.0),
            EventLoop(),
            Random(1),
            FakeEvents(),
            lambda update: None,
            lambda *reported: None,
            relay,
        )
        follower.start()
        self.addCleanup(follower.stop)
        eventlet.sleep(0.05)
        self.assertGreater(client.planned[-1][1], 30.0)
        calls = len(client.planned)
        follower.timing = timing = WatchTiming.plan(4.0, 3.0, 3.0)
        eventlet.sleep(0.05)
        self.assertEqual(len(client.planned), calls + 1)
        self.assertLess(client.planned[-1][1], 1.0)
        self.assertEqual(relay.timing, timing)

    def test_resumes_at_the_last_revision(self):
        """Guards against changes that are missed between two watch calls."""
        calls, _ = self.follow([update(5, True), update(7), update(9)])
        self.assertEqual(calls[1:], [("watch", 5), ("watch", 7), ("watch", 9)])

    def test_first_read_is_used_with_the_changes_since_then(self):
        """Guards against using a replica or route that has been withdrawn."""
        self.follow([update(5, True)])
        self.assertEqual(self.updates, [])
        self.follow([update(5, True), update(7)])
        self.assertEqual([each.revision for each in self.updates], [5, 7])

    def test_first_read_is_used_alone_after_a_while(self):
        """Guards against a host that waits for changes it cannot get."""
        failures = [FAILURE] * 4
        with mock.patch("cicadalever.gateway._follower.MAX_UNCONFIRMED_S", 0.05):
            _, events = self.follow([update(5, True), *failures])
        self.assertEqual([each.revision for each in self.updates], [5])
        self.assertIn("started_unconfirmed", events)

    def test_catches_up_with_short_pauses(self):
        """Guards against falling behind when each answer has only some changes."""
        removed = [f"i-{n}" for n in range(100)]
        part = [update(5 + n)._replace(removed=removed) for n in range(1, 5)]
        calls, _ = self.follow([update(5, True), *part, update(99)], interval_s=1.0)
        self.assertIn(("watch", 9), calls)

    def test_lost_history_needs_a_fresh_read(self):
        """Guards against a loop of stale reads that are older than the history."""
        calls, events = self.follow([update(5, True), HistoryLost(), update(90, True)])
        expected = [("read_all", True), ("watch", 5), ("read_all", False)]
        self.assertEqual(calls, [*expected, ("watch", 90)])
        self.assertEqual(events, ["history_lost"])

    def test_history_that_stays_lost_is_read_with_pauses(self):
        """Guards against a loop of complete reads of a platform without history."""
        lost = [each for n in range(200) for each in (HistoryLost(), update(5, True))]
        begun_at = time.monotonic()
        calls, _ = self.follow([update(5, True), *lost])
        elapsed_s = time.monotonic() - begun_at
        reads = calls.count(("read_all", False))
        self.assertLessEqual(reads, 3 + elapsed_s / MIN_PAUSE_S)

    def test_calls_to_a_slow_platform_last_longer(self):
        """Guards against a slow platform whose answers are given up each time."""
        late = Failure(FailureCode.TIMEOUT, "late")
        self.follow([update(5, True), update(6), late, late, late, update(7)])
        margins = [timeout_s - wait_s for wait_s, timeout_s in self.client.planned]
        self.assertEqual(margins[1], PATIENT.min_margin_s)
        self.assertGreater(margins[4], 2.0 * PATIENT.min_margin_s)
        self.assertEqual(margins[:5], sorted(margins[:5]))

    def test_lost_contact_is_logged_once_and_starts_a_grace_period(self):
        """Guards against removing entries that expired during an outage."""
        failure = Failure(FailureCode.UNREACHABLE, "reset")
        calls, events = self.follow([update(5, True), failure, failure, update(6)])
        self.assertEqual(events, ["platform_lost", "platform_back"])
        self.assertEqual([grace_s for _, grace_s in self.returned], [None])
        self.assertEqual(calls[1:4], [("watch", 5)] * 3)

    def test_grace_after_a_new_era_is_bounded_by_the_answer_before(self):
        """Guards against a grace that counts from when a restore was noticed."""
        other = update(5, True)._replace(era=1)
        self.follow([update(5, True), update(6), HistoryLost(), other])
        ((outage, grace_s),) = self.returned
        self.assertIsNone(grace_s)
        self.assertEqual(outage.failed_at, outage.answered_at)
        self.assertTrue(0.0 < outage.answered_at < outage.returned_at)

    def test_what_a_stale_read_lacks_may_have_been_removed_before_it(self):
        """Guards against a grace that takes a stale first read for a current one."""
        self.follow([update(5, True), FAILURE, update(6)])
        ((outage, _),) = self.returned
        self.assertEqual(outage.answered_at, float("-inf"))
