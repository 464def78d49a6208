"""Budget for extra reads, that is retries and hedges.

The platform bounds the extra reads of each service, summed over all hosts, by a ratio
of the first reads plus a constant number per window, the slack.
"""

from ._budget import SLACK_PER_HOST, RetryBudget, compute_host_slack

__all__ = ["SLACK_PER_HOST", "RetryBudget", "compute_host_slack"]
