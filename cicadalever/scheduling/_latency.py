"""A quantile of the latencies in a sliding window."""

from ddsketch import LogCollapsingLowestDenseDDSketch

RELATIVE_ACCURACY = 0.01

# At an accuracy of 1%, 1024 bins cover latencies that differ by a factor of up to 7e8;
# lower latencies share the lowest bin.
MAX_BINS = 1024

# Merging the sketches and computing the quantile takes tens of microseconds, so the
# value is cached for this long.
REFRESH_S = 0.25


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, MAX_BINS)


class LatencyQuantile:
    """The ``quantile`` of the latencies of the last ``window_s`` seconds.

    ``quantile`` is in (0, 1). Two sketches cover half of the window each; the older one
    is dropped when the newer one has covered its half. There is no value while the
    window has fewer than ``min_samples`` latencies.

    Source: Masson, Rim, Lee, "DDSketch", VLDB 2019.
    """

    def __init__(self, quantile: float, *, window_s: float = 60, min_samples: int = 50):
        if not 0.0 < quantile < 1.0:
            raise ValueError(f"quantile must be in (0, 1), got {quantile}")
        self.quantile = quantile
        self.window_s = window_s
        self.min_samples = min_samples
        self._older = _new_sketch()
        self._newer = _new_sketch()
        self._newer_since: float | None = None
        self._value: float | None = None
        self._value_until = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Add one latency in seconds."""
        if self._newer_since is None or now - self._newer_since >= self.window_s / 2:
            self._rotate_sketches(now)
        self._newer.add(seconds)

    def value(self, now: float) -> float | None:
        """Return the quantile in seconds, or None when there are too few samples."""
        if now < self._value_until:
            return self._value
        if self._newer_since is None:
            return None
        if now - self._newer_since >= self.window_s / 2:
            self._rotate_sketches(now)
        if self._older.count + self._newer.count < self.min_samples:
            return None
        merged = _new_sketch()
        merged.merge(self._older)
        merged.merge(self._newer)
        self._value = merged.get_quantile_value(self.quantile)
        self._value_until = now + REFRESH_S
        return self._value

    def _rotate_sketches(self, now: float) -> None:
        is_newer_in_window = (
            self._newer_since is not None and now - self._newer_since < self.window_s
        )
        self._older = self._newer if is_newer_in_window else _new_sketch()
        self._newer = _new_sketch()
        self._newer_since = now
