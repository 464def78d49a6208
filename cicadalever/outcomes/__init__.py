"""Outcomes of requests, and failures as return values."""

from ._decoding import DECODE_ERRORS, decode_or_fail
from ._failure import Failure, FailureCode, is_not_run
from ._outcome import Outcome

__all__ = [
    "DECODE_ERRORS",
    "Failure",
    "FailureCode",
    "Outcome",
    "decode_or_fail",
    "is_not_run",
]
