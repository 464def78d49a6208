"""Tests of the query aggregate."""

import unittest

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.queries import Query, fingerprint_of
from cicadalever.queries._silence import (
    MIN_OUTSTANDING,
    PING_TIMEOUT_S,
    QUIET_S,
    SilenceDetector,
)
from cicadalever.transport import ReadAnswer, Trial

SHARDS = {"i/a": "s1", "i/b": "s2", "i/c": "s3"}


class TestQuery(unittest.TestCase):
    """Coverage against the pinned map."""

    def setUp(self):
        self.query = Query("q", 7, SHARDS)

    def start(self, shard, replica="r"):
        return self.query.start_read(shard, replica, "host", Trial.NORMAL, 0.0)

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
