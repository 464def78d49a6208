"""Outcomes of requests, and failures as return values."""

from ._failure import Failure, FailureCode, is_not_run
from ._outcome import Outcome

__all__ = ["Failure", "FailureCode", "Outcome", "is_not_run"]
