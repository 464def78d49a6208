"""Tests of the budgets of a process for what it holds for others."""

import unittest

from cicadalever.budgets import Dropped, HeldKind, MemoryBudget


class TestMemoryBudget(unittest.TestCase):
    """Which holder is dropped, and what is counted."""

    def setUp(self):
        self.now = 0.0
        self.budget = MemoryBudget(1000, clock=lambda: self.now)
        self.dropped = []

    def hold(self, name, kind, size):
        self.budget.hold(name, kind, size, lambda: self.dropped.append(name))

    def test_stalled_holder_is_dropped_before_a_larger_new_one(self):
        """Guards against new uploads that fail for those of callers who pause."""
        self.hold("stalled", HeldKind.UPLOAD, 400)
        self.now = 5.0
        self.hold("new", HeldKind.UPLOAD, 550)
        self.hold("answer", HeldKind.ANSWER, 100)
        self.assertEqual(self.dropped, ["stalled"])

    def test_kinds_share_one_sum(self):
        """Guards against a process over its limit although each kind keeps its own."""
        for index, kind in enumerate(HeldKind):
            self.hold(index, kind, 300)
        self.assertLessEqual(self.budget.held_bytes, 1000)
        self.assertEqual(sum(self.budget.bytes_by_kind.values()), 900)

    def test_pinned_bytes_are_bounded_and_stay(self):
        """Guards against requests in progress that lose their bytes."""
        told = []
        self.budget.on_dropped = told.append
        self.assertTrue(self.budget.pin("request", HeldKind.REQUEST, 400))
        self.assertFalse(self.budget.pin("second", HeldKind.REQUEST, 101))
        self.assertEqual(told, [Dropped(HeldKind.REQUEST, 101, 0.0)])
        self.hold("upload", HeldKind.UPLOAD, 700)
        self.assertEqual(self.dropped, ["upload"])
        self.budget.release("request")
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertTrue(self.budget.pin("third", HeldKind.REQUEST, 500))

    def test_drop_is_told_with_kind_size_and_age(self):
        """Guards against drops that leave no trace."""
        told = []
        self.budget.on_dropped = told.append
        self.hold("a", HeldKind.RESPONSE, 600)
        self.now = 2.0
        self.hold("b", HeldKind.ANSWER, 600)
        self.assertEqual(told, [Dropped(HeldKind.RESPONSE, 600, 2.0)])

    def test_holder_that_grows_keeps_its_age(self):
        """Guards against senders that renew their age with each byte."""
        self.hold("grows", HeldKind.UPLOAD, 1)
        self.now = 60.0
        self.hold("grows", HeldKind.UPLOAD, 200)
        self.hold("young", HeldKind.UPLOAD, 900)
        self.assertEqual(self.dropped, ["grows"])
