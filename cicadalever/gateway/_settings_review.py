"""Decides when settings that were read may be used."""

import math

from cicadalever.outcomes import Failure

from ._adapter import HostSettings, UnfinishedSettings

# Time for which settings must not change before they are used, when the file is
# complete by all signs, and when its last line may have been cut.
SETTLE_S = 0.1
UNFINISHED_SETTLE_S = 3.0


class SettingsReview:
    """Tells settings that are in place from those that are still being written.

    A file that is read while it is written may be valid: a cut number is a number. So
    settings are used only when repeated reads have given the same for a while.

    >>> from cicadalever.outcomes import FailureCode
    >>> review = SettingsReview()
    >>> review.record(Failure(FailureCode.INVALID, "empty"), now=0.0)
    >>> review.reason
    'empty'
    """

    def __init__(self):
        self._latest: HostSettings | UnfinishedSettings | Failure | None = None
        self._unchanged_since = -math.inf

    @property
    def reason(self) -> str | None:
        """Why the latest settings cannot be used, or not yet, or None."""
        if isinstance(self._latest, UnfinishedSettings):
            return "the last line has no end and may have been cut"
        return self._latest.reason if isinstance(self._latest, Failure) else None

    def record(
        self, read: HostSettings | UnfinishedSettings | Failure, now: float
    ) -> HostSettings | None:
        """Return the settings if those that were read at ``now`` may be used."""
        if read != self._latest:
            self._latest, self._unchanged_since = read, now
        unchanged_s = now - self._unchanged_since
        if isinstance(read, HostSettings) and unchanged_s >= SETTLE_S:
            return read
        if isinstance(read, UnfinishedSettings) and unchanged_s >= UNFINISHED_SETTLE_S:
            return read.settings
        return None
