"""Tests of queries over many shards, without network or clock."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cicadalever.gather import (
    GatherEndReason,
    GatherState,
    ShardAnswer,
    merge_top_records,
)


class TestMergeTopRecords(unittest.TestCase):
    """The merge against a plain sort."""

    @given(st.lists(st.binary(max_size=80), max_size=8), st.integers(0, 10))
    def test_equals_a_sort(self, bodies, count):
        """Guards against lost, reordered or invented records."""
        answers = [ShardAnswer(str(n), str(n), body) for n, body in enumerate(bodies)]
        records = [
            body[at : at + 16]
            for body in bodies
            for at in range(0, len(body), 16)
            if len(body[at : at + 16]) == 16
        ]
        expected = b"".join(sorted(records, reverse=True)[:count])
        self.assertEqual(merge_top_records(answers, count), expected)


class TestGatherState(unittest.TestCase):
    """Decisions of one query over ten shards with a target of 100 ms."""

    def setUp(self):
        self.state = GatherState(10, 0.75, 0.0, answer_by=0.09, deadline=1.0)
        for shard in range(10):
            self.state.record_read_start(shard)

    def answer(self, shards, now):
        for shard in shards:
            self.state.record_answer(shard, now)

    def test_complete_answer_is_sent_at_once(self):
        """Guards against holding back an answer that is ready."""
        self.answer(range(10), 0.01)
        self.assertEqual(self.state.decide(0.01).end_reason, GatherEndReason.COMPLETE)

    def test_late_shards_are_read_again(self):
        """Guards against waiting for a paused replica for its whole pause."""
        self.answer(range(8), 0.01)
        step = self.state.decide(0.011)
        self.assertEqual((step.end_reason, step.hedges), (None, []))
        self.assertAlmostEqual(step.wake_at, 0.02)
        self.assertEqual(self.state.decide(0.021).hedges, [8, 9])

    def test_a_shard_is_hedged_once(self):
        """Guards against spending the allowance on one shard."""
        self.answer(range(8), 0.01)
        for shard in self.state.decide(0.021).hedges:
            self.state.mark_hedged(shard)
        self.assertEqual(self.state.decide(0.03).hedges, [])

    def test_no_second_reads_while_most_shards_are_late(self):
        """Guards against a slow start that spends the allowance of all services."""
        self.answer(range(3), 0.01)
        step = self.state.decide(0.05)
        self.assertEqual((step.end_reason, step.hedges), (None, []))
        self.answer(range(3, 8), 0.06)
        self.assertEqual(self.state.decide(0.06).hedges, [8, 9])

    def test_a_single_shard_is_hedged_too(self):
        """Guards against waiting for one replica when there is nothing to compare."""
        state = GatherState(1, 1.0, 0.0, answer_by=0.09, deadline=1.0)
        state.record_read_start(0)
        self.assertEqual(state.decide(0.03).hedges, [])
        self.assertEqual(state.decide(0.037).hedges, [0])

    def test_answers_with_enough_at_the_target(self):
        """Guards against a whole answer that comes too late to be of use."""
        self.answer(range(8), 0.01)
        self.assertIsNone(self.state.decide(0.089).end_reason)
        self.assertEqual(
            self.state.decide(0.09).end_reason, GatherEndReason.ENOUGH_AT_TARGET
        )

    def test_waits_past_the_target_for_enough(self):
        """Guards against an answer below the least share."""
        self.answer(range(7), 0.01)
        self.assertIsNone(self.state.decide(0.09).end_reason)
        self.answer([7], 0.1)
        self.assertIsNone(self.state.decide(0.1).end_reason)
        self.assertEqual(
            self.state.decide(0.135).end_reason, GatherEndReason.ENOUGH_LATE
        )

    def test_fails_at_once_when_too_few_can_answer(self):
        """Guards against waiting for the deadline without hope."""
        for shard in range(3):
            self.state.record_read_failure(shard)
            self.state.mark_exhausted(shard)
        self.assertEqual(self.state.decide(0.01).end_reason, GatherEndReason.TOO_FEW)

    def test_ends_when_nothing_more_can_come(self):
        """Guards against waiting for shards that are lost."""
        self.answer(range(9), 0.01)
        self.state.record_read_failure(9)
        self.state.mark_exhausted(9)
        self.assertEqual(
            self.state.decide(0.011).end_reason, GatherEndReason.NOTHING_LEFT
        )

    def test_second_answer_of_a_shard_is_not_a_part(self):
        """Guards against the same shard twice in one answer."""
        self.state.record_read_start(0)
        self.assertTrue(self.state.record_answer(0, 0.01))
        self.assertFalse(self.state.record_answer(0, 0.02))
        self.assertEqual(self.state.answer_count, 1)

    def test_times_out(self):
        """Guards against an answer after the caller has left."""
        self.assertEqual(self.state.decide(1.0).end_reason, GatherEndReason.TIMED_OUT)

    def test_share_of_whole_shards(self):
        """Guards against asking for one shard more because of rounding."""
        needed = [GatherState(n, 0.89, 0, 1, 2).required_answers for n in (100, 20, 90)]
        self.assertEqual(needed, [89, 18, 81])
        self.assertEqual(GatherState(20, 0.0, 0, 1, 2).required_answers, 1)
