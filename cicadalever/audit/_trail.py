"""Bounded record of the decisions and observations of a host."""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from itertools import islice
from typing import Any, NamedTuple

from loguru import logger

from cicadalever.outcomes import Failure, FailureCode


class AuditKind(StrEnum):
    """The kinds of audit events; no others exist."""

    DRAIN_ENDED = "drain_ended"
    DRAIN_STARTED = "drain_started"
    MEMBER_DEAD = "member_dead"
    MEMBER_JOINED = "member_joined"
    MEMBER_LEFT = "member_left"
    MEMBER_SUSPECT = "member_suspect"
    OWNERSHIP_GAINED = "ownership_gained"
    OWNERSHIP_LOST = "ownership_lost"
    PLATFORM_BACK = "platform_back"
    PLATFORM_LOST = "platform_lost"
    QUARANTINED = "quarantined"
    QUARANTINE_EXPIRED = "quarantine_expired"
    REPLICA_DRAINING = "replica_draining"
    REPLICA_LOST = "replica_lost"
    REPLICA_RECOVERED = "replica_recovered"
    SHEDDING_ENDED = "shedding_ended"
    SHEDDING_STARTED = "shedding_started"
    STARTED = "started"
    STOPPED = "stopped"
    SUSPECT = "suspect"
    VERSION_ACCEPTED = "version_accepted"
    VERSION_IN_FORCE = "version_in_force"
    VERSION_REFUSED = "version_refused"
    VERSION_SEEN = "version_seen"
    VIEW_STALE = "view_stale"


class AuditEvent(NamedTuple):
    """One event; ``details`` are values that JSON can represent.

    ``time_unix`` is in seconds. ``version`` is the configuration version in force at
    the time, and 0 in events of members, replicas and fingerprints.
    """

    sequence: int
    time_unix: float
    host: str
    version: int
    kind: AuditKind
    details: dict[str, Any]


class AuditTrail:
    """The last ``capacity`` events of a host, which are also written to the log.

    Sequence numbers start at ``first_sequence`` and increase by one, so a gap shows a
    reader that events were dropped. They increase across restarts as well if
    ``first_sequence`` is the start time in milliseconds. ``clock_unix`` returns the
    Unix time in seconds.
    """

    def __init__(
        self,
        host_id: str,
        capacity: int,
        clock_unix: Callable[[], float],
        *,
        first_sequence: int = 1,
    ):
        self.host_id = host_id
        self.capacity = capacity
        self.clock_unix = clock_unix
        self._next_sequence = first_sequence
        self._events: deque[AuditEvent] = deque(maxlen=capacity)

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last event, ``first_sequence`` - 1 without events."""
        return self._next_sequence - 1

    def record(self, kind: AuditKind | str, version: int, **details: Any) -> AuditEvent:
        """Append an event and write it to the log.

        Raises ValueError for an unknown kind, which is a programming error.
        """
        event = AuditEvent(
            self._next_sequence,
            self.clock_unix(),
            self.host_id,
            version,
            AuditKind(kind),
            details,
        )
        self._next_sequence += 1
        self._events.append(event)
        _write_log(event)
        return event

    def read(
        self, after: int = 0, kind: str | None = None, limit: int = 200
    ) -> list[AuditEvent] | Failure:
        """Return the oldest ``limit`` events with sequence numbers above ``after``.

        With ``kind`` only events of this kind are returned; the result is a failure if
        there is no such kind. To follow the trail, pass the sequence number of the last
        event read.
        """
        if kind is not None and kind not in set(AuditKind):
            return Failure(
                FailureCode.INVALID, f"kind: {kind!r} is no audit event kind"
            )
        events = islice(self._events, self._count_up_to(after), None)
        selected = (event for event in events if kind in (None, event.kind))
        return list(islice(selected, max(0, limit)))

    def _count_up_to(self, after: int) -> int:
        """Return how many of the kept events have a sequence number up to ``after``."""
        first = self._next_sequence - len(self._events)
        return min(max(0, after - first + 1), len(self._events))


def _write_log(event: AuditEvent) -> None:
    details = " ".join(f"{name}={value}" for name, value in event.details.items())
    logger.bind(audit=event._asdict()).info(
        "audit {} {} version={} {}", event.sequence, event.kind, event.version, details
    )
