"""Value of the header in which a replica names its rate limit."""

from math import isfinite

from cicadalever.outcomes import Failure, FailureCode


def parse_rate_limit(value: bytes) -> float | Failure:
    """Return the requests per second that a replica takes from all hosts together.

    The result is a failure if ``value`` is not a decimal number in [0, inf).

    >>> parse_rate_limit(b"2.5")
    2.5
    >>> parse_rate_limit(b"nan").reason
    "rate limit must be a number in [0, inf), got b'nan'"
    """
    try:
        limit_per_s = float(value)
    except ValueError:
        limit_per_s = -1.0
    if not isfinite(limit_per_s) or limit_per_s < 0.0:
        reason = f"rate limit must be a number in [0, inf), got {value[:40]!r}"
        return Failure(FailureCode.INVALID, reason)
    return limit_per_s
