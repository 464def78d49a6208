"""Priority queue with a guaranteed minimum share for each rank."""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from cicadalever.outcomes import Failure, FailureCode

from ._rank import Rank

# Credits that a rank must have earned to be served out of order. Credits are integers,
# since a float 0.1 added up ten times stays below 1.0 and would delay the dispatch that
# a floor guarantees.
DISPATCH_COST_CREDITS = 1_000_000

# The deadline heap keeps items of entries that left the queue. It is rebuilt when it
# has more than this many items plus two for each waiting entry.
STALE_DEADLINES_SLACK = 64


class QueueEntry(NamedTuple):
    """A waiting ``item``; ``deadline`` and ``queued_at`` are times in seconds."""

    key: Hashable
    item: Any
    rank: Rank
    deadline: float
    queued_at: float


class RankQueue:
    """A queue that serves the most urgent rank first, with a floor for each rank.

    A dispatch is a ``pop`` that returns an entry. ``floors`` maps a rank to its minimum
    share of the dispatches while it has waiting entries. The shares are at least 0 and
    their sum is below 1. In any ``n`` successive dispatches, a rank that always has
    waiting entries is served at least ``n * floor - 2`` times. Within a rank, entries
    are served in the order of arrival.

    ``max_length`` bounds the waiting entries of each rank separately, so that a flood
    in one rank does not make the queue refuse the others.

    Each entry is returned exactly once, by ``pop``, ``remove``, ``take_expired`` or
    ``drain``.

    >>> queue = RankQueue({Rank.REPORT: 0.05})
    >>> queue.push("a", None, rank=Rank.REPORT, deadline=9.0, now=0.0)
    >>> queue.push("b", None, rank=Rank.INTERACTIVE, deadline=9.0, now=0.0)
    >>> queue.pop(1.0).key
    'b'
    """

    def __init__(self, floors: Mapping[Rank, float], max_length: int = 4096):
        check_floors(floors)
        self.floors = floors
        self.max_length = max_length
        self._queues = tuple(OrderedDict() for _ in Rank)
        self._earned_per_dispatch = [
            round(floors.get(rank, 0.0) * DISPATCH_COST_CREDITS) for rank in Rank
        ]
        self._credits = [0] * len(Rank)
        self._deadlines: list[tuple[float, int, Hashable]] = []
        self._sequence = count()
        self._expired: list[QueueEntry] = []

    def __len__(self) -> int:
        """Return the number of waiting entries."""
        interactive, batch, report = self._queues
        return len(interactive) + len(batch) + len(report)

    @property
    def lengths(self) -> dict[Rank, int]:
        """Number of waiting entries of each rank."""
        return {rank: len(self._queues[rank]) for rank in Rank}

    def push(
        self,
        key: Hashable,
        item: Any,
        *,
        rank: Rank,
        deadline: float,
        now: float,
        at_front: bool = False,
    ) -> Failure | None:
        """Add an entry; return a failure if it is refused.

        With ``at_front`` it is served before the waiting entries of its rank.

        The code of a failure is ``DEADLINE`` if ``deadline`` has passed,
        ``DUPLICATE_ID`` if ``key`` is already waiting, and ``OVERLOAD`` if the rank is
        full.
        """
        if deadline <= now:
            return Failure(FailureCode.DEADLINE, "deadline passed before queueing")
        interactive, batch, report = self._queues
        if key in interactive or key in batch or key in report:
            return Failure(FailureCode.DUPLICATE_ID, f"{key!r} waits already")
        queue = self._queues[rank]
        if len(queue) >= self.max_length:
            self._collect_expired(now)
        if len(queue) >= self.max_length:
            reason = f"{len(queue)} entries of rank {int(rank)} wait"
            return Failure(FailureCode.OVERLOAD, reason)
        queue[key] = QueueEntry(key, item, rank, deadline, now)
        if at_front:
            queue.move_to_end(key, last=False)
        heappush(self._deadlines, (deadline, next(self._sequence), key))
        if len(self._deadlines) > 2 * len(self) + STALE_DEADLINES_SLACK:
            self._rebuild_deadlines()
        return None

    def pop(self, now: float) -> QueueEntry | None:
        """Remove and return the next entry that has not expired, or None.

        ``take_expired`` returns the expired ones.
        """
        if self._deadlines and self._deadlines[0][0] <= now:
            self._collect_expired(now)
        rank = self._choose_rank()
        if rank is None:
            return None
        return self._queues[rank].popitem(last=False)[1]

    def take_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries whose deadline has passed."""
        self._collect_expired(now)
        expired = self._expired
        self._expired = []
        return expired

    def remove(self, key: Hashable) -> QueueEntry | None:
        """Remove and return the waiting entry with ``key``, if there is one."""
        for queue in self._queues:
            entry = queue.pop(key, None)
            if entry is not None:
                return entry
        return None

    def drain(self) -> list[QueueEntry]:
        """Remove and return all entries, the expired ones first."""
        entries = self._expired
        self._expired = []
        for queue in self._queues:
            entries.extend(queue.values())
            queue.clear()
        self._deadlines.clear()
        return entries

    def estimate_wait(
        self, rank: Rank, service_time_s: float, concurrency: int
    ) -> float:
        """Return the expected wait in seconds of an entry of ``rank`` pushed now.

        Entries of the same and more urgent ranks are served first, and the floors of
        less urgent waiting ranks delay them. The floor of ``rank`` bounds the wait from
        above. Later arrivals in more urgent ranks are not taken into account.
        """
        lengths = [len(queue) for queue in self._queues]
        less_urgent_credits = sum(
            self._earned_per_dispatch[other]
            for other in range(rank + 1, len(Rank))
            if lengths[other]
        )
        dispatches = sum(lengths[: rank + 1]) / (
            1.0 - less_urgent_credits / DISPATCH_COST_CREDITS
        )
        if self._earned_per_dispatch[rank]:
            own_floor_dispatches = (
                (lengths[rank] + 1)
                * DISPATCH_COST_CREDITS
                / self._earned_per_dispatch[rank]
            )
            dispatches = min(dispatches, own_floor_dispatches)
        return dispatches * service_time_s / max(concurrency, 1)

    def _choose_rank(self) -> int | None:
        """Return the rank to serve and update the credits; None if no entry waits.

        With each dispatch a waiting rank earns its floor, in credits, and is served out
        of order once it has ``DISPATCH_COST_CREDITS``. Being served in order does not
        make the credits negative, or the floor would not hold in the dispatches that
        follow.
        """
        credits = self._credits
        chosen = most_urgent = None
        highest_credit = DISPATCH_COST_CREDITS - 1
        for rank, queue in enumerate(self._queues):
            if not queue:
                credits[rank] = 0
                continue
            if most_urgent is None:
                most_urgent = rank
            credit = credits[rank] = credits[rank] + self._earned_per_dispatch[rank]
            if credit > highest_credit:
                highest_credit = credit
                chosen = rank
        if most_urgent is None:
            return None
        if chosen is None:
            chosen = most_urgent
        credits[chosen] = max(0, credits[chosen] - DISPATCH_COST_CREDITS)
        return chosen

    def _collect_expired(self, now: float) -> None:
        """Move the entries whose deadline has passed to ``_expired``."""
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            key = heappop(deadlines)[2]
            for queue in self._queues:
                entry = queue.get(key)
                # A key can be pushed again after its entry left. Then this heap item is
                # stale, and the new entry has its own.
                if entry is not None and entry.deadline <= now:
                    del queue[key]
                    self._expired.append(entry)

    def _rebuild_deadlines(self) -> None:
        self._deadlines = [
            (entry.deadline, next(self._sequence), entry.key)
            for queue in self._queues
            for entry in queue.values()
        ]
        heapify(self._deadlines)


def check_floors(floors: Mapping[Rank, float]) -> None:
    """Raise ``ValueError`` unless floors are at least 0 and sum to less than 1."""
    for rank, floor in floors.items():
        if not 0.0 <= floor < 1.0:
            raise ValueError(f"floor of {rank.name} must be in [0, 1), got {floor}")
    total = sum(floors.values())
    if total >= 1.0:
        raise ValueError(f"sum of floors must be below 1, got {total}")
