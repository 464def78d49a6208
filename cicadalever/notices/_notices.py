"""Replicas that are held off because of what they have said in answers."""

from typing import NamedTuple

from cicadalever.discovery import ReplicaEntry

# Most incarnations that are remembered as leaving; the oldest are forgotten first.
MAX_LEAVING = 4096


class Incarnation(NamedTuple):
    """One process of a replica; ``started_at_ms`` is the Unix time of its start."""

    id: str
    started_at_ms: int


class _Departure(NamedTuple):
    """The last answer in which a replica said that it is leaving.

    ``unix_ms`` is the Unix time of the answer, and ``since`` the monotonic time in
    seconds of the first one of that process.
    """

    unix_ms: int
    since: float


class _Pause(NamedTuple):
    until: float
    service: str


class ReplicaNotices:
    """What replicas have said to this host: that they leave, or need a pause.

    A replica that is leaving is read only as a last resort for ``drain_s`` seconds, in
    which it still serves, and not at all after that. This concerns one incarnation,
    whatever its entry says, so that it outlasts the entry. The entry may also be older
    than the process that has answered: an incarnation that is listed later, but started
    before the answer, is the one that is leaving. A pause concerns the replica of an id
    until the latest end that it has named, even if it answers other reads meanwhile.
    Times are on one monotonic clock in seconds.

    >>> entry = ReplicaEntry("i-1", "s", ("10.0.0.1", 80), "a", 2, "ready", 0.0, 1, 1)
    >>> notices = ReplicaNotices(drain_s=3.0)
    >>> notices.record_leaving(Incarnation("i-1", 1), 10.0, unix_ms=1_000)
    True
    >>> notices.may_read(entry, 12.0), notices.may_read(entry, 13.0)
    (True, False)
    >>> notices.may_read(entry._replace(started_at_ms=2_000), 13.0)
    True
    """

    def __init__(self, drain_s: float):
        self.drain_s = drain_s
        # When each incarnation first said that it leaves, the oldest first.
        self._leaving_since: dict[Incarnation, float] = {}
        # The last answer of each id that said so, whatever process it is booked to.
        self._departures: dict[str, _Departure] = {}
        # Ids of the listed replicas that are leaving.
        self._listed_leaving: set[str] = set()
        self._pauses: dict[str, _Pause] = {}
        # Until when some replica of a service pauses.
        self._service_pauses: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any listed replica may have to be held off."""
        return bool(self._listed_leaving or self._pauses)

    def record_entry(self, replica_id: str, entry: ReplicaEntry | None) -> None:
        """Record the entry that a replica has now, or None for none."""
        departure = self._departures.get(replica_id)
        self._listed_leaving.discard(replica_id)
        if entry is None:
            return
        if departure is not None and entry.started_at_ms <= departure.unix_ms:
            self._remember(_incarnation(entry), departure.since)
        if self.is_leaving(entry):
            self._listed_leaving.add(replica_id)

    def record_leaving(self, replica: Incarnation, now: float, unix_ms: int) -> bool:
        """Record that a replica leaves; return whether that is new.

        ``unix_ms`` is the Unix time of its answer. If the replica is listed,
        ``record_entry`` has to follow.
        """
        is_new = self._remember(replica, now)
        since = self._leaving_since[replica]
        self._departures[replica.id] = _Departure(unix_ms, since)
        if len(self._departures) > MAX_LEAVING:
            del self._departures[next(iter(self._departures))]
        return is_new

    def _remember(self, replica: Incarnation, since: float) -> bool:
        if replica in self._leaving_since:
            return False
        if len(self._leaving_since) >= MAX_LEAVING:
            del self._leaving_since[next(iter(self._leaving_since))]
        self._leaving_since[replica] = since
        return True

    def record_pause(self, replica: ReplicaEntry, pause_s: float, now: float) -> bool:
        """Record a pause of ``pause_s`` seconds; return whether the replica had none.

        A shorter pause does not end a longer one.
        """
        if pause_s <= 0.0:
            return False
        was_paused = self.is_paused(replica.id, now)
        until = now + pause_s
        if was_paused:
            until = max(until, self._pauses[replica.id].until)
        self._pauses[replica.id] = _Pause(until, replica.service)
        known = self._service_pauses.get(replica.service, until)
        self._service_pauses[replica.service] = max(known, until)
        return not was_paused

    def may_read(self, replica: ReplicaEntry, now: float) -> bool:
        """Return whether a replica may get a read, if only as a last resort."""
        if self.is_paused(replica.id, now):
            return False
        since = self._leaving_since.get(_incarnation(replica))
        return since is None or now < since + self.drain_s

    def is_leaving(self, replica: ReplicaEntry) -> bool:
        """Return whether this incarnation of a replica has said that it leaves."""
        return _incarnation(replica) in self._leaving_since

    def is_paused(self, replica_id: str, now: float) -> bool:
        """Return whether a replica wants no requests now."""
        return self.pause_left_s(replica_id, now) > 0.0

    def pause_left_s(self, replica_id: str, now: float) -> float:
        """Return for how many seconds a replica wants no requests."""
        pause = self._pauses.get(replica_id)
        return 0.0 if pause is None else max(0.0, pause.until - now)

    def has_pause(self, service: str, now: float) -> bool:
        """Return whether some replica of a service pauses."""
        return now < self._service_pauses.get(service, float("-inf"))

    def count_leaving(self) -> int:
        """Return the number of listed replicas that are leaving."""
        return len(self._listed_leaving)

    def count_paused(self, now: float) -> int:
        """Return the number of replicas that pause."""
        return sum(now < pause.until for pause in self._pauses.values())

    def forget_ended_pauses(self, now: float) -> None:
        """Discard the pauses that have ended."""
        self._pauses = {
            replica_id: pause
            for replica_id, pause in self._pauses.items()
            if now < pause.until
        }
        self._service_pauses = {
            service: until
            for service, until in self._service_pauses.items()
            if now < until
        }


def _incarnation(replica: ReplicaEntry) -> Incarnation:
    return Incarnation(replica.id, replica.started_at_ms)
