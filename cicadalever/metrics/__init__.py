"""Prometheus metrics of a daemon."""

from ._metrics import CONTENT_TYPE, Metrics

__all__ = ["CONTENT_TYPE", "Metrics"]
