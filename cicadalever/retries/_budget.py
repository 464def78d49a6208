"""Bounds on the extra reads of each service."""

from collections import deque

# Extra reads in a window that a host may send to a service beyond the ratio. The
# platform's slack is 52 for 6 hosts, 166 for 63 and 212 for 86, for all hosts together:
# at least two for each host.
SLACK_PER_HOST = 2

# Extra reads in a window of a host whose queries are gathered by others.
SLACK_PER_DELEGATING_HOST = 1
# Part of the slack that is shared out; the rest covers hosts that were not counted yet.
SLACK_MARGIN = 0.8

# Extra reads that the ratio may save up.
MAX_SAVED = 1.0

# Part of the allowed ratio that is spent; the rest covers reads that are counted in
# another window than the requests that earned them.
RATIO_MARGIN = 0.95


def compute_host_slack(
    slack: float, data_centres: int, hosts: int, similar: int, *, is_delegating: bool
) -> float:
    """Return the extra reads in a window that one host may send beyond the ratio.

    ``slack`` is what the platform allows all hosts together. Each data centre gets an
    equal part. There, hosts whose queries are gathered by others (``is_delegating``)
    need little, and the ``similar`` gatherers among the ``hosts`` share the rest.

    >>> compute_host_slack(212, 5, hosts=18, similar=2, is_delegating=False)
    8
    >>> compute_host_slack(212, 5, hosts=18, similar=16, is_delegating=True)
    1
    """
    if is_delegating:
        return SLACK_PER_DELEGATING_HOST
    left = SLACK_MARGIN * slack / data_centres - SLACK_PER_DELEGATING_HOST * (
        hosts - similar
    )
    return max(SLACK_PER_DELEGATING_HOST, int(left / similar))


class _ServiceBudget:
    __slots__ = ("saved", "slack_spent_at")

    def __init__(self):
        self.saved = 0.0
        self.slack_spent_at: deque[float] = deque()


class RetryBudget:
    """Extra reads allowed to this host, separately for each service.

    Each first read earns ``ratio`` of an extra read. Besides, ``slack`` extra reads are
    allowed in any window of ``window_s`` seconds. The sum over all hosts keeps the
    platform's bound however many hosts there are, since each only spends what its own
    requests earned, and its part of the slack.

    >>> budget = RetryBudget(ratio=0.2, window_s=10.0)
    >>> [budget.try_spend("index-1", now=0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, window_s: float, *, slack: float = SLACK_PER_HOST):
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be in [0, 1], got {ratio}")
        if window_s <= 0.0:
            raise ValueError(f"window_s must be in (0, inf), got {window_s}")
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self._services: dict[str, _ServiceBudget] = {}

    def earn(self, service: str) -> None:
        """Count a first read."""
        state = self._state(service)
        state.saved = min(MAX_SAVED, state.saved + self.ratio * RATIO_MARGIN)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one extra read, if the service has one left."""
        state = self._state(service)
        if state.saved >= 1.0:
            state.saved -= 1.0
            return True
        spent_at = state.slack_spent_at
        while spent_at and spent_at[0] <= now - self.window_s:
            spent_at.popleft()
        if len(spent_at) + 1 > self.slack:
            return False
        spent_at.append(now)
        return True

    def _state(self, service: str) -> _ServiceBudget:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceBudget()
        return state
