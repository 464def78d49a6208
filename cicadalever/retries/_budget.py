"""Budget of one host for extra reads, and its share of the slack."""

from collections import deque

# Slack of a host (extra reads per window and service beyond the ratio) before it knows
# how many hosts share the slack of the platform.
SLACK_PER_HOST = 2

# Slack of a host whose queries are gathered by other hosts: it needs few extra reads.
SLACK_PER_DELEGATING_HOST = 1
# Largest share of a data centre's slack for hosts whose queries are gathered by others.
# In a fleet with too many of them for one extra read each, they have none.
MAX_DELEGATING_SHARE = 0.75
# Share of the slack that is divided among the known hosts; the rest covers hosts that
# are not counted yet.
ALLOCATED_SLACK_SHARE = 0.8

# Extra reads that a service can save up from its first reads.
MAX_SAVED = 1.0

# Share of the ratio that is used; the rest covers extra reads that fall into another
# window than the first reads that earned them.
USED_RATIO_SHARE = 0.95


def compute_host_slack(
    slack: float, data_centres: int, hosts: int, similar: int, *, is_delegating: bool
) -> float:
    """Return the slack of one host: its extra reads per window beyond the ratio.

    ``slack`` is the bound for all hosts together; each data centre gets an equal share.
    ``similar`` of the ``hosts`` of a data centre have about the capacity of this host,
    itself included. A host whose queries are gathered by others (``is_delegating``)
    gets ``SLACK_PER_DELEGATING_HOST``, unless there are too many of them. The gatherers
    divide what these leave equally.

    >>> compute_host_slack(212, 5, hosts=18, similar=2, is_delegating=False)
    8
    >>> compute_host_slack(212, 5, hosts=18, similar=16, is_delegating=True)
    1
    >>> compute_host_slack(212, 5, hosts=200, similar=198, is_delegating=True)
    0
    """
    share = ALLOCATED_SLACK_SHARE * slack / data_centres
    fits = SLACK_PER_DELEGATING_HOST * hosts <= MAX_DELEGATING_SHARE * share
    per_delegating = SLACK_PER_DELEGATING_HOST if fits else 0
    if is_delegating:
        return per_delegating
    remaining = share - per_delegating * (hosts - similar)
    return max(0, int(remaining / similar))


class _ServiceBudget:
    __slots__ = ("saved", "slack_spent_at")

    def __init__(self):
        # Extra reads that were earned and not spent.
        self.saved = 0.0
        # Times at which slack was spent within the last window, oldest first.
        self.slack_spent_at: deque[float] = deque()


class RetryBudget:
    """Limits the extra reads of this host, separately for each service.

    Each first read earns ``ratio`` of an extra read. In addition, ``slack`` extra reads
    are allowed in any window of ``window_s`` seconds. The sum over any number of hosts
    stays within the bound of the platform, because each host spends only what its own
    first reads earned and its share of the slack.

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
        """Record a first read, which earns a part of an extra read."""
        budget = self._service_budget(service)
        budget.saved = min(MAX_SAVED, budget.saved + self.ratio * USED_RATIO_SHARE)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one extra read and return True, or return False if none is left.

        ``now`` is on a monotonic clock in seconds.
        """
        budget = self._service_budget(service)
        if budget.saved >= 1.0:
            budget.saved -= 1.0
            return True
        spent_at = budget.slack_spent_at
        while spent_at and spent_at[0] <= now - self.window_s:
            spent_at.popleft()
        if len(spent_at) + 1 > self.slack:
            return False
        spent_at.append(now)
        return True

    def _service_budget(self, service: str) -> _ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = self._services[service] = _ServiceBudget()
        return budget
