"""The rate limits that replicas have named and not withdrawn."""

from enum import StrEnum
from typing import NamedTuple


class LimitChange(StrEnum):
    """How an answer changed what is known of the limit of its replica."""

    NAMED = "named"
    ENDED = "ended"


class EndedLimit(NamedTuple):
    """A limit that has ended: how long it was known and how often it was read."""

    seconds: float
    reads: int


class _NamedLimit:
    __slots__ = ("limit_per_s", "named_at", "reads", "since")

    def __init__(self, limit_per_s: float, now: float):
        self.limit_per_s = limit_per_s
        self.since = self.named_at = now
        # Reads of this host since the limit was first named.
        self.reads = 0


class NamedLimits:
    """The limits of replicas, by id, as far as this host has heard of them.

    A replica names its limit in each answer for as long as it applies. Times are on
    one monotonic clock in seconds.
    """

    def __init__(self):
        self._limits: dict[str, _NamedLimit] = {}

    def __bool__(self) -> bool:
        """Return whether any replica has a limit."""
        return bool(self._limits)

    def __len__(self) -> int:
        return len(self._limits)

    def record_read(self, replica_id: str) -> None:
        """Record that a read was sent to a replica."""
        limit = self._limits.get(replica_id)
        if limit is not None:
            limit.reads += 1

    def record_answer(
        self, replica_id: str, limit_per_s: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """Record an answer that names ``limit_per_s``, or none (None).

        An answer to a request that was sent before the limit was last named, at
        ``sent_at``, does not end the limit: it may have been computed earlier.
        """
        limit = self._limits.get(replica_id)
        if limit_per_s is not None:
            if limit is None:
                self._limits[replica_id] = _NamedLimit(limit_per_s, now)
                return LimitChange.NAMED
            limit.limit_per_s, limit.named_at = limit_per_s, now
        elif limit is not None and sent_at > limit.named_at:
            return LimitChange.ENDED
        return None

    def forget(self, replica_id: str, now: float) -> EndedLimit | None:
        """Discard the limit of a replica that withdrew it, restarted or left."""
        limit = self._limits.pop(replica_id, None)
        return limit and EndedLimit(now - limit.since, limit.reads)
