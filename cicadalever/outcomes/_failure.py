"""Failures that functions return instead of raising an exception."""

from enum import StrEnum
from typing import NamedTuple


class FailureCode(StrEnum):
    """Why an operation did not return its result.

    The values are sent to callers and peers and exported as metric labels.
    """

    # The requester cancelled the read before it started.
    CANCELLED = "cancelled"
    # The read did not start, because its deadline passed or cannot be met.
    DEADLINE = "deadline"
    DRAINING = "draining"
    # The id is already queued or running, or was used with another body.
    DUPLICATE_ID = "duplicate_id"
    # The data or the id is no longer kept.
    EXPIRED = "expired"
    # The owner, or the replica behind it, stopped answering. The read may have run.
    HOST_LOST = "host_lost"
    INVALID = "invalid"
    # The connection broke while the upstream ran the read.
    LOST = "lost"
    NOT_FOUND = "not_found"
    # The receiving host does not own the replica.
    NOT_OWNER = "not_owner"
    # A queue, a table or the connections of this system are exhausted.
    OVERLOAD = "overload"
    QUARANTINED = "quarantined"
    # The upstream rejected the read because it is overloaded.
    SHED = "shed"
    # The upstream no longer keeps the requested snapshot.
    SNAPSHOT_GONE = "snapshot_gone"
    # The host was paused, so its member table may be out of date.
    STALE_VIEW = "stale_view"
    # The request may have crashed an upstream and may only run as an exclusive read.
    SUSPECT = "suspect"
    # No answer came in time; the request may have run.
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    # The replica is unknown, removed or not ready, or no configuration is known yet.
    UNAVAILABLE = "unavailable"
    # It cannot be determined whether the request ran.
    UNKNOWN = "unknown"
    # The target could not be reached, so the request was not sent.
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
    """The reason for a missing result, as a return value that is falsy.

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
    """Return whether ``code`` guarantees that the failed read did not run."""
    return code in NOT_RUN_CODES
