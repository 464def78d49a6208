"""The closed set of outcomes that a caller can be told."""

from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request, as stated to its caller."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    NOT_RUN = "refused_not_run"
    UNKNOWN = "outcome_unknown"
    INVALID = "invalid_request"
