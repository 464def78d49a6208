"""The sentinel value that functions return instead of raising."""

from enum import StrEnum
from typing import NamedTuple


class FailureCode(StrEnum):
    """Why an operation did not give its result."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DRAINING = "draining"
    DUPLICATE_ID = "duplicate_id"
    EXPIRED = "expired"
    HOST_LOST = "host_lost"
    INVALID = "invalid"
    LOST = "lost"
    NOT_FOUND = "not_found"
    NOT_OWNER = "not_owner"
    OVERLOAD = "overload"
    QUARANTINED = "quarantined"
    SHED = "shed"
    SNAPSHOT_GONE = "snapshot_gone"
    STALE_VIEW = "stale_view"
    SUSPECT = "suspect"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


NOT_RUN_CODES = frozenset(
    {
        FailureCode.CANCELLED,
        FailureCode.DEADLINE,
        FailureCode.DRAINING,
        FailureCode.NOT_OWNER,
        FailureCode.OVERLOAD,
        FailureCode.QUARANTINED,
        FailureCode.SHED,
        FailureCode.SNAPSHOT_GONE,
        FailureCode.STALE_VIEW,
        FailureCode.SUSPECT,
        FailureCode.UNAVAILABLE,
        FailureCode.UNREACHABLE,
    }
)


class Failure(NamedTuple):
    """A falsy value that stands for a missing result and says why.

    A function that can fail returns either its result or a ``Failure``:

    >>> failure = Failure(FailureCode.TIMEOUT, "no answer within 20 ms")
    >>> bool(failure)
    False
    """

    code: FailureCode
    reason: str

    def __bool__(self) -> bool:
        """Return False, so that callers can write ``if not result``."""
        return False


def is_not_run(code: FailureCode) -> bool:
    """Tell whether a read that failed with ``code`` certainly did not run."""
    return code in NOT_RUN_CODES
