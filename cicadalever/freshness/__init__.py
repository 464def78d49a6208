"""How current a host's copy of the platform's data is, decided from its calls.

The decisions have no clock and no network: a caller reports when calls began and how
they ended.
"""

from ._backoff import Backoff
from ._contact import Outage, PlatformContact
from ._grace import MISSING_ENTRY_GRACE_S, GraceBounds
from ._margin import AnswerMargin
from ._timing import MAX_WATCH_WAIT_S, PlannedCall, WatchTiming

__all__ = [
    "MAX_WATCH_WAIT_S",
    "MISSING_ENTRY_GRACE_S",
    "AnswerMargin",
    "Backoff",
    "GraceBounds",
    "Outage",
    "PlannedCall",
    "PlatformContact",
    "WatchTiming",
]
