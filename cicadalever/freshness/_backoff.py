"""Pauses between failed calls to the platform."""

from random import Random

# Pause after the first failure. Up to half of each pause is added at random, so that
# hosts do not call the platform at the same moment.
MIN_PAUSE_S = 0.1


class Backoff:
    """Exponential back-off that counts the time which a failed call took.

    A call that timed out has kept the platform from being called as well as a pause.

    >>> backoff = Backoff(max_s=0.6, rng=Random(1))
    >>> pauses = [backoff.next_pause_s(elapsed_s=0.0) for _ in range(9)]
    >>> pauses[0] <= 0.15 and 0.6 <= pauses[-1] <= 0.9
    True
    >>> backoff.next_pause_s(elapsed_s=2.0) <= 0.15
    True
    """

    def __init__(self, max_s: float, rng: Random):
        self.max_s = max_s
        self.rng = rng
        self._seconds = MIN_PAUSE_S

    def reset(self) -> None:
        """Begin with the least pause again after a success."""
        self._seconds = MIN_PAUSE_S

    def next_pause_s(self, elapsed_s: float) -> float:
        """Return the pause after a failed call that took ``elapsed_s`` seconds."""
        jitter = 1.0 + 0.5 * self.rng.random()
        pause_s = max(MIN_PAUSE_S * jitter, self._seconds * jitter - elapsed_s)
        self._seconds = min(self.max_s, 2.0 * self._seconds)
        return pause_s
