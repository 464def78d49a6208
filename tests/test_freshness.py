"""Tests of the record of calls to the platform."""

import unittest
from itertools import product

from cicadalever.freshness import (
    AnswerMargin,
    GraceBounds,
    Outage,
    PlatformContact,
    WatchTiming,
)


class TestPlatformContact(unittest.TestCase):
    """What the ends of calls tell of an outage."""

    def test_first_failure_dates_from_the_last_answer(self):
        """Guards against an outage that begins only when a lost call is given up."""
        contact = PlatformContact(now=0.0)
        contact.record_answer(now=1.0)
        self.assertTrue(contact.record_failure(called_at=2.0))
        self.assertTrue(contact.is_lost)
        self.assertEqual(contact.record_answer(now=7.0), Outage(1.0, 1.0, 7.0))
        self.assertFalse(contact.is_lost)

    def test_later_failures_date_from_their_calls(self):
        """Guards against an outage that seems to end at its first failure."""
        contact = PlatformContact(now=0.0)
        for called_at in (2.0, 3.0, 4.0):
            contact.record_failure(called_at)
        self.assertEqual(contact.record_answer(now=4.5), Outage(0.0, 4.0, 4.5))

    def test_failure_after_relayed_answers(self):
        """Guards against a silent connection whose loss is dated too late."""
        contact = PlatformContact(now=0.0)
        contact.record_answer(now=6.0, is_relayed=True)
        contact.record_failure(called_at=6.5)
        self.assertEqual(contact.record_answer(now=8.0), Outage(6.0, 0.0, 8.0))

    def test_relayed_answer_does_not_turn_the_time_back(self):
        """Guards against data that seems older after an answer of another host."""
        contact = PlatformContact(now=0.0)
        contact.record_answer(now=5.0)
        contact.record_answer(now=4.0)
        self.assertEqual(contact.answered_at, 5.0)
        contact.record_failure(called_at=6.0)
        contact.record_failure(called_at=7.0)
        outage = contact.record_answer(now=6.5)
        self.assertEqual(outage, Outage(5.0, 7.0, 7.0))


class TestGraceBounds(unittest.TestCase):
    """Until when entries are kept that are missing after an outage."""

    def test_removed_replica_is_not_used_beyond_the_bounds(self):
        """Guards against a grace that counts from when a host notices the return."""
        for contact_s, drain_s in product((0.5, 2.0, 4.0, 9.0), (0.2, 1.0, 3.0, 8.0)):
            bounds = GraceBounds(contact_s, drain_s)
            for failed_at, returned_at in product((0.0, 1.0, 7.0), (7.0, 12.0)):
                outage = Outage(0.0, failed_at, returned_at)
                # The earliest return and removal that the outage allows.
                must_end = max(drain_s, failed_at + contact_s)
                self.assertLess(bounds.end_of_grace(outage), must_end)

    def test_expired_entries_have_time_to_come_back(self):
        """Guards against dropping the replicas of an outage that was seen to end."""
        for drain_s in (0.5, 3.0):
            bounds = GraceBounds(4.0, drain_s)
            for failed_s in (0.1, 1.5):
                outage = Outage(0.0, 20.0 - failed_s, 20.0)
                self.assertGreaterEqual(bounds.end_of_grace(outage), 22.0)

    def test_grace_is_not_longer_than_entries_need(self):
        """Guards against removed replicas in use while long bounds last."""
        outage = Outage(0.0, 19.0, 20.0)
        self.assertEqual(GraceBounds(60.0, 60.0).end_of_grace(outage), 22.5)
        self.assertEqual(GraceBounds(60.0, 60.0).end_of_grace(outage, 0.5), 20.5)


class TestAnswerMargin(unittest.TestCase):
    """The time that is left for the answer of a platform that may be slow."""

    def test_slower_platform_is_heard(self):
        """Guards against calls that are given up just before each answer."""
        margin = AnswerMargin(min_s=0.5, max_s=1.2)
        for _ in range(3):
            margin.record_timeout()
        self.assertGreater(margin.seconds, 1.1)
        margin.record_timeout()
        self.assertEqual(margin.seconds, 1.2)

    def test_steady_lateness_causes_no_time_out(self):
        """Guards against a margin that shrinks until the next call is lost."""
        for late_s in (0.1, 0.25, 0.5, 0.6):
            margin = AnswerMargin(min_s=0.5, max_s=1.2)
            for _ in range(200):
                if late_s < margin.seconds:
                    margin.record_answer(late_s)
                else:
                    margin.record_timeout()
            self.assertGreaterEqual(margin.seconds, min(1.2, 2.0 * late_s))

    def test_steady_slow_platform_is_heard(self):
        """Guards against a sound platform that is taken for lost for good."""
        for contact_s in (2.0, 3.5, 4.0, 6.0):
            times = WatchTiming.plan(contact_s, 3.0, 3.0)
            for late_s in (0.6, 1.05, 1.25, 1.9):
                margin = AnswerMargin(times.min_margin_s, times.max_margin_s)
                heard = []
                for _ in range(40):
                    call = times.plan_call(0.0, float("-inf"), margin.seconds, 0.0)
                    heard.append(call.timeout_s > call.wait_s + late_s)
                    if heard[-1]:
                        margin.record_answer(late_s)
                    else:
                        margin.record_timeout()
                self.assertIn(True, heard[:10])
                self.assertTrue(all(heard[heard.index(True) :]))

    def test_patience_ends_with_a_prompt_answer(self):
        """Guards against a lost call that is found late because of a former outage."""
        margin = AnswerMargin(min_s=0.5, max_s=1.2)
        for _ in range(20):
            margin.record_timeout()
        self.assertGreater(margin.seconds, 2.0)
        margin.record_answer(0.01)
        self.assertLessEqual(margin.seconds, 1.2)

    def test_slow_pages_are_read(self):
        """Guards against a start without an end because of a slow link."""
        times = WatchTiming.plan(2.0, 3.0, 3.0)
        timeouts = [times.plan_read_timeout_s(number) for number in range(20)]
        self.assertEqual(timeouts[0], times.read_timeout_s)
        self.assertEqual(timeouts, sorted(timeouts))
        self.assertEqual(timeouts[-1], 10.0)

    def test_margin_shrinks_slowly(self):
        """Guards against a host that stays slow to notice a lost call."""
        margin = AnswerMargin(min_s=0.5, max_s=1.2)
        margin.record_answer(0.6)
        margin.record_answer(0.0)
        self.assertGreater(margin.seconds, 1.0)
        for _ in range(40):
            margin.record_answer(0.0)
        self.assertLess(margin.seconds, 0.52)
