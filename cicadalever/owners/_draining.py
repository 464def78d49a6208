"""Replicas that are draining, as reported by their answers or by other hosts."""

from typing import NamedTuple

# A draining replica is probed, so that it is used again after its restart. Its health
# endpoint may report an outdated state, so several ready answers in a row are required.
FIRST_PROBE_DELAY_S = 5.0
PROBE_INTERVAL_S = 1.0
REQUIRED_READY_PROBES = 3
# The owner repeats its notice. Other hosts stop treating the replica as draining when
# the notice is not repeated, because its owner may be gone.
NOTICE_TTL_S = 15.0
NOTICE_INTERVAL_S = 5.0


class _Drain(NamedTuple):
    """A draining replica; the times are in seconds of the monotonic clock."""

    next_probe_at: float
    next_notice_at: float
    expires_at: float
    ready_probes: int = 0


class DrainingReplicas:
    """Replicas that get no new reads because they reported that they are draining.

    The owner of a replica calls ``record_owned`` and probes the replica. Other hosts
    receive its notices and call ``record_notice``.

    >>> drains = DrainingReplicas()
    >>> drains.record_owned("storefront-01-a", 0.0)
    True
    >>> "storefront-01-a" in drains
    True
    """

    def __init__(self):
        self._drains: dict[str, _Drain] = {}

    def __contains__(self, replica_id: str) -> bool:
        """Tell whether the replica is draining."""
        return replica_id in self._drains

    def record_owned(self, replica_id: str, now: float) -> bool:
        """Record that an owned replica is draining; return whether this is new."""
        is_new = replica_id not in self._drains
        self._drains[replica_id] = _Drain(
            now + FIRST_PROBE_DELAY_S, now + NOTICE_INTERVAL_S, float("inf")
        )
        return is_new

    def record_notice(self, replica_id: str, draining: bool, now: float) -> None:
        """Record a notice from the owner of a replica."""
        if not draining:
            self._drains.pop(replica_id, None)
            return
        self._drains[replica_id] = _Drain(
            now + FIRST_PROBE_DELAY_S, now + NOTICE_INTERVAL_S, now + NOTICE_TTL_S
        )

    def remove_expired(self, now: float) -> list[str]:
        """Remove and return the replicas whose notice was not repeated in time."""
        expired = [
            key for key, drain in self._drains.items() if drain.expires_at <= now
        ]
        for replica_id in expired:
            del self._drains[replica_id]
        return expired

    def take_due_probes(self, now: float) -> list[str]:
        """Return the replicas to probe now and schedule their next probes."""
        due = [key for key, drain in self._drains.items() if drain.next_probe_at <= now]
        for replica_id in due:
            drain = self._drains[replica_id]
            self._drains[replica_id] = drain._replace(
                next_probe_at=now + PROBE_INTERVAL_S
            )
        return due

    def take_due_notices(self, now: float) -> list[str]:
        """Return the replicas whose notice is due and schedule the next notices."""
        due = [
            key for key, drain in self._drains.items() if drain.next_notice_at <= now
        ]
        for replica_id in due:
            drain = self._drains[replica_id]
            self._drains[replica_id] = drain._replace(
                next_notice_at=now + NOTICE_INTERVAL_S
            )
        return due

    def record_probe(self, replica_id: str, is_ready: bool) -> bool:
        """Record the result of a probe; return whether the replica serves again."""
        drain = self._drains.get(replica_id)
        if drain is None:
            return False
        ready_probes = drain.ready_probes + 1 if is_ready else 0
        if ready_probes < REQUIRED_READY_PROBES:
            self._drains[replica_id] = drain._replace(ready_probes=ready_probes)
            return False
        del self._drains[replica_id]
        return True
