"""Suspect and quarantined fingerprints."""

from collections import OrderedDict
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.transport import ReadMode

from ._gate import RunningRead

# Bounds the memory of each of the two tables. A crash adds at most as many suspects
# as a replica has slots, so the bound is far above what crashes of a fleet produce.
MAX_FINGERPRINTS = 10_000

# A suspect may be innocent: its upstream may have failed by itself and not come back
# for the trial that would clear it.
SUSPICION_TTL_S = 60.0


class FingerprintState(StrEnum):
    """What is held against a fingerprint."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashAttribution(NamedTuple):
    """The state that a crash gave a fingerprint."""

    fingerprint: int
    state: FingerprintState
    reason: str


class QuarantineEntry(NamedTuple):
    """A fingerprint with the seconds until its state expires."""

    fingerprint: int
    state: FingerprintState
    remaining_s: float
    reason: str


class _Record(NamedTuple):
    expires_at: float
    reason: str


class Quarantine:
    """Suspects and quarantines of one owner, or the quarantines an entry knows.

    A quarantine expires ``ttl_s`` seconds after it was given, a suspicion after
    ``SUSPICION_TTL_S`` if that is earlier. When a table is full,
    the fingerprint that was added first is forgotten.

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
        self._suspects: OrderedDict[int, _Record] = OrderedDict()
        self._quarantined: OrderedDict[int, _Record] = OrderedDict()

    @property
    def _suspicion_s(self) -> float:
        return min(self.ttl_s, SUSPICION_TTL_S)

    def check(self, fingerprint: int, now: float) -> Failure | None:
        """Return a ``QUARANTINED`` failure while ``fingerprint`` must not run."""
        record = _find(self._quarantined, fingerprint, now)
        if record is None:
            return None
        return Failure(FailureCode.QUARANTINED, record.reason)

    def remaining_s(self, fingerprint: int, now: float) -> float:
        """Return the seconds until a quarantine expires, 0 without one."""
        record = _find(self._quarantined, fingerprint, now)
        return record.expires_at - now if record else 0.0

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Tell whether ``fingerprint`` may run only as an exclusive trial."""
        return _find(self._suspects, fingerprint, now) is not None

    def record_crash(
        self, running: Sequence[RunningRead], now: float
    ) -> list[CrashAttribution]:
        """Judge the reads that ran on a replica when its connections broke.

        It is called once per crash with all of them. A fingerprint is quarantined if
        it ran as an exclusive trial, or if it was a suspect and nothing else ran. The
        others become suspects, but reads that ran as ``NORMAL`` only if no trial ran
        beside them: they succeeded before, the trial did not. A fingerprint in
        quarantine gets no new verdict.
        """
        trials = [read for read in running if read.mode != ReadMode.NORMAL]
        running = trials or running
        exclusive = {
            read.fingerprint for read in running if read.mode == ReadMode.EXCLUSIVE
        }
        fingerprints = dict.fromkeys(read.fingerprint for read in running)
        is_alone = len(fingerprints) == 1
        verdicts = []
        for fingerprint in fingerprints:
            if self.check(fingerprint, now) is not None:
                continue
            if fingerprint in exclusive:
                reason = "an upstream crashed during its exclusive trial"
                verdicts.append(self._quarantine(fingerprint, reason, now))
            elif is_alone and self.is_suspect(fingerprint, now):
                reason = "an upstream crashed while only this suspect ran"
                verdicts.append(self._quarantine(fingerprint, reason, now))
            else:
                verdicts.append(self._suspect(fingerprint, now))
        return verdicts

    def clear_suspicion(self, fingerprint: int) -> None:
        """Clear a suspicion; a quarantine stays."""
        self._suspects.pop(fingerprint, None)

    def import_quarantine(
        self,
        fingerprint: int,
        ttl_s: float,
        now: float,
        reason: str = "quarantined by another host",
    ) -> bool:
        """Take over a quarantine with ``ttl_s`` seconds left from another host.

        A quarantine is never shortened, and never lasts longer than the own ``ttl_s``,
        whatever a peer sends. Return False when the notice changed nothing.
        """
        expires_at = now + min(ttl_s, self.ttl_s)
        known = _find(self._quarantined, fingerprint, now)
        if expires_at <= now or (known and known.expires_at >= expires_at):
            return False
        self._suspects.pop(fingerprint, None)
        _store(self._quarantined, fingerprint, _Record(expires_at, reason), now)
        return True

    def import_suspicion(self, fingerprint: int, now: float, reason: str) -> None:
        """Take over a suspicion of another host; it expires like an own one."""
        if self.check(fingerprint, now) is None:
            record = _Record(now + self._suspicion_s, reason)
            _store(self._suspects, fingerprint, record, now)

    def entries(self, now: float) -> list[QuarantineEntry]:
        """Return the quarantined and the suspect fingerprints, oldest first."""
        return [
            QuarantineEntry(fingerprint, state, record.expires_at - now, record.reason)
            for state, table in (
                (FingerprintState.QUARANTINED, self._quarantined),
                (FingerprintState.SUSPECT, self._suspects),
            )
            for fingerprint, record in table.items()
            if record.expires_at > now
        ]

    def _quarantine(
        self, fingerprint: int, reason: str, now: float
    ) -> CrashAttribution:
        self._suspects.pop(fingerprint, None)
        record = _Record(now + self.ttl_s, reason)
        _store(self._quarantined, fingerprint, record, now)
        return CrashAttribution(fingerprint, FingerprintState.QUARANTINED, reason)

    def _suspect(self, fingerprint: int, now: float) -> CrashAttribution:
        reason = "an upstream crashed while it ran"
        record = _Record(now + self._suspicion_s, reason)
        _store(self._suspects, fingerprint, record, now)
        return CrashAttribution(fingerprint, FingerprintState.SUSPECT, reason)


def _find(
    table: OrderedDict[int, _Record], fingerprint: int, now: float
) -> _Record | None:
    """Return the record of ``fingerprint`` unless it expired."""
    record = table.get(fingerprint)
    if record is None or record.expires_at > now:
        return record
    del table[fingerprint]
    return None


def _store(
    table: OrderedDict[int, _Record], fingerprint: int, record: _Record, now: float
) -> None:
    """Store a record as the newest; drop expired ones, or the oldest if full."""
    table[fingerprint] = record
    table.move_to_end(fingerprint)
    while len(table) > MAX_FINGERPRINTS or next(iter(table.values())).expires_at <= now:
        table.popitem(last=False)
