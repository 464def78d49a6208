"""Reads of one query over shards that must not be sent side by side."""

from enum import StrEnum

from ._suspicion import Admission, AdmissionKind

# Replicas that a query may lose before its further reads wait for a canary read.
MAX_UNHELD_LOSSES = 1
# Canary reads that may be silent before no other one is sent.
MAX_CANARIES = 3
# Time between two checks whether the canary reads of other calls have ended.
CANARY_CHECK_S = 0.01


class CanaryStep(StrEnum):
    """What to do with the reads that are held.

    ``SEND`` sends one of them, ``RELEASE`` all and ``DROP`` none at all; ``KEEP`` holds
    them further.
    """

    SEND = "send"
    RELEASE = "release"
    DROP = "drop"
    KEEP = "keep"


class CanaryReads:
    """Decides which reads of one query are held until a replica has survived it.

    A query that ``is_suspect`` begins with one read. Another one holds its further
    reads when it has lost replicas. One that ``needs_survival``, because another host
    could not complete it or this one may lack what others know, is held until a replica
    has survived it. Times are on one monotonic clock in seconds.

    >>> reads = CanaryReads(is_suspect=True)
    >>> reads.decide(Admission(AdmissionKind.CANARY), now=0.0)
    <CanaryStep.SEND: 'send'>
    >>> reads.record_start(now=0.0, overdue_s=0.02)
    >>> reads.decide(Admission(AdmissionKind.CANARY), now=0.01)
    <CanaryStep.KEEP: 'keep'>
    >>> reads.record_survival()
    >>> reads.decide(Admission(AdmissionKind.CANARY), now=0.01)
    <CanaryStep.RELEASE: 'release'>
    """

    def __init__(self, *, is_suspect: bool, needs_survival: bool = False):
        self._needs_survival = needs_survival
        self._is_holding = is_suspect or needs_survival
        self._has_survived = False
        self._has_lost = False
        self._losses = 0
        self._count = self._in_progress = 0
        self._due_at = float("inf")

    @property
    def is_holding(self) -> bool:
        """Whether only one read may be in progress."""
        return self._is_holding

    @property
    def has_lost(self) -> bool:
        """Whether a canary read was lost, after which nothing is read again."""
        return self._has_lost

    @property
    def due_at(self) -> float:
        """Time of the next decision while reads are held."""
        return self._due_at

    def record_start(self, now: float, overdue_s: float) -> None:
        """Record a canary read, which is silent if it lasts longer than a time."""
        self._count += 1
        self._in_progress += 1
        self._due_at = now + overdue_s

    def record_end(self, *, has_run: bool) -> None:
        """Record the end of a canary read, and whether a replica may have run it."""
        self._in_progress -= 1
        self._count -= not has_run

    def record_survival(self) -> None:
        """Record that a replica has answered a canary read."""
        self._has_survived |= self._is_holding

    def record_loss(self, *, is_canary: bool) -> None:
        """Record that a replica was lost, by a canary read or another one."""
        self._has_lost |= is_canary
        self._losses += 1
        self._is_holding |= self._losses > MAX_UNHELD_LOSSES

    def release(self) -> None:
        """Let further reads be sent side by side."""
        self._is_holding = self._has_survived = False
        self._losses = 0
        self._due_at = float("inf")

    def decide(self, admission: Admission, now: float) -> CanaryStep:
        """Return what to do with the reads that are held."""
        kind = admission.kind
        if self._has_lost or kind is AdmissionKind.REFUSED:
            return CanaryStep.DROP
        if self._has_survived:
            return CanaryStep.RELEASE
        if self._in_progress and now < self._due_at:
            return CanaryStep.KEEP
        if kind is AdmissionKind.WAIT:
            self._due_at = now + CANARY_CHECK_S
            return CanaryStep.KEEP
        if kind is AdmissionKind.FREE and not self._needs_survival:
            return CanaryStep.RELEASE
        if self._count < MAX_CANARIES:
            return CanaryStep.SEND
        self._due_at = float("inf")
        return CanaryStep.KEEP if self._in_progress else CanaryStep.DROP
