"""Decision whether a host has lost its links to its upstreams."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

# Longest time without a new connection to some replica before one is opened as a probe.
PROBE_PERIOD_S = 0.5
# Age at which a probe without an answer raises a suspicion, and at which it has failed.
# Replicas accept connections within milliseconds.
SUSPICIOUS_AGE_S = 0.08
MAX_PROBE_AGE_S = 0.25
# Different replicas that must refuse connections, and how many of these another host
# must have connected to meanwhile, before this host counts as cut off.
NEEDED_FAILURES = 6
NEEDED_CONFIRMATIONS = 2
# Different replicas that must accept connections before it counts as connected again.
NEEDED_SUCCESSES = 2
# Probes in progress at a time while the host is cut off.
CUT_OFF_PROBES = 4
# Time after which the replicas of an unconfirmed suspicion are probed again.
SUSPICION_PERIOD_S = 0.5


class ContactState(StrEnum):
    """What the evidence says about the links to the upstreams.

    ``SUSPECTED`` means that connections fail, but that either too few have failed or no
    other host has reached the same replicas: these may be dead.
    """

    CONNECTED = "connected"
    SUSPECTED = "suspected"
    CUT_OFF = "cut_off"


class ContactEvidence(NamedTuple):
    """Evidence for a state; the counts are of different replicas.

    ``age_s`` is the time in seconds since a replica last accepted a connection.
    """

    age_s: float
    failed: int
    confirmed: int


class ContactMonitor:
    """Tells a host without links to its upstreams from upstreams that are dead.

    Only new connections count, because open ones may outlive a partition. A failed
    connection shows that a replica or the link to it is down. The link is what all
    failures have in common if several replicas refuse this host and another host
    connects to the same replicas. A replica may come back or die meanwhile, so another
    host must reach it before and after it refuses this host. The number of probes
    depends neither on the traffic of the host nor on the number of shards or hosts.
    Times are on one monotonic clock in seconds.

    >>> monitor = ContactMonitor(now=0.0)
    >>> monitor.known_replicas = 1
    >>> monitor.record_start("a", now=0.5)
    >>> monitor.record_failure("a", started_at=0.5, now=0.75)
    >>> monitor.state
    <ContactState.SUSPECTED: 'suspected'>
    >>> monitor.record_report({"a"}, asked_at=0.7, now=0.8)
    >>> monitor.replicas_to_recheck(), monitor.is_cut_off
    (['a'], False)
    >>> monitor.record_start("a", now=0.8)
    >>> monitor.record_failure("a", started_at=0.8, now=1.05)
    >>> monitor.record_report({"a"}, asked_at=1.05, now=1.06)
    >>> monitor.is_cut_off
    True
    """

    def __init__(self, now: float):
        # Number of replicas that could be probed.
        self.known_replicas = 0
        self._state = ContactState.CONNECTED
        # Start times of the probes in progress.
        self._probes: dict[str, float] = {}
        self._failed: set[str] = set()
        # When another host reported that it has connected to a replica.
        self._reported: dict[str, float] = {}
        # When a replica has refused this host after such a report.
        self._refused: dict[str, float] = {}
        # Replicas that another host has reached once more after that.
        self._confirmed: set[str] = set()
        self._reached_again: set[str] = set()
        self._reached_at = now
        self._probed_at = now
        self._suspected_since = now

    @property
    def state(self) -> ContactState:
        """State that follows from the evidence so far."""
        return self._state

    @property
    def is_cut_off(self) -> bool:
        """Whether this host has lost its links while others reach the replicas."""
        return self._state is ContactState.CUT_OFF

    @property
    def suspected_since(self) -> float | None:
        """Time since when connections may fail, or None while they do not."""
        if self._state is ContactState.CONNECTED:
            return None
        return self._suspected_since

    @property
    def unreached_replicas(self) -> set[str]:
        """Replicas that other hosts should be asked about."""
        return self._failed | self._probes.keys()

    def evidence(self, now: float) -> ContactEvidence:
        """Return the evidence for the present state."""
        return ContactEvidence(
            now - self._reached_at, len(self._failed), len(self._confirmed)
        )

    def count_due_probes(self, now: float) -> int:
        """Return how many replicas should be probed now, besides those to recheck."""
        self._check_age(now)
        running = len(self._probes)
        if self._state is ContactState.CUT_OFF:
            return max(0, CUT_OFF_PROBES - running)
        if self._state is ContactState.SUSPECTED:
            if now - self._probed_at >= SUSPICION_PERIOD_S:
                return max(0, NEEDED_FAILURES - running)
            return max(0, NEEDED_FAILURES - len(self.unreached_replicas))
        last = max(self._reached_at, self._probed_at)
        return int(not running and now - last >= PROBE_PERIOD_S)

    def replicas_to_recheck(self) -> list[str]:
        """Return the replicas that other hosts reach and that should be probed now."""
        if self._state is not ContactState.SUSPECTED:
            return []
        return [
            replica_id
            for replica_id, reported_at in self._reported.items()
            if replica_id not in self._refused
            and self._probes.get(replica_id, float("-inf")) < reported_at
        ]

    def replicas_to_confirm(self) -> list[str]:
        """Return the replicas that other hosts should be asked about at once."""
        if self._state is not ContactState.SUSPECTED:
            return []
        return [each for each in self._refused if each not in self._confirmed]

    def suspect(self, since: float) -> None:
        """Note a sign of lost links, such as a query without any answer."""
        if self._state is ContactState.CONNECTED and since > self._reached_at:
            self._begin_suspicion(since)

    def record_start(self, replica_id: str, now: float) -> None:
        """Record that a probe of a replica was started."""
        self._probes[replica_id] = self._probed_at = now

    def record_success(self, replica_id: str, now: float) -> None:
        """Record that a replica has accepted a connection, of a probe or a read."""
        self._probes.pop(replica_id, None)
        self._reached_at = now
        if self._state is ContactState.CUT_OFF:
            self._reached_again.add(replica_id)
            if len(self._reached_again) < min(NEEDED_SUCCESSES, self.known_replicas):
                return
        self._state = ContactState.CONNECTED
        self._failed.clear()
        self._reported.clear()
        self._refused.clear()
        self._confirmed.clear()
        self._reached_again.clear()

    def record_failure(self, replica_id: str, started_at: float, now: float) -> None:
        """Record a failed connection, of a probe or a read that began at a time."""
        if self._probes.get(replica_id, now) <= started_at:
            del self._probes[replica_id]
        if started_at <= self._reached_at:
            # Another replica has accepted a connection meanwhile.
            return
        self._failed.add(replica_id)
        self._reached_again.clear()
        if self._state is ContactState.CONNECTED:
            self._begin_suspicion(started_at)
        if started_at >= self._reported.get(replica_id, float("inf")):
            self._refused.setdefault(replica_id, now)
        self._decide()

    def record_gone(self, replica_id: str) -> None:
        """Forget a replica that is not known any more."""
        self._probes.pop(replica_id, None)
        self._failed.discard(replica_id)
        self._reported.pop(replica_id, None)
        self._refused.pop(replica_id, None)
        self._confirmed.discard(replica_id)

    def record_report(
        self, reached: Iterable[str], asked_at: float, now: float
    ) -> None:
        """Record that another host has connected to replicas since it was asked."""
        if self._state is not ContactState.SUSPECTED:
            return
        for replica_id in self.unreached_replicas.intersection(reached):
            if asked_at >= self._refused.get(replica_id, float("inf")):
                self._confirmed.add(replica_id)
            else:
                self._reported.setdefault(replica_id, now)
        self._decide()

    def _check_age(self, now: float) -> None:
        oldest = min(self._probes.values(), default=now)
        if self._state is ContactState.CONNECTED and now - oldest >= SUSPICIOUS_AGE_S:
            self._begin_suspicion(oldest)

    def _decide(self) -> None:
        needed = min(NEEDED_FAILURES, self.known_replicas)
        if (
            self._state is ContactState.SUSPECTED
            and 0 < needed <= len(self._failed)
            and len(self._confirmed) >= min(NEEDED_CONFIRMATIONS, needed)
        ):
            self._state = ContactState.CUT_OFF

    def _begin_suspicion(self, since: float) -> None:
        self._state = ContactState.SUSPECTED
        self._suspected_since = since
