"""Record of when the platform has answered and when it has not."""

from typing import NamedTuple


class Outage(NamedTuple):
    """A time in which the platform may have been out of reach.

    It was in reach at ``answered_at`` and again at ``returned_at``. At ``failed_at``,
    or later, it was not, or a connection to it was not: the return lies between
    ``failed_at`` and ``returned_at``. For the grace after it, ``answered_at`` is the
    time as of which it was proved that nothing was missing, which may be earlier.
    """

    answered_at: float
    failed_at: float
    returned_at: float


class PlatformContact:
    """Derives from the ends of calls when the platform may have been out of reach.

    Times are on one monotonic clock in seconds.

    >>> contact = PlatformContact(now=0.0)
    >>> contact.record_answer(now=5.0) is None
    True
    >>> contact.record_failure(called_at=6.0), contact.record_failure(called_at=8.0)
    (True, False)
    >>> contact.record_answer(now=9.0)
    Outage(answered_at=5.0, failed_at=8.0, returned_at=9.0)
    """

    def __init__(self, now: float):
        self._answered_at = now
        # The same for answers to this host's own calls.
        self._own_answered_at = now
        self._confirmed_at = float("-inf")
        self._failed_at: float | None = None

    @property
    def answered_at(self) -> float:
        """Time of the last answer; its connection was sound then."""
        return self._answered_at

    @property
    def confirmed_at(self) -> float:
        """Time as of which it is proved that nothing is missing; -inf if it never was.

        An answer may have been on the way for any time since the platform sent it.
        """
        return self._confirmed_at

    @property
    def is_lost(self) -> bool:
        """Whether the latest call has failed."""
        return self._failed_at is not None

    def record_failure(self, called_at: float) -> bool:
        """Record the failure of a call; return whether it is the first one.

        The connection of the first one may have been dead since the last answer to a
        call of this host. The next calls use new connections.
        """
        is_first = self._failed_at is None
        self._failed_at = self._own_answered_at if is_first else called_at
        return is_first

    def record_answer(
        self,
        now: float,
        confirmed_at: float = float("-inf"),
        *,
        is_relayed: bool = False,
    ) -> Outage | None:
        """Record an answer that proves the data to be complete as of ``confirmed_at``.

        One that ``is_relayed`` was given to another host: it may be older than the
        latest one, and says nothing about the connection of this host. Return the
        outage that it ends, or None if the calls before it were answered.
        """
        outage = None
        if self._failed_at is not None:
            returned_at = max(now, self._failed_at)
            outage = Outage(self._answered_at, self._failed_at, returned_at)
        self._answered_at = max(self._answered_at, now)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._failed_at = None
        if not is_relayed:
            self._own_answered_at = now
        return outage
