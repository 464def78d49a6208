"""Tests of failures as return values."""

import unittest

from cicadalever.outcomes import Failure, FailureCode, is_not_run


class TestFailure(unittest.TestCase):
    """The truth value and the codes of a failure."""

    def test_is_falsy(self):
        """Guards against a failure being taken for a result."""
        self.assertFalse(Failure(FailureCode.LOST, "connection reset"))

    def test_uncertain_codes_are_not_reported_as_not_run(self):
        """Guards against work that may have run being reported as not run."""
        for code in (FailureCode.LOST, FailureCode.TIMEOUT, FailureCode.UNKNOWN):
            self.assertFalse(is_not_run(code), code)
