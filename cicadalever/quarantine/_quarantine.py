"""Suspect and quarantined fingerprints."""

from collections import OrderedDict
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.transport import ReadMode

from ._gate import RunningRead

# Bounds the memory of each of the two tables. A crash adds at most as many suspects as
# a replica has slots, so the crashes of a fleet stay far below the bound.
MAX_FINGERPRINTS = 10_000

# A suspicion expires, since it may be wrong: the upstream may have failed for another
# reason and may not come back for the trial that would clear the suspect.
SUSPICION_TTL_S = 60.0


class FingerprintState(StrEnum):
    """How requests with a fingerprint are restricted.

    A suspect may run only as an exclusive trial, a quarantined one not at all.
    """

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashAttribution(NamedTuple):
    """The state of a fingerprint after a crash that is attributed to it."""

    fingerprint: int
    state: FingerprintState
    reason: str


class QuarantineEntry(NamedTuple):
    """The state of a fingerprint and the seconds until it expires."""

    fingerprint: int
    state: FingerprintState
    remaining_s: float
    reason: str


class _Restriction(NamedTuple):
    expires_at: float
    reason: str


class Quarantine:
    """The suspect and the quarantined fingerprints that one host knows.

    A quarantine expires after ``ttl_s`` seconds, a suspicion after the lesser of
    ``ttl_s`` and ``SUSPICION_TTL_S``. Each of the two tables holds at most
    ``MAX_FINGERPRINTS`` and evicts the fingerprint that was added first.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash([RunningRead(7, ReadMode.CANARY)], 0.0)[0].state
    <FingerprintState.SUSPECT: 'suspect'>
    >>> quarantine.record_crash([RunningRead(7, ReadMode.EXCLUSIVE)], 1.0)[0].state
    <FingerprintState.QUARANTINED: 'quarantined'>
    >>> quarantine.check(7, 2.0).code
    <FailureCode.QUARANTINED: 'quarantined'>
    """

    def __init__(self, ttl_s: float = 600.0):
        if ttl_s <= 0:
            raise ValueError(f"ttl_s must be above 0, got {ttl_s}")
        self.ttl_s = ttl_s
        self._suspects: OrderedDict[int, _Restriction] = OrderedDict()
        self._quarantined: OrderedDict[int, _Restriction] = OrderedDict()

    @property
    def _suspicion_ttl_s(self) -> float:
        return min(self.ttl_s, SUSPICION_TTL_S)

    def check(self, fingerprint: int, now: float) -> Failure | None:
        """Return a ``QUARANTINED`` failure while ``fingerprint`` must not run."""
        restriction = _find_restriction(self._quarantined, fingerprint, now)
        if restriction is None:
            return None
        return Failure(FailureCode.QUARANTINED, restriction.reason)

    def remaining_s(self, fingerprint: int, now: float) -> float:
        """Return the seconds until a quarantine expires, 0 if there is none."""
        restriction = _find_restriction(self._quarantined, fingerprint, now)
        return restriction.expires_at - now if restriction else 0.0

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Tell whether ``fingerprint`` may run only as an exclusive trial."""
        return _find_restriction(self._suspects, fingerprint, now) is not None

    def record_crash(
        self, running: Sequence[RunningRead], now: float
    ) -> list[CrashAttribution]:
        """Attribute a crash to the reads that ran on a replica; return the new states.

        It is called once per crash, with all reads that ran when the connections of
        the replica broke. If trials ran, only they are considered: normal reads have
        succeeded before, trials have not. A fingerprint is quarantined if it ran as an
        exclusive trial, or if it was a suspect and is the only one considered. The
        others become suspects. The state of a quarantined fingerprint does not change.
        """
        trials = [read for read in running if read.mode != ReadMode.NORMAL]
        running = trials or running
        exclusive = {
            read.fingerprint for read in running if read.mode == ReadMode.EXCLUSIVE
        }
        fingerprints = dict.fromkeys(read.fingerprint for read in running)
        only_one_ran = len(fingerprints) == 1
        attributions = []
        for fingerprint in fingerprints:
            if self.check(fingerprint, now) is not None:
                continue
            if fingerprint in exclusive:
                reason = "an upstream crashed during its exclusive trial"
                attributions.append(self._add_quarantine(fingerprint, reason, now))
            elif only_one_ran and self.is_suspect(fingerprint, now):
                reason = "an upstream crashed while only this suspect ran"
                attributions.append(self._add_quarantine(fingerprint, reason, now))
            else:
                attributions.append(self._add_suspect(fingerprint, now))
        return attributions

    def clear_suspicion(self, fingerprint: int) -> None:
        """Remove ``fingerprint`` from the suspects; a quarantine stays."""
        self._suspects.pop(fingerprint, None)

    def import_quarantine(
        self,
        fingerprint: int,
        ttl_s: float,
        now: float,
        reason: str = "quarantined by another host",
    ) -> bool:
        """Add a quarantine of another host that expires in ``ttl_s`` seconds.

        A known quarantine is never shortened, and none lasts longer than the ``ttl_s``
        of this host, whatever a peer sends. Return False if nothing changed.
        """
        expires_at = now + min(ttl_s, self.ttl_s)
        current = _find_restriction(self._quarantined, fingerprint, now)
        if expires_at <= now or (current and current.expires_at >= expires_at):
            return False
        self._suspects.pop(fingerprint, None)
        _store_restriction(
            self._quarantined, fingerprint, _Restriction(expires_at, reason), now
        )
        return True

    def import_suspicion(self, fingerprint: int, now: float, reason: str) -> None:
        """Add a suspicion of another host; it expires like one of this host."""
        if self.check(fingerprint, now) is None:
            restriction = _Restriction(now + self._suspicion_ttl_s, reason)
            _store_restriction(self._suspects, fingerprint, restriction, now)

    def entries(self, now: float) -> list[QuarantineEntry]:
        """Return the quarantined and then the suspect fingerprints, oldest first."""
        return [
            QuarantineEntry(
                fingerprint, state, restriction.expires_at - now, restriction.reason
            )
            for state, table in (
                (FingerprintState.QUARANTINED, self._quarantined),
                (FingerprintState.SUSPECT, self._suspects),
            )
            for fingerprint, restriction in table.items()
            if restriction.expires_at > now
        ]

    def _add_quarantine(
        self, fingerprint: int, reason: str, now: float
    ) -> CrashAttribution:
        self._suspects.pop(fingerprint, None)
        restriction = _Restriction(now + self.ttl_s, reason)
        _store_restriction(self._quarantined, fingerprint, restriction, now)
        return CrashAttribution(fingerprint, FingerprintState.QUARANTINED, reason)

    def _add_suspect(self, fingerprint: int, now: float) -> CrashAttribution:
        reason = "an upstream crashed while it ran"
        restriction = _Restriction(now + self._suspicion_ttl_s, reason)
        _store_restriction(self._suspects, fingerprint, restriction, now)
        return CrashAttribution(fingerprint, FingerprintState.SUSPECT, reason)


def _find_restriction(
    table: OrderedDict[int, _Restriction], fingerprint: int, now: float
) -> _Restriction | None:
    """Return the restriction of ``fingerprint``; remove it if it expired."""
    restriction = table.get(fingerprint)
    if restriction is None or restriction.expires_at > now:
        return restriction
    del table[fingerprint]
    return None


def _store_restriction(
    table: OrderedDict[int, _Restriction],
    fingerprint: int,
    restriction: _Restriction,
    now: float,
) -> None:
    """Add a restriction; evict the oldest ones that expired or exceed the bound."""
    table[fingerprint] = restriction
    table.move_to_end(fingerprint)
    while len(table) > MAX_FINGERPRINTS or next(iter(table.values())).expires_at <= now:
        table.popitem(last=False)
