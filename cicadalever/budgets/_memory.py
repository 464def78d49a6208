"""Memory of a process for what it holds for others."""

import time
from collections.abc import Callable, Hashable
from enum import StrEnum
from typing import NamedTuple

from loguru import logger

# Share of the budget that one holder may take.
MAX_SHARE_PER_HOLDER = 0.25
# Share of the budget that may be held without the possibility to drop it.
MAX_PINNED_SHARE = 0.5
# Share of the budget to which holders are dropped, so that a full budget does not cause
# a search for each further byte.
DROP_TO_SHARE = 0.9
# Added to the age of holders, so that the size decides among young ones.
YOUNG_S = 0.1
DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class HeldKind(StrEnum):
    """What the bytes are held for.

    - ``ANSWER``: an answer of a replica or peer that is not complete.
    - ``UPLOAD``: a request of a caller or peer that is not complete.
    - ``REQUEST``: a complete request that waits for its response.
    - ``RESPONSE``: a response of which the receiver has not taken all.
    """

    ANSWER = "answer"
    UPLOAD = "upload"
    REQUEST = "request"
    RESPONSE = "response"


class Dropped(NamedTuple):
    """A holder that had to free its bytes, and for how long it had held some.

    The time is 0 if there was no room to pin them.
    """

    kind: HeldKind
    size: int
    seconds: float


class _Holding(NamedTuple):
    kind: HeldKind
    size: int
    since: float
    on_drop: Callable[[], None] | None


class MemoryBudget:
    """Limits the bytes that a process holds for all others together.

    Holders report how much they hold. When the sum exceeds ``max_bytes``, the holder
    with the greatest product of bytes and time since its first byte is dropped, and so
    on. Senders without end and receivers that do not read are dropped first, whatever
    the kind, and what comes and goes quickly stays. Pinned holders are never dropped,
    but only a part of the budget may be pinned.

    ``clock`` returns monotonic seconds, and ``on_dropped`` is called for each drop.

    >>> budget = MemoryBudget(100)
    >>> budget.hold("a", HeldKind.ANSWER, 60, on_drop=lambda: print("a dropped"))
    >>> budget.hold("b", HeldKind.UPLOAD, 50, on_drop=lambda: print("b dropped"))
    a dropped
    >>> budget.held_bytes
    50
    """

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ):
        if max_bytes < 1:
            raise ValueError(f"max_bytes must be in [1, inf), got {max_bytes}")
        self.max_bytes = max_bytes
        self.clock = clock
        self.on_dropped: Callable[[Dropped], None] = lambda dropped: None
        self._holdings: dict[Hashable, _Holding] = {}
        self._bytes_by_kind = dict.fromkeys(HeldKind, 0)
        self._total_bytes = 0
        self._pinned_bytes = 0

    @property
    def max_holder_bytes(self) -> int:
        """Most bytes that one holder may hold."""
        return max(1, int(self.max_bytes * MAX_SHARE_PER_HOLDER))

    @property
    def held_bytes(self) -> int:
        """Bytes that all holders have reported."""
        return self._total_bytes

    @property
    def bytes_by_kind(self) -> dict[HeldKind, int]:
        """Bytes that the holders of each kind have reported."""
        return dict(self._bytes_by_kind)

    def pin(self, holder: Hashable, kind: HeldKind, size: int) -> bool:
        """Hold bytes that cannot be dropped; return False if there is no room."""
        if self._pinned_bytes + size > self.max_bytes * MAX_PINNED_SHARE:
            self.on_dropped(Dropped(kind, size, 0.0))
            return False
        self._hold(holder, kind, size, None)
        return True

    def hold(
        self,
        holder: Hashable,
        kind: HeldKind,
        size: int,
        on_drop: Callable[[], None],
    ) -> None:
        """Record that ``holder`` now holds ``size`` bytes.

        ``on_drop`` is called, perhaps before this method returns, if the holder has to
        free them.
        """
        self._hold(holder, kind, size, on_drop)

    def release(self, holder: Hashable) -> None:
        """Record that ``holder`` holds nothing any more."""
        self._take(holder)

    def _hold(
        self,
        holder: Hashable,
        kind: HeldKind,
        size: int,
        on_drop: Callable[[], None] | None,
    ) -> None:
        previous = self._take(holder)
        since = self.clock() if previous is None else previous.since
        self._add(holder, _Holding(kind, size, since, on_drop))
        if self._total_bytes > self.max_bytes:
            self._drop()

    def _add(self, holder: Hashable, holding: _Holding) -> None:
        self._holdings[holder] = holding
        self._count(holding, holding.size)

    def _take(self, holder: Hashable) -> _Holding | None:
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._count(holding, -holding.size)
        return holding

    def _count(self, holding: _Holding, size: int) -> None:
        self._total_bytes += size
        self._bytes_by_kind[holding.kind] += size
        if holding.on_drop is None:
            self._pinned_bytes += size

    def _call(self, on_drop: Callable[[], None]) -> None:
        try:
            on_drop()
        except Exception:
            # It runs in the middle of what another holder does.
            logger.exception("a holder has failed to free its bytes")

    def _drop(self) -> None:
        now = self.clock()

        def cost(holder: Hashable) -> float:
            holding = self._holdings[holder]
            return holding.size * (now - holding.since + YOUNG_S)

        droppable = [
            holder
            for holder, holding in self._holdings.items()
            if holding.on_drop is not None
        ]
        for holder in sorted(droppable, key=cost, reverse=True):
            if self._total_bytes <= self.max_bytes * DROP_TO_SHARE:
                return
            # The callback of another holder may have released this one.
            holding = self._take(holder)
            if holding is not None:
                self._call(holding.on_drop)
                dropped = Dropped(holding.kind, holding.size, now - holding.since)
                self.on_dropped(dropped)
