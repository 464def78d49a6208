"""The budget for reads beyond the first of each request."""

from ._budget import SLACK_PER_HOST, RetryBudget, compute_host_slack

__all__ = ["SLACK_PER_HOST", "RetryBudget", "compute_host_slack"]
