"""Detects replicas that accept reads and do not answer them."""

# A replica is stuck when reads are running and none was answered for this many service
# times, at least MIN_SILENCE_S, or when MAX_TIMEOUTS reads in a row timed out.
STUCK_SERVICE_TIMES = 10
MIN_SILENCE_S = 0.25
MAX_TIMEOUTS = 3
# Each false alarm doubles the silence that is tolerated, up to this many times.
MAX_FALSE_ALARMS = 5


class Responsiveness:
    """Detects that a replica seems not to answer at all and should be probed.

    Connections stay open when the network is cut or the process hangs, so missing
    answers are the only sign. ``now`` is in seconds.

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
        """Record the start of a read while ``running`` others are running."""
        if running == 0 and self._timeouts == 0:
            self._silent_since = now

    def record_answer(self, now: float) -> None:
        """Record an answer, successful or not."""
        self._silent_since = now
        self._timeouts = 0

    def record_false_alarm(self, now: float) -> None:
        """Record that a probe was answered although the replica seemed stuck.

        Its reads take longer than the measured service time, so a longer silence is
        tolerated from now on.
        """
        self._false_alarms = min(self._false_alarms + 1, MAX_FALSE_ALARMS)
        self.record_answer(now)

    def record_timeout(self) -> None:
        """Record a read that got no answer by its deadline."""
        self._timeouts += 1

    def is_stuck(self, now: float, running: int, service_time_s: float) -> bool:
        """Tell whether the replica has left its reads unanswered for too long."""
        if self._timeouts >= MAX_TIMEOUTS:
            return True
        max_silence_s = max(MIN_SILENCE_S, STUCK_SERVICE_TIMES * service_time_s)
        max_silence_s *= 2**self._false_alarms
        return running > 0 and now - self._silent_since > max_silence_s
