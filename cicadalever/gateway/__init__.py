"""The gateway: answers requests of callers by reads from upstream replicas."""

from ._adapter import (
    HistoryLost,
    HostSettings,
    PlatformAdapter,
    PlatformUpdate,
    RetryLimits,
    UnfinishedSettings,
)
from ._main import main

__all__ = [
    "HistoryLost",
    "HostSettings",
    "PlatformAdapter",
    "PlatformUpdate",
    "RetryLimits",
    "UnfinishedSettings",
    "main",
]
