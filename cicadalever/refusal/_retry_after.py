"""Time after which a refused caller should try again."""

from random import Random

# Callers follow a Retry-After up to this share of the time that they have left.
USABLE_SHARE = 1.0 / 3.0
# The least urgent callers return last, spread over this multiple of the expected time.
SPREAD = 0.5
# Part of the spread by which each rank returns later than the more urgent one before.
RANK_STEP = 0.25
MIN_RETRY_AFTER_S = 0.01


def plan_retry_after(
    expected_s: float, time_left_s: float, rank: int, rng: Random
) -> float:
    """Return the seconds after which a refused caller should try again.

    ``expected_s`` is when the request can probably be served, ``time_left_s`` the time
    until the caller's deadline, and ``rank`` its rank, where 0 is the most urgent. All
    callers that are refused for one cause would otherwise return together and be
    refused again, so they are spread, the more urgent ones first. The result is within
    the time that callers follow.

    >>> plan_retry_after(0.2, 10.0, 0, Random(1)) < plan_retry_after(
    ...     0.2, 10.0, 2, Random(1)
    ... )
    True
    """
    usable_s = USABLE_SHARE * max(0.0, time_left_s)
    first = min(1.0, RANK_STEP * rank)
    position = first + (1.0 - first) * rng.random()
    planned_s = expected_s * (1.0 + SPREAD * position)
    if planned_s > usable_s:
        # The callers still have to be spread if none of them can wait long enough.
        planned_s = usable_s * (1.0 - SPREAD * (1.0 - position))
    return max(MIN_RETRY_AFTER_S, planned_s)
