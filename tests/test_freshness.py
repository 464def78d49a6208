"""Tests of the record of calls to the platform."""

import unittest

from cicadalever.freshness import Outage, PlatformContact


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
