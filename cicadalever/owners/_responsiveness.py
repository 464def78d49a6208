"""Detection of a replica that accepts reads and answers none."""

# A replica is stuck when reads run and none ended for this many service times, but not
# earlier than MIN_QUIET_S, or when this many reads in a row ran into their timeout.
STUCK_SERVICE_TIMES = 10
MIN_SILENCE_S = 0.25
MAX_TIMEOUTS = 3
MAX_FALSE_ALARMS = 5


class Responsiveness:
    """Whether a replica seems not to answer at all, so that it should be probed.

    A cut network or a hung process keeps connections open, so that only the missing
    answers show it. ``now`` is in seconds.

    >>> state = Responsiveness()
    >>> state.record_start(0.0, running=0)
    >>> state.is_stuck(1.0, running=1, service_time_s=0.005)
    True
    """

    def __init__(self):
        self._false_alarms = 0
        self._silent_since = 0.0
        self._timeouts = 0

    def record_start(self, now: float, running: int) -> None:
        """Record the start of a read beside ``running`` others."""
        if running == 0 and self._timeouts == 0:
            self._silent_since = now

    def record_answer(self, now: float) -> None:
        """Record an answer of any kind."""
        self._silent_since = now
        self._timeouts = 0

    def record_false_alarm(self, now: float) -> None:
        """Record that a probe was answered although the replica seemed stuck.

        Its reads take longer than was measured, so the next alarm comes later.
        """
        self._false_alarms = min(self._false_alarms + 1, MAX_FALSE_ALARMS)
        self.record_answer(now)

    def record_timeout(self) -> None:
        """Record a read that got no answer by its deadline."""
        self._timeouts += 1

    def is_stuck(self, now: float, running: int, service_time_s: float) -> bool:
        """Tell whether the replica leaves its reads unanswered."""
        if self._timeouts >= MAX_TIMEOUTS:
            return True
        silence_s = max(MIN_SILENCE_S, STUCK_SERVICE_TIMES * service_time_s)
        silence_s *= 2**self._false_alarms
        return running > 0 and now - self._silent_since > silence_s
