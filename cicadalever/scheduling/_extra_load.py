"""The budget that hedges and retries share."""


class ExtraLoadBudget:
    """A stock of extra reads, earned by first reads.

    Each first read earns ``ratio`` and each extra read spends 1. The stock starts
    empty, so extra reads never exceed ``ratio`` of the first reads, and holds at most
    ``max_stock``. Nothing is earned for ``pressure_hold_s`` seconds after owners
    reported pressure. What was earned before stays available then, so that a read
    that was lost in a short burst can still be repeated.
    """

    def __init__(
        self,
        ratio: float = 0.05,
        *,
        max_stock: float = 20,
        pressure_hold_s: float = 1.0,
    ):
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio must be in [0, 1], got {ratio}")
        self.ratio = ratio
        self.max_stock = max_stock
        self.pressure_hold_s = pressure_hold_s
        self._stock = 0.0
        self._pressure_until = float("-inf")

    @property
    def stock(self) -> float:
        """The number of extra reads that can be spent."""
        return self._stock

    def earn(self, reads: int, now: float) -> None:
        """Add the share of ``reads`` first reads, unless owners are under pressure."""
        if now >= self._pressure_until:
            self._stock = min(self.max_stock, self._stock + reads * self.ratio)

    def try_spend(self, now: float, amount: float = 1) -> bool:
        """Spend ``amount`` extra reads, if the stock holds them."""
        if self._stock < amount:
            return False
        self._stock -= amount
        return True

    def note_pressure(self, now: float) -> None:
        """Stop earning for ``pressure_hold_s`` seconds."""
        self._pressure_until = now + self.pressure_hold_s
