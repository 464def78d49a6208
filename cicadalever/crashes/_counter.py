"""Requests that replicas do not survive, counted without trial reads."""

from collections import OrderedDict

# Replicas that may be lost to a request, on all hosts together, before it is refused.
MAX_CRASHES = 3
# Time for which a request is refused. It is then tried again, since the suspicion may
# be wrong; each further crash doubles the time.
MIN_REFUSAL_S = 20.0
MAX_REFUSAL_S = 600.0
# Time after which crashes are forgotten if no further one follows.
MEMORY_S = 900.0
# Bounds the memory; the fingerprint without a crash for the longest time is evicted.
MAX_FINGERPRINTS = 1000


class _Crashes:
    __slots__ = (
        "by_host",
        "own",
        "own_recorded_at",
        "refusal_s",
        "refused_until",
        "updated_at",
    )

    def __init__(self):
        self.own = 0
        self.own_recorded_at = float("-inf")
        self.by_host: dict[str, int] = {}
        self.refusal_s = MIN_REFUSAL_S
        self.refused_until = float("-inf")
        self.updated_at = float("-inf")


class CrashCounter:
    """Counts the replicas that were lost while they ran requests, by fingerprint.

    A crash also ends the other requests that the replica ran, and connections break for
    other reasons, so a loss alone proves nothing. But these requests get an answer from
    another replica sooner or later, which clears them, and a request that crashes
    replicas never does. Hosts tell each other their counts, because callers send such a
    request to any host. Times are on one monotonic clock in seconds.

    >>> counter = CrashCounter()
    >>> counter.record_end(7, losses=2, has_answer=False, now=0.0)
    2
    >>> counter.record_report("host-2", 7, crashes=1, now=0.1)
    >>> counter.refusal_left_s(7, now=1.1)
    19.0
    """

    def __init__(self):
        self._crashes: OrderedDict[int, _Crashes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._crashes)

    def record_end(
        self, fingerprint: int, losses: int, *, has_answer: bool, now: float
    ) -> int:
        """Record a request that lost replicas or was answered.

        Return the number of crashes of this host that others should know, or 0.
        """
        if has_answer:
            self._crashes.pop(fingerprint, None)
            return 0
        if losses == 0:
            return 0
        entry = self._entry(fingerprint, now)
        entry.own += losses
        entry.own_recorded_at = now
        self._refuse_if_due(entry, now)
        return entry.own

    def forget_own(self, since: float) -> None:
        """Forget requests to which this host lost replicas at or after a time.

        The host has lost its links since then, not the replicas.
        """
        lost = [
            fingerprint
            for fingerprint, entry in self._crashes.items()
            if entry.own_recorded_at >= since
        ]
        for fingerprint in lost:
            del self._crashes[fingerprint]

    def record_report(
        self, host: str, fingerprint: int, crashes: int, now: float
    ) -> None:
        """Record the number of crashes that another host has counted."""
        entry = self._entry(fingerprint, now)
        if crashes > entry.by_host.get(host, 0):
            entry.by_host[host] = crashes
            self._refuse_if_due(entry, now)

    def refusal_left_s(self, fingerprint: int, now: float) -> float:
        """Return the seconds for which a request must not run; 0 if it may."""
        entry = self._crashes.get(fingerprint)
        if entry is None:
            return 0.0
        if now - entry.updated_at > MEMORY_S:
            del self._crashes[fingerprint]
            return 0.0
        return max(0.0, entry.refused_until - now)

    def _entry(self, fingerprint: int, now: float) -> _Crashes:
        entry = self._crashes.get(fingerprint)
        if entry is None or now - entry.updated_at > MEMORY_S:
            entry = self._crashes[fingerprint] = _Crashes()
            if len(self._crashes) > MAX_FINGERPRINTS:
                self._crashes.popitem(last=False)
        self._crashes.move_to_end(fingerprint)
        entry.updated_at = now
        return entry

    def _refuse_if_due(self, entry: _Crashes, now: float) -> None:
        crashes = entry.own + sum(entry.by_host.values())
        if crashes >= MAX_CRASHES and now >= entry.refused_until:
            entry.refused_until = now + entry.refusal_s
            entry.refusal_s = min(MAX_REFUSAL_S, 2.0 * entry.refusal_s)
