"""The gateway: serves callers of the platform by reads from its upstreams."""

from ._adapter import (
    HistoryLost,
    HostSettings,
    PlatformAdapter,
    PlatformUpdate,
    RetryLimits,
)
from ._main import main

__all__ = [
    "HistoryLost",
    "HostSettings",
    "PlatformAdapter",
    "PlatformUpdate",
    "RetryLimits",
    "main",
]
