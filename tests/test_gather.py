"""Tests of the decisions and the merge of queries over many shards."""

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
    """Comparison of the merge with a plain sort."""

    @given(st.lists(st.binary(max_size=80), max_size=8), st.integers(0, 10))
    def test_equals_a_sort(self, bodies, count):
        """Guards against records that are lost, out of order or made up."""
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

    def test_late_shards_are_hedged(self):
        """Guards against waiting until a paused replica resumes."""
        self.answer(range(8), 0.01)
        decision = self.state.decide(0.011)
        self.assertEqual((decision.end_reason, decision.hedges), (None, []))
        self.assertAlmostEqual(decision.wake_at, 0.02)
        self.assertEqual(self.state.decide(0.021).hedges, [8, 9])

    def test_last_answer_after_a_lost_shard_ends_the_query(self):
        """Guards against waiting for a timer when no shard can answer any more."""
        self.state.mark_exhausted(9)
        self.state.record_read_failure(9)
        self.answer(range(8), 0.01)
        self.assertFalse(self.state.needs_decision(0.01))
        self.answer([8], 0.011)
        self.assertTrue(self.state.needs_decision(0.011))
        self.assertEqual(
            self.state.decide(0.011).end_reason, GatherEndReason.NOTHING_LEFT
        )

    def test_a_shard_is_hedged_once(self):
        """Guards against spending the retry budget on one shard."""
        self.answer(range(8), 0.01)
        for shard in self.state.decide(0.021).hedges:
            self.state.mark_hedged(shard)
        self.assertEqual(self.state.decide(0.03).hedges, [])

    def test_no_hedges_while_most_shards_are_late(self):
        """Guards against a slow start that spends the retry budget of all services."""
        self.answer(range(3), 0.01)
        decision = self.state.decide(0.05)
        self.assertEqual((decision.end_reason, decision.hedges), (None, []))
        self.answer(range(3, 8), 0.06)
        self.assertEqual(self.state.decide(0.06).hedges, [8, 9])

    def test_a_single_shard_is_hedged_too(self):
        """Guards against no hedge at all, since no other shard can set its delay."""
        state = GatherState(1, 1.0, 0.0, answer_by=0.09, deadline=1.0)
        state.record_read_start(0)
        self.assertEqual(state.decide(0.03).hedges, [])
        self.assertEqual(state.decide(0.037).hedges, [0])

    def test_answers_with_enough_at_the_target(self):
        """Guards against a complete answer that misses the target latency."""
        self.answer(range(8), 0.01)
        self.assertIsNone(self.state.decide(0.089).end_reason)
        self.assertEqual(
            self.state.decide(0.09).end_reason, GatherEndReason.ENOUGH_AT_TARGET
        )

    def test_waits_past_the_target_for_enough(self):
        """Guards against an answer with less than the required share of shards."""
        self.answer(range(7), 0.01)
        self.assertIsNone(self.state.decide(0.09).end_reason)
        self.answer([7], 0.1)
        self.assertIsNone(self.state.decide(0.1).end_reason)
        self.assertEqual(
            self.state.decide(0.135).end_reason, GatherEndReason.ENOUGH_LATE
        )

    def test_fails_at_once_when_too_few_can_answer(self):
        """Guards against waiting for the deadline once the query cannot succeed."""
        for shard in range(3):
            self.state.record_read_failure(shard)
            self.state.mark_exhausted(shard)
        self.assertEqual(self.state.decide(0.01).end_reason, GatherEndReason.TOO_FEW)

    def test_ends_when_nothing_more_can_come(self):
        """Guards against waiting for shards that cannot answer any more."""
        self.answer(range(9), 0.01)
        self.state.record_read_failure(9)
        self.state.mark_exhausted(9)
        self.assertEqual(
            self.state.decide(0.011).end_reason, GatherEndReason.NOTHING_LEFT
        )

    def test_second_answer_of_a_shard_is_ignored(self):
        """Guards against an answer that contains the same shard twice."""
        self.state.record_read_start(0)
        self.assertTrue(self.state.record_answer(0, 0.01))
        self.assertFalse(self.state.record_answer(0, 0.02))
        self.assertEqual(self.state.answer_count, 1)

    def test_times_out(self):
        """Guards against an answer after the caller has given up."""
        self.assertEqual(self.state.decide(1.0).end_reason, GatherEndReason.TIMED_OUT)

    def test_required_share_is_rounded_up(self):
        """Guards against requiring one shard more because of rounding errors."""
        required = [
            GatherState(n, 0.89, 0, 1, 2).required_answers for n in (100, 20, 90)
        ]
        self.assertEqual(required, [89, 18, 81])
        self.assertEqual(GatherState(20, 0.0, 0, 1, 2).required_answers, 1)
