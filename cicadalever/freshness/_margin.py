"""Time that is left for the answer to a call."""

# The margin is multiplied by this after a call that timed out.
GROWTH = 1.5
# Share of the excess that is taken off after each answer.
DECAY = 0.1
# A platform that was this late may be late by as much again.
LATENESS_FACTOR = 2.0
# After this many time-outs at the greatest margin in a row, the platform is taken for
# slower than that, and given up to this much time.
PATIENT_TIMEOUTS = 3
LONGEST_S = 2.5
# Least margin for a platform that is slower, as a multiple of its lateness.
LEAST_LATENESS_FACTOR = 1.25


class AnswerMargin:
    """Time that is left for an answer after the wait of a call.

    It grows with each call that timed out, so that a slower platform is heard, and
    follows the lateness of the answers down again slowly. ``max_s`` bounds the time for
    which a lost call goes unnoticed. It is exceeded, up to ``LONGEST_S``, only after
    several time-outs in a row: a host that never hears a slow platform stays out of
    date for good, which is worse. A prompt answer ends that. Times are in seconds.

    >>> margin = AnswerMargin(min_s=0.5, max_s=1.2)
    >>> margin.record_timeout()
    >>> margin.seconds
    0.75
    >>> margin.record_answer(late_s=0.5)
    >>> margin.seconds
    1.0
    """

    def __init__(self, min_s: float, max_s: float):
        self.min_s = min_s
        self.max_s = max_s
        self._seconds = min_s
        self._timeouts_at_max = 0

    @property
    def seconds(self) -> float:
        """Current margin.

        It exceeds ``max_s`` only for a platform that would not be heard otherwise.
        """
        return self._seconds

    def record_timeout(self) -> None:
        """Record that no answer came in time."""
        if self._seconds >= self.max_s:
            self._timeouts_at_max += 1
        is_patient = self._timeouts_at_max >= PATIENT_TIMEOUTS
        limit_s = max(self.max_s, LONGEST_S) if is_patient else self.max_s
        self._seconds = min(limit_s, GROWTH * self._seconds)

    def record_answer(self, late_s: float) -> None:
        """Record an answer that came ``late_s`` seconds after the end of the wait."""
        self._timeouts_at_max = 0
        target_s = max(
            min(self.max_s, max(self.min_s, LATENESS_FACTOR * late_s)),
            min(LONGEST_S, LEAST_LATENESS_FACTOR * late_s),
        )
        latest_s = min(self._seconds, max(self.max_s, target_s))
        excess_s = max(0.0, latest_s - target_s)
        self._seconds = target_s + (1.0 - DECAY) * excess_s
