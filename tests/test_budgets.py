"""Tests of the budgets of a process for what it holds for others."""

import unittest

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    Dropped,
    HeldKind,
    MemoryBudget,
)


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


class TestDescriptorBudget(unittest.TestCase):
    """Which connections may be opened beside those of other kinds."""

    def test_one_kind_leaves_the_others_their_own(self):
        """Guards against callers who take the descriptors of all other connections."""
        budget = DescriptorBudget(4100)
        while budget.has_room(DescriptorKind.CALLER):
            budget.take(DescriptorKind.CALLER)
        for kind in set(DescriptorKind) - {DescriptorKind.CALLER}:
            for _ in range(budget.guaranteed(kind)):
                self.assertTrue(budget.has_room(kind), kind)
                budget.take(kind)
            self.assertFalse(budget.has_room(kind), kind)
        self.assertLessEqual(sum(budget.open_by_kind.values()), 3800)
        self.assertGreater(sum(budget.open_by_kind.values()), 3700)

    def test_closed_connections_can_be_opened_again(self):
        """Guards against a host that counts closed connections for ever."""
        budget = DescriptorBudget(4100)
        for _ in range(3):
            taken = 0
            while budget.has_room(DescriptorKind.LINK):
                budget.take(DescriptorKind.LINK)
                taken += 1
            for _ in range(taken):
                budget.give_back(DescriptorKind.LINK)
            self.assertGreater(taken, budget.guaranteed(DescriptorKind.LINK))
        self.assertEqual(budget.open_by_kind[DescriptorKind.LINK], 0)

    def test_few_descriptors_leave_one_of_each_kind(self):
        """Guards against a host with few descriptors that opens no connection."""
        budget = DescriptorBudget(250)
        for kind in DescriptorKind:
            self.assertTrue(budget.has_room(kind))


class TestDescriptorShare(unittest.TestCase):
    """Which connection makes room for a new one."""

    def setUp(self):
        self.budget = DescriptorBudget(250)
        self.share = DescriptorShare(self.budget, DescriptorKind.CALLER)
        self.dropped = []
        self.told = []
        self.budget.on_dropped = lambda kind, cause: self.told.append((kind, cause))

    def open(self, name, *, closes=True):
        def drop():
            self.dropped.append(name)
            if closes:
                self.share.close(name)

        self.share.open(name, drop)

    def test_unused_go_before_the_longest_idle(self):
        """Guards against callers who lose their connection to silent ones."""
        for name in ("used", "again", "silent", "new"):
            self.open(name)
        for name in ("again", "used"):
            self.share.use(name)
            self.share.rest(name)
        while self.share.drop_waiting():
            pass
        self.assertEqual(self.dropped, ["silent", "new", "again", "used"])

    def test_stalled_request_goes_before_a_connection_that_has_just_been_opened(self):
        """Guards against new callers who are closed before they can send a byte."""
        for name in ("stalled", "in use", "silent"):
            self.open(name)
        self.share.receive("stalled")
        self.share.receive("in use")
        self.share.use("in use")
        self.open("new")
        while self.share.drop_waiting():
            pass
        self.assertEqual(self.dropped, ["silent", "stalled", "new"])
        causes = [cause for _, cause in self.told]
        self.assertEqual(causes, ["idle", "unfinished", "idle"])

    def test_connections_in_use_stay(self):
        """Guards against requests that end for a new connection."""
        self.open("busy")
        self.share.use("busy")
        self.assertFalse(self.share.make_room())
        self.assertEqual(self.dropped, [])
        self.assertEqual(self.told, [(DescriptorKind.CALLER, "full")])

    def test_connection_that_turns_out_to_be_used_stays(self):
        """Guards against a drop of a request whose bytes have just arrived."""
        self.open("arrived", closes=False)
        self.open("silent")
        self.assertTrue(self.share.drop_waiting())
        self.assertEqual(self.dropped, ["arrived", "silent"])
        self.assertEqual(self.told, [(DescriptorKind.CALLER, "idle")])
