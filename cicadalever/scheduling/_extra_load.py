"""The budget that hedges and retries share."""

# Weight of one answer in the share of answers from pressed replicas; the share covers
# about the last 200 answers.
PRESSURE_WEIGHT = 0.005
# Up to the first share the budget is earned in full, from the second on not at all. A
# few pressed replicas, as stragglers leave them, need hedges; a flood presses most.
NO_PRESSURE = 0.1
FULL_PRESSURE = 0.3


class ExtraLoadBudget:
    """A stock of extra reads, earned by first reads.

    Each first read earns ``ratio`` and each extra read spends 1. The stock starts
    empty, so extra reads never exceed ``ratio`` of the first reads, and holds at most
    ``max_stock``. Less is earned when many answers come from pressed replicas, and
    nothing under overload. What was earned before stays available then, so that a
    read that was lost in a short burst can still be repeated.
    """

    def __init__(self, ratio: float = 0.05, *, max_stock: float = 20):
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be in [0, 1], got {ratio}")
        self.ratio = ratio
        self.max_stock = max_stock
        self._stock = 0.0
        self._pressed_share = 0.0

    @property
    def stock(self) -> float:
        """The number of extra reads that can be spent."""
        return self._stock

    def earn(self, reads: int) -> None:
        """Add the share of ``reads`` first reads that the pressure leaves."""
        excess = self._pressed_share - NO_PRESSURE
        factor = 1.0 - max(0.0, excess) / (FULL_PRESSURE - NO_PRESSURE)
        if factor > 0.0:
            earned = reads * self.ratio * factor
            self._stock = min(self.max_stock, self._stock + earned)

    def try_spend(self, amount: float = 1) -> bool:
        """Spend ``amount`` extra reads, if the stock holds them."""
        if self._stock < amount:
            return False
        self._stock -= amount
        return True

    def note_answer(self, pressed: bool) -> None:
        """Count an answer; ``pressed`` tells whether its replica is overloaded."""
        self._pressed_share += PRESSURE_WEIGHT * (pressed - self._pressed_share)
