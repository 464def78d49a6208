"""Tests of the choice of a replica."""

import unittest
from collections import Counter
from random import Random

from cicadalever.discovery import ReplicaEntry, ReplicaState
from cicadalever.placement import LeastCostSelector, ReadOutcome


def replica(replica_id, data_centre="a"):
    """Return a ready replica."""
    return ReplicaEntry(
        replica_id,
        "s",
        ("10.0.0.1", 80),
        data_centre,
        2,
        ReplicaState.READY,
        0.0,
        1,
        1,
    )


class TestPlacement(unittest.TestCase):
    """Choices between replicas of one service, with seeded randomness."""

    def setUp(self):
        self.selector = LeastCostSelector("a", Random(1))
        self.near, self.far = replica("near", "a"), replica("far", "b")

    def choose(self, now=0.0, **options):
        both = [self.far, self.near]
        return self.selector.choose(both, now, route="r", **options).id

    def run_read(self, replica_id, latency_s, now, end=ReadOutcome.ANSWERED):
        self.selector.record_start(replica_id, self, now - latency_s)
        return self.selector.record_end(replica_id, self, end, "r", now)

    def test_equal_replicas_near_first(self):
        """Guards against bytes between data centres without a gain."""
        self.assertEqual({self.choose() for _ in range(50)}, {"near"})

    def test_equal_replicas_of_one_data_centre_share(self):
        """Guards against crowding on one of two equal replicas."""
        pair = [replica("x"), replica("y")]
        choices = Counter(
            self.selector.choose(pair, 0.0, route="r").id for _ in range(200)
        )
        self.assertGreater(min(choices.values()), 50)

    def test_slow_replica_is_avoided_and_tried_again(self):
        """Guards against staying with a slow replica, and against never returning."""
        for turn in range(6):
            self.run_read("near", 0.2, 0.1 * turn)
        self.assertEqual(self.choose(now=0.6), "far")
        self.assertEqual(self.choose(now=60.0), "near")

    def test_overdue_read_moves_others_away(self):
        """Guards against queueing behind a replica that is paused."""
        self.selector.record_start("near", 1, 0.0)
        self.assertEqual(self.choose(now=0.01), "near")
        self.assertEqual(self.choose(now=0.1), "far")

    def test_failures_eject_and_a_trial_follows(self):
        """Guards against sending on to a replica that fails every request."""
        ejected = [
            self.run_read("near", 0.01, 0.01 * turn, ReadOutcome.FAILED)
            for turn in range(3)
        ]
        self.assertEqual(ejected, [False, False, True])
        self.assertEqual(self.choose(now=0.1), "far")
        self.assertEqual(self.choose(now=30.0), "near")

    def test_unreachable_replica_is_ejected_at_once(self):
        """Guards against a connection attempt for each read."""
        self.assertTrue(self.run_read("near", 0.4, 0.4, ReadOutcome.UNREACHABLE))
        self.assertEqual(self.choose(now=0.5), "far")

    def test_ejected_replica_is_better_than_none(self):
        """Guards against refusing while a replica may serve."""
        for replica_id in ("near", "far"):
            self.run_read(replica_id, 0.4, 0.4, ReadOutcome.UNREACHABLE)
        self.assertIn(self.choose(now=0.5), ("near", "far"))

    def test_excluded_replicas_are_not_chosen(self):
        """Guards against a second read from the same replica."""
        self.assertEqual(self.choose(exclude={"near"}), "far")
        both = [self.near, self.far]
        chosen = self.selector.choose(both, 0.0, route="r", exclude={"near", "far"})
        self.assertIsNone(chosen)
