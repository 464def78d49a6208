"""How current a host's copy of the platform's data is, decided from its calls.

The decisions have no clock and no network: a caller reports when calls began and how
they ended.
"""

from ._contact import Outage, PlatformContact
from ._grace import MISSING_ENTRY_GRACE_S, GraceBounds

__all__ = ["MISSING_ENTRY_GRACE_S", "GraceBounds", "Outage", "PlatformContact"]
