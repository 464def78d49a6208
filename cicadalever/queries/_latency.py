"""Latency quantiles of reads by index, for the delay of hedges."""

from cicadalever.scheduling import LatencyQuantile

# Used while too few reads of an index have been measured.
DEFAULT_HEDGE_DELAY_S = 0.05
MIN_HEDGE_DELAY_S = 0.002


class LatencyByIndex:
    """One latency quantile (0 to 1) for each index.

    Indexes differ in service time: with one common quantile all reads of the slow
    indexes would be hedged and none of the fast ones.
    """

    def __init__(self, quantile: float):
        self.quantile = quantile
        self._quantiles: dict[str, LatencyQuantile] = {}

    def set_quantile(self, quantile: float) -> None:
        """Change the quantile; the latencies recorded so far are dropped."""
        if quantile != self.quantile:
            self.quantile = quantile
            self._quantiles.clear()

    def add(self, shard: str, seconds: float, now: float) -> None:
        """Add the latency of a read of ``shard``, whose id is "index/shard"."""
        index = shard.partition("/")[0]
        latency = self._quantiles.get(index)
        if latency is None:
            latency = self._quantiles[index] = LatencyQuantile(self.quantile)
        latency.add(seconds, now)

    def hedge_delay(self, shard: str, now: float) -> float:
        """Return the seconds after which a read of ``shard`` is hedged."""
        latency = self._quantiles.get(shard.partition("/")[0])
        value = latency.value(now) if latency else None
        return DEFAULT_HEDGE_DELAY_S if value is None else max(value, MIN_HEDGE_DELAY_S)
