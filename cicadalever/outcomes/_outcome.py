"""Outcomes of a request that are reported to its caller."""

from enum import StrEnum


class Outcome(StrEnum):
    """The result category of a request; callers receive the value."""

    # All requested shards answered.
    COMPLETE = "complete"
    # The rows of at least one requested shard are missing.
    PARTIAL = "partial"
    # The request was refused and certainly did not run.
    NOT_RUN = "refused_not_run"
    # The request may or may not have run.
    UNKNOWN = "outcome_unknown"
    INVALID = "invalid_request"
