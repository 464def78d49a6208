"""Refusals: when a caller that is not served now should come back."""

from ._retry_after import plan_retry_after

__all__ = ["plan_retry_after"]
