"""Tests of the query aggregate."""

import unittest
from random import Random
from types import SimpleNamespace

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.queries import Query, fingerprint_of
from cicadalever.queries._planner import ReadPlanner
from cicadalever.queries._silence import (
    MIN_OUTSTANDING,
    PING_TIMEOUT_S,
    QUIET_S,
    SilenceDetector,
)
from cicadalever.scheduling import ReplicaSelector
from cicadalever.topology import Host, Replica
from cicadalever.transport import ReadAnswer, ReadMode

SHARDS = {"i/a": "s1", "i/b": "s2", "i/c": "s3"}


class TestQuery(unittest.TestCase):
    """Coverage against the pinned map."""

    def setUp(self):
        self.query = Query("q", 7, SHARDS)

    def start(self, shard, replica="r"):
        return self.query.start_read(shard, replica, "host", ReadMode.NORMAL, 0.0)

    def answer(self, read, code="", snapshot=7, rows=b"[]"):
        return self.query.accept(
            ReadAnswer(read.number, code, "", snapshot, rows, 0.0, 0.0, False)
        )

    def test_coverage_counts_the_pinned_map(self):
        """Guards against coverage that is counted against what answered."""
        self.answer(self.start("i/a"))
        coverage = self.query.coverage()
        self.assertEqual((coverage.total, coverage.covered), (3, ("i/a",)))
        self.assertEqual([m.shard for m in coverage.missing], ["i/b", "i/c"])
        self.assertAlmostEqual(coverage.fraction, 1 / 3)

    def test_rows_of_another_snapshot_are_dropped(self):
        """Guards against an answer that mixes snapshots."""
        _, failure = self.answer(self.start("i/a"), snapshot=8)
        self.assertEqual(failure.code, FailureCode.UNKNOWN)
        self.assertEqual(self.query.rows, {})

    def test_late_and_unknown_answers_are_dropped(self):
        """Guards against rows for a read that was given up or never sent."""
        read = self.start("i/a")
        self.query.give_up(read, Failure(FailureCode.CANCELLED, ""))
        self.assertIsNone(self.answer(read))
        self.assertIsNone(self.answer(read._replace(number=99)))
        self.assertFalse(self.query.is_covered("i/a"))

    def test_first_rows_of_a_shard_stay(self):
        """Guards against a hedged read that replaces rows already counted."""
        first, second = self.start("i/a", "r1"), self.start("i/a", "r2")
        self.answer(second, rows=b"[2]")
        self.answer(first, rows=b"[1]")
        self.assertEqual(self.query.rows["i/a"], b"[2]")
        self.assertEqual(self.query.rivals_of("i/a"), [])

    def test_not_run_only_if_every_read_was_refused(self):
        """Guards against "not run" being said of work that may have run."""
        for code, may_have_run in (("shed", False), ("lost", True), ("timeout", True)):
            with self.subTest(code=code):
                self.setUp()
                read = self.start("i/a")
                self.assertTrue(self.query.may_have_run, "while it is outstanding")
                self.answer(read, code=code)
                self.assertEqual(self.query.may_have_run, may_have_run)


class TestFingerprint(unittest.TestCase):
    """Equality of fingerprints."""

    def test_ignores_the_order_of_parameters(self):
        """Guards against a re-sent poison request that counts as a new one."""
        one = fingerprint_of("r", "read", {"a": 1, "b": 2})
        other = fingerprint_of("r", "read", {"b": 2, "a": 1})
        self.assertEqual(one, other)
        self.assertNotEqual(one, fingerprint_of("r", "run", {"a": 1, "b": 2}))


