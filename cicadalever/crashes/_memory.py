"""Whether a host may lack what others know, or have known, of crashing requests."""

# Age of the memory of all hosts after which a request that crashes replicas has mostly
# come again.
NEEDED_AGE_S = 60.0
# Time without an answer of any host after which this one may be cut off from the
# others. After ``NEEDED_AGE_S`` it counts as the only one left.
SILENCE_S = 5.0


class SharedMemory:
    """Age of what this host knows, from its own start or from other hosts.

    A host that starts learns from the others what they know. If all have started again,
    nobody knows which requests have crashed replicas before. On the first start of the
    deployment there have been none. Times are on one monotonic clock in seconds.

    >>> memory = SharedMemory(100.0, is_first_start=False)
    >>> memory.is_complete(101.0)
    False
    >>> memory.record_answer(500.0, now=101.0)
    >>> memory.is_complete(101.0), memory.is_complete(110.0)
    (True, False)
    """

    def __init__(self, now: float, *, is_first_start: bool):
        self._since = float("-inf") if is_first_start else now
        self._answered_at: float | None = None

    def record_answer(self, age_s: float, now: float) -> None:
        """Record that a host whose memory has a given age has told what it knows."""
        self._since = min(self._since, now - age_s)
        self._answered_at = now

    def age_s(self, now: float) -> float:
        """Return the age of the memory in seconds."""
        return now - self._since

    def is_complete(self, now: float) -> bool:
        """Return whether this host probably knows what any host has known."""
        if self.age_s(now) < NEEDED_AGE_S:
            return False
        if self._answered_at is None:
            return True
        silent_s = now - self._answered_at
        return not SILENCE_S < silent_s < NEEDED_AGE_S
