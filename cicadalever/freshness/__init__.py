"""How current a host's copy of the platform's data is, decided from its calls.

The decisions have no clock and no network: a caller reports when calls began and how
they ended.
"""

from ._backoff import Backoff
from ._contact import Outage, PlatformContact
from ._margin import AnswerMargin
from ._timing import PlannedCall, WatchTiming

__all__ = [
    "Backoff",
    "AnswerMargin",
    "Outage",
    "PlannedCall",
    "PlatformContact",
    "WatchTiming",
]
