"""Grace period for entries that expired while the platform was out of reach."""

from typing import NamedTuple

from ._contact import Outage

# The platform guarantees that entries whose lease expired during an outage are
# published again within about two seconds of its return; the rest covers the delay of
# reading them.
MISSING_ENTRY_GRACE_S = 2.5
# Time between the end of the grace period and the moment from which a removed replica
# must not be used, and its greatest share of ``GraceBounds.contact_s``.
SLACK_S = 0.3
MAX_SLACK_SHARE = 0.1


class GraceBounds(NamedTuple):
    """Bounds of a deployment that limit how long missing entries are kept.

    A removal must take effect ``drain_s`` seconds after it was acknowledged. While the
    platform is out of reach of a host, and for ``contact_s`` seconds after that, it may
    take effect later there.

    >>> bounds = GraceBounds(contact_s=4.0, drain_s=3.0)
    >>> refused = Outage(answered_at=10.0, failed_at=19.0, returned_at=20.0)
    >>> bounds.end_of_grace(refused)
    22.5
    >>> unanswered = Outage(answered_at=17.0, failed_at=17.0, returned_at=20.0)
    >>> round(bounds.end_of_grace(unanswered), 3)
    20.7
    """

    contact_s: float
    drain_s: float

    @property
    def slack_s(self) -> float:
        """Time for which the end of a grace period precedes the bounds."""
        return min(SLACK_S, MAX_SLACK_SHARE * self.contact_s)

    def end_of_grace(
        self, outage: Outage, grace_s: float = MISSING_ENTRY_GRACE_S
    ) -> float:
        """Return the time until which entries that are missing after it are kept.

        Expired entries are published again within ``grace_s`` seconds of the return.
        An entry may as well have been removed for good right after the last answer,
        and the platform may have been back since ``failed_at``.
        """
        limit = max(
            outage.answered_at + self.drain_s, outage.failed_at + self.contact_s
        )
        return min(outage.returned_at + grace_s, limit - self.slack_s)
