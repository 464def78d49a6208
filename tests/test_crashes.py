"""Tests of the count of crashes by request."""

import unittest

from cicadalever.crashes import CrashCounter


class TestCrashCounter(unittest.TestCase):
    """Requests that replicas do not survive, on all hosts together."""

    def setUp(self):
        self.counter = CrashCounter()

    def end(self, now, losses=1, has_answer=False, fingerprint=7):
        return self.counter.record_end(
            fingerprint, losses, has_answer=has_answer, now=now
        )

    def test_third_crash_refuses_the_request(self):
        """Guards against a request that takes one replica after the other."""
        for now in (0.0, 1.0):
            self.end(now)
            self.assertEqual(self.counter.refusal_left_s(7, now), 0.0)
        self.assertEqual(self.end(2.0), 3)
        self.assertGreater(self.counter.refusal_left_s(7, 2.0), 10.0)
        self.assertEqual(self.counter.refusal_left_s(8, 2.0), 0.0)

    def test_crashes_at_other_hosts_count(self):
        """Guards against a request that is sent to each host by turns."""
        self.end(0.0)
        self.counter.record_report("host-2", 7, 1, 0.1)
        self.counter.record_report("host-2", 7, 1, 0.2)
        self.assertEqual(self.counter.refusal_left_s(7, 0.3), 0.0)
        self.counter.record_report("host-3", 7, 1, 0.4)
        self.assertGreater(self.counter.refusal_left_s(7, 0.5), 0.0)

    def test_answer_clears_an_innocent_request(self):
        """Guards against refusing requests that ran beside one that crashes."""
        self.end(0.0, losses=2)
        self.end(1.0, losses=0, has_answer=True)
        self.end(2.0, losses=2)
        self.assertEqual(self.counter.refusal_left_s(7, 2.0), 0.0)
        self.end(3.0, losses=5, has_answer=True)
        self.assertEqual(len(self.counter), 0)

    def test_suspicion_ends_and_returns_for_longer(self):
        """Guards against a wrong suspicion that stays, and a right one that ends."""
        self.end(0.0, losses=3)
        self.assertEqual(self.counter.refusal_left_s(7, 21.0), 0.0)
        self.end(21.0)
        self.assertGreater(self.counter.refusal_left_s(7, 60.0), 0.0)
        self.assertEqual(self.counter.refusal_left_s(7, 2000.0), 0.0)

    def test_memory_is_bounded(self):
        """Guards against callers that fill the memory with different requests."""
        for fingerprint in range(3000):
            self.end(0.0, fingerprint=fingerprint)
        self.assertEqual(len(self.counter), 1000)
