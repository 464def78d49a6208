"""The budget of extra reads, which hedges and retries share."""

# Weight of one answer in the moving average of the share of answers from replicas under
# pressure; the average covers about the last 200 answers.
ANSWER_WEIGHT = 0.005
# Up to the first share the budget is earned in full, from the second on not at all. If
# a few replicas are slow, only few are under pressure and hedges help; under overload
# most are, and hedges would add to it.
THROTTLE_START_SHARE = 0.1
THROTTLE_STOP_SHARE = 0.3


class ExtraLoadBudget:
    """A stock of extra reads, earned by first reads.

    Extra reads are hedges, and retries of reads that may have run. Each first read of a
    shard earns ``ratio`` extra reads, which is in [0, 1], and each extra read spends 1.
    The stock starts empty, so that the extra reads spent from it never exceed ``ratio``
    of the first reads, and holds at most ``max_stock``. A replica is under pressure if
    many reads wait for it: the more answers come from such replicas, the less is
    earned, and nothing under overload. What was earned before can still be spent then,
    so that a read that was lost in a short burst can be retried.
    """

    def __init__(self, ratio: float = 0.05, *, max_stock: float = 20):
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be in [0, 1], got {ratio}")
        self.ratio = ratio
        self.max_stock = max_stock
        self._stock = 0.0
        self._pressure_share = 0.0

    @property
    def stock(self) -> float:
        """The number of extra reads that can be spent."""
        return self._stock

    def earn(self, reads: int) -> None:
        """Add what ``reads`` first reads earn; the more pressure, the less."""
        excess = self._pressure_share - THROTTLE_START_SHARE
        factor = 1.0 - max(0.0, excess) / (THROTTLE_STOP_SHARE - THROTTLE_START_SHARE)
        if factor > 0.0:
            earned = reads * self.ratio * factor
            self._stock = min(self.max_stock, self._stock + earned)

    def try_spend(self, amount: float = 1) -> bool:
        """Spend ``amount`` extra reads; return False if the stock is too low."""
        if self._stock < amount:
            return False
        self._stock -= amount
        return True

    def refund(self, amount: float = 1) -> None:
        """Add back ``amount`` extra reads that were cancelled before they started."""
        self._stock = min(self.max_stock, self._stock + amount)

    def record_answer(self, under_pressure: bool) -> None:
        """Update the share of answers from replicas under pressure."""
        self._pressure_share += ANSWER_WEIGHT * (under_pressure - self._pressure_share)
