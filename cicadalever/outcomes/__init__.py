"""Outcomes of requests and the sentinel value for failures."""

from ._failure import Failure, FailureCode, is_not_run
from ._outcome import Outcome

__all__ = ["Failure", "FailureCode", "Outcome", "is_not_run"]
