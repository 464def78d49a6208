"""Tests of the record of calls to the platform."""

import unittest
from itertools import product

from cicadalever.freshness import GraceBounds, Outage, PlatformContact


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
