"""The known upstream replicas and the changes of their entries."""

from collections.abc import Iterable
from typing import NamedTuple

from ._entry import ReplicaEntry, ReplicaState

# Most removed replicas that are remembered; the oldest are forgotten first.
MAX_REMOVED = 4096


class DirectoryChange(NamedTuple):
    """An entry that was added, changed or removed.

    ``previous`` is None for a new replica, ``current`` for a removed one.
    """

    replica_id: str
    previous: ReplicaEntry | None
    current: ReplicaEntry | None
    reason: str


class UpstreamDirectory:
    """All known replicas, and the ready ones of each service.

    Entries arrive as single changes, or as a complete list when changes may have been
    missed. An entry that is missing after the platform was unavailable is kept for a
    grace period, since its lease may have expired while the replica could not renew it.
    A list may also come from a copy that is older than the changes before it: what it
    says of a replica does not replace newer entries, nor the removal of one. The
    platform tells which entry is newer, not the entry itself: another writer may have
    claimed a sequence that the replica does not reach. Times are on one monotonic clock
    in seconds.
    """

    def __init__(self):
        self._entries: dict[str, ReplicaEntry] = {}
        self._ready_by_service: dict[str, dict[str, ReplicaEntry]] = {}
        # Times at which missing replicas are removed, by id.
        self._removal_times: dict[str, float] = {}
        # Those of them that have not been reported yet.
        self._unreported_removals: set[str] = set()
        # Last entries of removed replicas, with the revision of the removal, by id.
        self._removed: dict[str, ReplicaEntry] = {}
        # Replicas whose entry or removal is of an earlier era of the platform.
        self._of_earlier_era: set[str] = set()
        self._grace_until = float("-inf")

    def __contains__(self, replica_id: str) -> bool:
        """Return whether a replica is known."""
        return replica_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, replica_id: str) -> ReplicaEntry | None:
        """Return the entry of a replica, or None if it is unknown."""
        return self._entries.get(replica_id)

    def ready_replicas(self, service: str) -> list[ReplicaEntry]:
        """Return the replicas of a service that accept reads."""
        return list(self._ready_by_service.get(service, {}).values())

    def all_ready_replicas(self) -> list[ReplicaEntry]:
        """Return the replicas of all services that accept reads."""
        return [
            replica
            for replicas in self._ready_by_service.values()
            for replica in replicas.values()
        ]

    def is_ready(self, replica: ReplicaEntry) -> bool:
        """Return whether the process that has published an entry accepts reads now."""
        known = self._entries.get(replica.id)
        return (
            known is not None
            and known.state is ReplicaState.READY
            and known.service == replica.service
            and known.address == replica.address
            and known.started_at_ms == replica.started_at_ms
        )

    def begin_era(self) -> None:
        """Note that the platform gives out its revisions again from now on."""
        self._of_earlier_era = {*self._entries, *self._removed}

    def start_grace_period(self, until: float) -> None:
        """Keep entries that are found to be missing before ``until`` till then."""
        self._grace_until = max(self._grace_until, until)

    def remaining_grace_s(self, now: float) -> float:
        """Return for how many seconds missing entries are still kept."""
        return max(0.0, self._grace_until - now)

    def apply(self, entry: ReplicaEntry) -> DirectoryChange | None:
        """Store an entry, unless a newer one of the same replica is known.

        The result is None if the entry is older or differs only in its sequence.
        """
        known = self._entries.get(entry.id)
        if known is not None and self._compare(entry, known) < 0:
            return None
        self._removal_times.pop(entry.id, None)
        self._put(entry)
        if known is not None and _content(known) == _content(entry):
            return None
        return DirectoryChange(entry.id, known, entry, f"published {entry.state}")

    def remove(
        self,
        replica_id: str,
        now: float,
        reason: str = "entry removed",
        revision: int = 0,
    ) -> DirectoryChange | None:
        """Remove an entry, or schedule its removal at the end of the grace period.

        A replica that was draining has left. ``revision`` is one at which the platform
        had no entry. The result is None unless the entry was removed at once.
        """
        entry = self._entries.get(replica_id)
        if entry is None:
            return None
        if now < self._grace_until and entry.state is ReplicaState.READY:
            if replica_id not in self._removal_times:
                self._removal_times[replica_id] = self._grace_until
                self._unreported_removals.add(replica_id)
            return None
        return self._remove_now(replica_id, reason, revision)

    def take_held_removals(self) -> list[tuple[str, float]]:
        """Return the replicas whose removal was held back since the last call.

        Each is given with the time of its removal.
        """
        held, self._unreported_removals = self._unreported_removals, set()
        return [
            (each, self._removal_times[each])
            for each in sorted(held)
            if each in self._removal_times
        ]

    def reject(self, replica_id: str) -> DirectoryChange | None:
        """Remove a replica at once because its present entry names none.

        Unlike a replica that has left, it counts again as soon as any sound entry of it
        is published, also the last one.
        """
        change = self._remove_now(replica_id, "entry unreadable")
        self._removed.pop(replica_id, None)
        return change

    def replace_all(
        self,
        entries: Iterable[ReplicaEntry],
        unreadable: set[str],
        now: float,
        revision: int = 0,
    ) -> list[DirectoryChange]:
        """Store a complete list and remove the replicas that are not in it.

        ``unreadable`` holds the ids of replicas whose entry was rejected, and
        ``revision`` is that of the list.
        """
        changes = []
        listed = set()
        for entry in entries:
            removed = self._removed.get(entry.id)
            if removed is not None and self._compare(entry, removed) <= 0:
                continue
            listed.add(entry.id)
            change = self.apply(entry)
            if change is not None:
                changes.append(change)
        for replica_id in set(self._entries) - listed:
            if replica_id in unreadable:
                change = self.reject(replica_id)
            else:
                change = self.remove(replica_id, now, "not listed", revision)
            if change is not None:
                changes.append(change)
        return changes

    def expire(self, now: float) -> list[DirectoryChange]:
        """Remove the missing replicas whose grace period has ended."""
        due = [
            replica_id
            for replica_id, removal_at in self._removal_times.items()
            if removal_at <= now
        ]
        for replica_id in due:
            del self._removal_times[replica_id]
        changes = [
            self._remove_now(replica_id, "still missing after the grace period")
            for replica_id in due
        ]
        return [change for change in changes if change is not None]

    def _compare(self, entry: ReplicaEntry, known: ReplicaEntry) -> int:
        """Return whether an entry is newer (1), older (-1) or as old (0) as another."""
        has_revisions = bool(entry.revision and known.revision)
        if has_revisions and entry.id not in self._of_earlier_era:
            return _sign(entry.revision, known.revision)
        return _sign(_order_key(entry), _order_key(known))

    def _put(self, entry: ReplicaEntry) -> None:
        self._removed.pop(entry.id, None)
        self._of_earlier_era.discard(entry.id)
        known = self._entries.get(entry.id)
        if known is not None:
            self._ready_by_service.get(known.service, {}).pop(entry.id, None)
        self._entries[entry.id] = entry
        if entry.state is ReplicaState.READY:
            self._ready_by_service.setdefault(entry.service, {})[entry.id] = entry

    def _remove_now(
        self, replica_id: str, reason: str, revision: int = 0
    ) -> DirectoryChange | None:
        entry = self._entries.pop(replica_id, None)
        if entry is None:
            return None
        self._removal_times.pop(replica_id, None)
        last_revision = max(entry.revision, revision)
        self._removed[replica_id] = entry._replace(revision=last_revision)
        if revision:
            self._of_earlier_era.discard(replica_id)
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            self._of_earlier_era.discard(oldest)
        self._ready_by_service.get(entry.service, {}).pop(replica_id, None)
        return DirectoryChange(replica_id, entry, None, reason)


def _content(entry: ReplicaEntry) -> ReplicaEntry:
    return entry._replace(sequence=0, revision=0)


def _sign(first, second) -> int:
    return (first > second) - (first < second)


def _order_key(entry: ReplicaEntry) -> tuple[int, int]:
    return entry.started_at_ms, entry.sequence
