"""Rules for which reads may run on a replica at the same time."""

from collections.abc import Container, Hashable
from typing import NamedTuple

from cicadalever.transport import ReadMode


class RunningRead(NamedTuple):
    """A read that is running on a replica."""

    fingerprint: int
    mode: ReadMode


class TrialGate:
    """Decides whether a read may start on one replica now; used by its owner.

    - A canary waits while another canary of its fingerprint is running, unless the
      fingerprint is in ``proven`` by then.
    - An exclusive read waits until no other read is running, and no read starts while
      it is running.
    - An exclusive read that has to wait reserves the replica: no other read starts
      before it, or a stream of normal reads would keep the replica busy forever. When
      it leaves the queue without starting, ``release_reservation`` must be called.

    ``proven`` is never changed here. It does not exempt exclusive reads, since their
    fingerprint may have crashed a replica of another owner after it was proven on this
    host.
    """

    def __init__(self, proven: Container[int] = ()):
        self.proven = proven
        self._running: dict[Hashable, RunningRead] = {}
        self._canary_keys: dict[int, Hashable] = {}
        self._is_exclusive_running = False
        self._reserved_for: int | None = None

    @property
    def reserved_for(self) -> int | None:
        """The fingerprint of the exclusive read that the replica is reserved for."""
        return self._reserved_for

    def may_start(self, fingerprint: int, mode: ReadMode) -> bool:
        """Tell whether the read at the head of the queue may start.

        An exclusive read that may not start reserves the replica, unless it is reserved
        already.
        """
        if mode == ReadMode.EXCLUSIVE:
            return self._may_start_exclusive(fingerprint)
        if self._is_exclusive_running or self._reserved_for is not None:
            return False
        if mode == ReadMode.CANARY and fingerprint in self._canary_keys:
            return fingerprint in self.proven
        return True

    def started(self, read_key: Hashable, fingerprint: int, mode: ReadMode) -> None:
        """Record a read as running; raise ``ValueError`` if it already is."""
        if read_key in self._running:
            raise ValueError(f"read {read_key!r} runs already")
        self._running[read_key] = RunningRead(fingerprint, ReadMode(mode))
        if mode == ReadMode.EXCLUSIVE:
            self._is_exclusive_running = True
            self._reserved_for = None
        elif mode == ReadMode.CANARY:
            self._canary_keys.setdefault(fingerprint, read_key)

    def finished(self, read_key: Hashable) -> None:
        """Record that a read ended; raise ``KeyError`` if it is not running."""
        read = self._running.pop(read_key)
        if read.mode == ReadMode.EXCLUSIVE:
            self._is_exclusive_running = False
        elif self._canary_keys.get(read.fingerprint) == read_key:
            del self._canary_keys[read.fingerprint]

    def release_reservation(self, fingerprint: int) -> None:
        """End the reservation for an exclusive read that leaves without starting.

        It was cancelled, refused or expired. If another read with ``fingerprint``
        waits, that one reserves the replica again at the next ``may_start``.
        """
        if self._reserved_for == fingerprint:
            self._reserved_for = None

    def running(self) -> list[RunningRead]:
        """Return the running reads in the order of their start."""
        return list(self._running.values())

    def _may_start_exclusive(self, fingerprint: int) -> bool:
        if self._reserved_for is None and self._running:
            self._reserved_for = fingerprint
        if self._running:
            return False
        return self._reserved_for is None or self._reserved_for == fingerprint
