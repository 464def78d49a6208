"""Tests of query state, fingerprints, silent owners and the planning of reads."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.queries import Query, QueryCoordinator, fingerprint_of
from cicadalever.queries._planner import ReadPlanner
from cicadalever.queries._silence import (
    MIN_OUTSTANDING,
    PING_AFTER_S,
    PING_TIMEOUT_S,
    SilenceDetector,
)
from cicadalever.scheduling import ReplicaSelector
from cicadalever.topology import Host, Replica
from cicadalever.transport import ReadAnswer, ReadAnswers, ReadMode

SHARDS = {"i/a": "s1", "i/b": "s2", "i/c": "s3"}


class TestQuery(unittest.TestCase):
    """Coverage of the pinned shards and acceptance of answers."""

    def setUp(self):
        self.query = Query("q", 7, SHARDS)

    def start(self, shard, replica="r"):
        return self.query.start_read(shard, replica, "host", ReadMode.NORMAL, 0.0)

    def answer(self, read, code="", snapshot=7, rows=b"[]"):
        return self.query.accept(
            ReadAnswer(read.number, code, "", snapshot, rows, 0.0, 0.0, False)
        )

    def test_coverage_is_relative_to_the_pinned_shards(self):
        """Guards against coverage relative to the shards that answered."""
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
        """Guards against accepting rows of a read that was given up or never sent."""
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
        self.assertEqual(self.query.redundant_reads("i/a"), [])

    def test_may_have_run_unless_every_read_was_refused(self):
        """Guards against an outcome "not run" for a request that may have run."""
        for code, may_have_run in (("shed", False), ("lost", True), ("timeout", True)):
            with self.subTest(code=code):
                self.setUp()
                read = self.start("i/a")
                self.assertTrue(self.query.may_have_run, "while it is outstanding")
                self.answer(read, code=code)
                self.assertEqual(self.query.may_have_run, may_have_run)


class TestQueryIds(unittest.TestCase):
    """Ids of queries, by which answers find them."""

    def start_coordinator(self):
        parts = [mock.MagicMock() for _ in range(9)]
        features = SimpleNamespace(canary=False, admission=False)
        return QueryCoordinator(
            *parts, features=features, rng=Random(1), max_answer_bytes=1
        )

    def test_answer_to_a_former_process_is_dropped(self):
        """Guards against rows of another request after a restart of the entry."""
        former, current = self.start_coordinator(), self.start_coordinator()
        former_id, current_id = former._next_query_id(), current._next_query_id()
        gather = SimpleNamespace(mailbox=mock.MagicMock())
        current._gathers[current_id] = gather
        late = ReadAnswer(1, "", "", 7, b"[]", 0.0, 0.0, False)
        current.receive(ReadAnswers(former_id, [late]))
        gather.mailbox.put.assert_not_called()
        current.receive(ReadAnswers(current_id, [late]))
        gather.mailbox.put.assert_called_once_with([late])


class TestFingerprint(unittest.TestCase):
    """Equality of fingerprints."""

    def test_ignores_the_order_of_parameters(self):
        """Guards against a crashing request that counts as a new one when re-sent."""
        one = fingerprint_of("r", "read", {"a": 1, "b": 2})
        other = fingerprint_of("r", "read", {"b": 2, "a": 1})
        self.assertEqual(one, other)
        self.assertNotEqual(one, fingerprint_of("r", "run", {"a": 1, "b": 2}))


class TestSilenceDetector(unittest.TestCase):
    """Detection of owners that no longer respond."""

    def setUp(self):
        self.detector = SilenceDetector()

    def test_answering_or_little_used_owner_is_not_silent(self):
        """Guards against reporting an owner that is busy or has few reads."""
        self.detector.reads_sent("a", MIN_OUTSTANDING + 1, 0.0)
        self.detector.heard_from("a", PING_AFTER_S)
        self.assertEqual(self.detector.check(1.5 * PING_AFTER_S), ([], []))
        self.detector.reads_sent("b", MIN_OUTSTANDING - 1, 0.0)
        self.detector.reads_ended("a", 2)
        self.assertEqual(self.detector.check(9.0), ([], []))

    def test_owner_that_answers_the_ping_is_not_silent(self):
        """Guards against reporting an owner whose reads take long."""
        self.detector.reads_sent("a", MIN_OUTSTANDING, 0.0)
        self.assertEqual(self.detector.check(2 * PING_AFTER_S), (["a"], []))
        self.detector.heard_from("a", 2 * PING_AFTER_S + 0.01)
        self.assertEqual(self.detector.check(2 * PING_AFTER_S + 0.02), ([], []))
        self.assertFalse(self.detector.is_silent("a"))

    def test_silent_owner_is_reported_once_until_heard(self):
        """Guards against sending further reads to a paused owner."""
        self.detector.reads_sent("a", MIN_OUTSTANDING, 0.0)
        self.assertEqual(self.detector.check(2 * PING_AFTER_S), (["a"], []))
        late = 2 * PING_AFTER_S + 2 * PING_TIMEOUT_S
        self.assertEqual(self.detector.check(late), ([], ["a"]))
        self.assertEqual(self.detector.check(2 * late), ([], []))
        self.assertTrue(self.detector.is_silent("a"))
        self.detector.heard_from("a", 2 * late)
        self.assertFalse(self.detector.is_silent("a"))


class TestReadPlanner(unittest.TestCase):
    """Selection of the replica for each read."""

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

    def test_trials_of_a_request_use_one_replica(self):
        """Guards against a crashing request that is tried on many replicas."""
        plans = {self.planner.plan("i/a", ReadMode.CANARY).replica.id for _ in range(9)}
        self.assertEqual(len(plans), 1)
        suspect = self.planner.plan("i/a", ReadMode.EXCLUSIVE)
        self.assertEqual({suspect.replica.id}, plans)

    def test_trial_skips_a_shard_without_usable_replicas(self):
        """Guards against a query that fails because one shard is down."""
        chosen = self.planner.choose_trial_shard(list(SHARDS))
        self.unreachable |= {f"{SHARDS[chosen]}-{letter}" for letter in "ab"}
        self.assertNotEqual(self.planner.choose_trial_shard(list(SHARDS)), chosen)
        self.assertIsNone(self.planner.plan(chosen, ReadMode.CANARY))

    def test_hedge_uses_another_replica(self):
        """Guards against a hedge that is sent to the late replica itself."""
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
