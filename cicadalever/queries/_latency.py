"""Measured latency of reads, by index."""

from cicadalever.scheduling import LatencyQuantile

# Delay before a hedge while too few reads have been measured, in seconds.
DEFAULT_HEDGE_DELAY_S = 0.05
MIN_HEDGE_DELAY_S = 0.002


class LatencyByIndex:
    """Keeps one latency quantile for each index.

    Indexes differ in service time, so one common quantile would hedge all reads of
    the slow ones and none of the fast ones.
    """

    def __init__(self, quantile: float):
        self.quantile = quantile
        self._by_index: dict[str, LatencyQuantile] = {}

    def set_quantile(self, quantile: float) -> None:
        """Measure another quantile; what was measured so far is dropped."""
        if quantile != self.quantile:
            self.quantile = quantile
            self._by_index.clear()

    def add(self, shard: str, seconds: float, now: float) -> None:
        """Record the latency of a read of ``shard`` ("index/shard")."""
        index = shard.partition("/")[0]
        sketch = self._by_index.get(index)
        if sketch is None:
            sketch = self._by_index[index] = LatencyQuantile(self.quantile)
        sketch.add(seconds, now)

    def hedge_delay(self, shard: str, now: float) -> float:
        """Return the seconds after which a read of ``shard`` is hedged."""
        sketch = self._by_index.get(shard.partition("/")[0])
        value = sketch.value(now) if sketch else None
        return DEFAULT_HEDGE_DELAY_S if value is None else max(value, MIN_HEDGE_DELAY_S)
