"""The queue in front of a replica: strict rank order with floors."""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from cicadalever.outcomes import Failure, FailureCode

from ._rank import Rank

# Credits are integers, since ten times a float 0.1 stays below 1.0 and would delay
# the dispatch that a floor promises.
CREDIT_PER_DISPATCH = 1_000_000

# The deadline heap keeps items of entries that left the queue. It is rebuilt when
# fewer than half of its items, less this slack, still wait.
STALE_DEADLINES_SLACK = 64


class QueueEntry(NamedTuple):
    """One waiting item; ``deadline`` and ``queued_at`` are seconds."""

    key: Hashable
    item: Any
    rank: Rank
    deadline: float
    queued_at: float


class RankQueue:
    """A queue that serves the most urgent rank first, with a floor per rank.

    ``floors`` maps a rank to its least share of the dispatches while it has waiting
    work. The shares are at least 0 and their sum is below 1. Over any window of ``n``
    dispatches a rank that waits throughout is served at least ``n * floor - 2`` times.
    Inside a rank, entries are served in the order of arrival.

    ``max_length`` bounds each rank on its own, so that a flood in one rank does not
    make the queue refuse the others.

    Every entry leaves exactly once: through ``pop``, ``remove``, ``take_expired`` or
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
        self._gains = [
            round(floors.get(rank, 0.0) * CREDIT_PER_DISPATCH) for rank in Rank
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
        """The number of waiting entries of each rank."""
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
        """Add an entry, or say why it is refused.

        With ``at_front`` it goes before the waiting entries of its rank.

        The codes are ``DEADLINE`` (it has passed), ``DUPLICATE_ID`` (the key waits
        already) and ``OVERLOAD`` (the rank is full).
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
        """Return the next entry to run; expired ones wait for ``take_expired``."""
        if self._deadlines and self._deadlines[0][0] <= now:
            self._collect_expired(now)
        rank = self._choose_rank()
        if rank is None:
            return None
        return self._queues[rank].popitem(last=False)[1]

    def take_expired(self, now: float) -> list[QueueEntry]:
        """Return the entries whose deadline passed and that were not returned yet."""
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
        """Remove and return all entries, with those that expired first."""
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
        """Return the seconds that an entry of ``rank`` pushed now would wait.

        Entries of its own and more urgent ranks go first, slowed by the floors of
        less urgent ranks that wait. The own floor bounds the wait from above. Later
        arrivals of more urgent ranks are not foreseen.
        """
        lengths = [len(queue) for queue in self._queues]
        lower = sum(
            self._gains[other] for other in range(rank + 1, len(Rank)) if lengths[other]
        )
        dispatches = sum(lengths[: rank + 1]) / (1.0 - lower / CREDIT_PER_DISPATCH)
        if self._gains[rank]:
            own = (lengths[rank] + 1) * CREDIT_PER_DISPATCH / self._gains[rank]
            dispatches = min(dispatches, own)
        return dispatches * service_time_s / max(concurrency, 1)

    def _choose_rank(self) -> int | None:
        """Return the rank to serve and settle the credits of this dispatch.

        A rank that waits earns its floor with each dispatch and is served out of
        order once it has earned a whole dispatch. Being served in order leaves no
        debt, or the floor would fail in a window that starts right after.
        """
        credits = self._credits
        chosen = urgent = None
        most = CREDIT_PER_DISPATCH - 1
        for rank, queue in enumerate(self._queues):
            if not queue:
                credits[rank] = 0
                continue
            if urgent is None:
                urgent = rank
            credit = credits[rank] = credits[rank] + self._gains[rank]
            if credit > most:
                most = credit
                chosen = rank
        if urgent is None:
            return None
        if chosen is None:
            chosen = urgent
        credits[chosen] = max(0, credits[chosen] - CREDIT_PER_DISPATCH)
        return chosen

    def _collect_expired(self, now: float) -> None:
        """Move every entry whose deadline passed to the expired entries."""
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            key = heappop(deadlines)[2]
            for queue in self._queues:
                entry = queue.get(key)
                # A key can be pushed again after it left; then the heap item is
                # stale and the new entry has an item of its own.
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
