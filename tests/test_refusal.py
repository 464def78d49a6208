"""Tests of the time after which refused callers return."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cicadalever.refusal import plan_retry_after


class TestPlanRetryAfter(unittest.TestCase):
    """Callers that are refused together for one cause."""

    @given(
        st.floats(0.0, 60.0),
        st.floats(0.0, 60.0),
        st.integers(0, 9),
        st.randoms(use_true_random=False),
    )
    def test_callers_can_follow_it(self, expected_s, time_left_s, rank, rng):
        """Guards against a Retry-After that callers ignore."""
        retry_after_s = plan_retry_after(expected_s, time_left_s, rank, rng)
        self.assertGreaterEqual(retry_after_s, 0.01)
        self.assertLessEqual(retry_after_s, max(0.01, time_left_s / 3.0 + 1e-9))

    def return_times(self, rank, time_left_s):
        rng = Random(rank)
        return sorted(
            plan_retry_after(0.25, time_left_s, rank, rng) for _ in range(300)
        )

    def test_callers_do_not_return_together(self):
        """Guards against a burst of returning callers that is refused again."""
        for time_left_s in (0.5, 1.0, 4.0):
            times = self.return_times(0, time_left_s)
            width = times[-1] - times[0]
            most = max(
                sum(start <= time < start + 0.1 * width for time in times)
                for start in times
            )
            self.assertLess(most, 60)
            self.assertGreater(width, 0.05)

    def test_urgent_callers_return_first(self):
        """Guards against reports that take the places of lookups."""
        for time_left_s in (0.5, 4.0):
            medians = [self.return_times(rank, time_left_s)[150] for rank in range(4)]
            self.assertEqual(medians, sorted(medians))

    def test_nobody_returns_before_it_can_be_served(self):
        """Guards against callers that are refused twice."""
        self.assertGreaterEqual(self.return_times(0, 4.0)[0], 0.25)