class TestSilenceDetector(unittest.TestCase):
    """Owners that stop answering."""

    def setUp(self):
        self.detector = SilenceDetector()

    def test_answers_and_few_reads_are_no_silence(self):
        """Guards against giving up an owner that is busy or hardly used."""
        self.detector.sent("a", MIN_OUTSTANDING + 1, 0.0)
        self.detector.heard("a", QUIET_S)
        self.assertEqual(self.detector.check(1.5 * QUIET_S), ([], []))
        self.detector.sent("b", MIN_OUTSTANDING - 1, 0.0)
        self.detector.ended("a", 2)
        self.assertEqual(self.detector.check(9.0), ([], []))

    def test_slow_reads_of_an_owner_that_answers_pings(self):
        """Guards against giving up an owner whose reads take long."""
        self.detector.sent("a", MIN_OUTSTANDING, 0.0)
        self.assertEqual(self.detector.check(2 * QUIET_S), (["a"], []))
        self.detector.heard("a", 2 * QUIET_S + 0.01)
        self.assertEqual(self.detector.check(2 * QUIET_S + 0.02), ([], []))
        self.assertFalse(self.detector.is_silent("a"))

    def test_silent_owner_is_reported_once_until_heard(self):
        """Guards against a paused owner that keeps all reads sent to it."""
        self.detector.sent("a", MIN_OUTSTANDING, 0.0)
        self.assertEqual(self.detector.check(2 * QUIET_S), (["a"], []))
        late = 2 * QUIET_S + 2 * PING_TIMEOUT_S
        self.assertEqual(self.detector.check(late), ([], ["a"]))
        self.assertEqual(self.detector.check(2 * late), ([], []))
        self.assertTrue(self.detector.is_silent("a"))
        self.detector.heard("a", 2 * late)
        self.assertFalse(self.detector.is_silent("a"))


class TestReadPlanner(unittest.TestCase):
    """The replica of each read."""

    HOST = Host("h", "127.0.0.1:7", "dc1", "region-1")

    def setUp(self):
        self.unreachable = set()
        self.query = Query("q", 7, SHARDS)
        replicas = {
            service: tuple(
                Replica(f"{service}-{letter}", service, "", "dc1", 2, 12)
                for letter in "ab"
            )
            for service in SHARDS.values()
        }
        view = SimpleNamespace(
            is_draining=self.unreachable.__contains__,
            owner_of=lambda replica: self.HOST,
            region="region-1",
        )
        coordinator = SimpleNamespace(
            view=view,
            is_reachable=lambda address: True,
            selector=ReplicaSelector(Random(1)),
        )
        configuration = SimpleNamespace(replicas_of=replicas.__getitem__)
        self.planner = ReadPlanner(coordinator, self.query, configuration, 4)

    def send(self, plan):
        return self.query.start_read(plan.shard, plan.replica.id, "h", plan.mode, 0.0)

    def test_copies_meet_at_one_replica(self):
        """Guards against a crashing request that is tried on many replicas."""
        plans = {self.planner.plan("i/a", ReadMode.CANARY).replica.id for _ in range(9)}
        self.assertEqual(len(plans), 1)
        suspect = self.planner.plan("i/a", ReadMode.EXCLUSIVE)
        self.assertEqual({suspect.replica.id}, plans)

    def test_trial_leaves_a_shard_without_replicas(self):
        """Guards against a query that is refused because one shard is down."""
        named = self.planner.choose_trial_shard(list(SHARDS))
        self.unreachable |= {f"{SHARDS[named]}-{letter}" for letter in "ab"}
        self.assertNotEqual(self.planner.choose_trial_shard(list(SHARDS)), named)
        self.assertIsNone(self.planner.plan(named, ReadMode.CANARY))

    def test_hedge_goes_elsewhere(self):
        """Guards against a hedge to the replica that is late."""
        for mode in (ReadMode.NORMAL, ReadMode.CANARY):
            self.setUp()
            first = self.planner.plan("i/b", mode)
            self.send(first)
            hedge = self.planner.plan_hedge("i/b", mode)
            self.assertNotEqual(hedge.replica, first.replica)

    def test_single_replica_is_not_hedged(self):
        """Guards against an extra read that cannot help."""
        self.unreachable.add("s1-a")
        self.assertIsNone(self.planner.plan_hedge("i/a", ReadMode.NORMAL))
