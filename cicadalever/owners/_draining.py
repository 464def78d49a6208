"""Replicas that drain, as their answers or other hosts said."""

from typing import NamedTuple

# An upstream that drained and was restarted must be used again, so its health is asked.
# Health endpoints lag, so only several good answers in a row count.
FIRST_PROBE_DELAY_S = 5.0
PROBE_INTERVAL_S = 1.0
REQUIRED_READY_PROBES = 3
# Other hosts forget a drain that is not repeated: its owner may be gone.
NOTICE_TTL_S = 15.0
NOTICE_INTERVAL_S = 5.0


class _Drain(NamedTuple):
    next_probe: float
    next_notice: float
    expires_at: float
    ready_probes: int = 0


class DrainingReplicas:
    """Which replicas get no new work because they said that they drain.

    The owner of a replica calls ``note_own`` and probes it; other hosts learn of the
    drain by notices and call ``note_remote``.

    >>> drains = DrainingReplicas()
    >>> drains.record_owned("storefront-01-a", 0.0)
    True
    >>> "storefront-01-a" in drains
    True
    """

    def __init__(self):
        self._drains: dict[str, _Drain] = {}

    def __contains__(self, replica_id: str) -> bool:
        """Tell whether the replica drains."""
        return replica_id in self._drains

    def record_owned(self, replica_id: str, now: float) -> bool:
        """Record the drain of an owned replica; return whether it is new."""
        is_new = replica_id not in self._drains
        self._drains[replica_id] = _Drain(
            now + FIRST_PROBE_DELAY_S, now + NOTICE_INTERVAL_S, float("inf")
        )
        return is_new

    def record_notice(self, replica_id: str, draining: bool, now: float) -> None:
        """Record what the owner of a replica said."""
        if not draining:
            self._drains.pop(replica_id, None)
            return
        self._drains[replica_id] = _Drain(
            now + FIRST_PROBE_DELAY_S, now + NOTICE_INTERVAL_S, now + NOTICE_TTL_S
        )

    def remove_expired(self, now: float) -> list[str]:
        """Drop and return the replicas whose owner no longer repeats the notice."""
        old = [key for key, drain in self._drains.items() if drain.expires_at <= now]
        for replica_id in old:
            del self._drains[replica_id]
        return old

    def take_due_probes(self, now: float) -> list[str]:
        """Return the replicas to probe now and schedule their next probe."""
        due = [key for key, drain in self._drains.items() if drain.next_probe <= now]
        for replica_id in due:
            drain = self._drains[replica_id]
            self._drains[replica_id] = drain._replace(next_probe=now + PROBE_INTERVAL_S)
        return due

    def take_due_notices(self, now: float) -> list[str]:
        """Return the replicas whose notice is to be sent again."""
        due = [key for key, drain in self._drains.items() if drain.next_notice <= now]
        for replica_id in due:
            drain = self._drains[replica_id]
            self._drains[replica_id] = drain._replace(
                next_notice=now + NOTICE_INTERVAL_S
            )
        return due

    def record_probe(self, replica_id: str, is_ready: bool) -> bool:
        """Record a probe; return whether the replica has come back."""
        drain = self._drains.get(replica_id)
        if drain is None:
            return False
        ready_probes = drain.ready_probes + 1 if is_ready else 0
        if ready_probes < REQUIRED_READY_PROBES:
            self._drains[replica_id] = drain._replace(ready_probes=ready_probes)
            return False
        del self._drains[replica_id]
        return True
