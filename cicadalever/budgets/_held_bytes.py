"""Bytes that one holder reports to the budget of its process."""

from collections.abc import Callable

from ._memory import HeldKind, MemoryBudget

# Fewer bytes are not reported: most messages arrive or leave at once.
MIN_REPORTED_BYTES = 2048


class HeldBytes:
    """Reports the bytes that a part of a connection holds.

    >>> budget = MemoryBudget(10_000)
    >>> held = HeldBytes(budget, HeldKind.UPLOAD)
    >>> held.set(4000)
    >>> budget.held_bytes
    4000
    >>> held.set(0)
    >>> budget.held_bytes
    0
    """

    __slots__ = ("_budget", "_kind", "_on_drop", "_is_reported")

    def __init__(
        self,
        budget: MemoryBudget,
        kind: HeldKind,
        on_drop: Callable[[], None] = lambda: None,
    ):
        self._budget = budget
        self._kind = kind
        self._on_drop = on_drop
        self._is_reported = False

    def set(self, size: int) -> None:
        """Report that ``size`` bytes are held now; 0 if none are."""
        if size >= MIN_REPORTED_BYTES:
            self._is_reported = True
            self._budget.hold(self, self._kind, size, self._on_drop)
        elif self._is_reported:
            self._is_reported = False
            self._budget.release(self)

    def pin(self, size: int) -> bool:
        """Report ``size`` bytes that cannot be dropped; return False without room."""
        if size < MIN_REPORTED_BYTES:
            return True
        self._is_reported = self._budget.pin(self, self._kind, size)
        return self._is_reported
