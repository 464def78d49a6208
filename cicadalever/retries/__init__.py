"""The allowance for reads beyond the first of each request."""

from ._allowance import SLACK_PER_HOST, RetryAllowance, share_of_slack

__all__ = ["SLACK_PER_HOST", "RetryAllowance", "share_of_slack"]
