"""Which reads may run beside each other on a replica."""

from collections.abc import Container, Hashable
from typing import NamedTuple

from cicadalever.transport import ReadMode


class RunningRead(NamedTuple):
    """A read that runs on a replica."""

    fingerprint: int
    mode: ReadMode


class TrialGate:
    """Decides on the owner of a replica whether a read may start there now.

    - A canary waits while another canary of its fingerprint runs, unless the
      fingerprint is in ``proven`` by then.
    - An exclusive read waits until nothing runs, and nothing starts beside it.
    - An exclusive read that was told to wait holds back all other reads until it has
      started, or a stream of normal reads would keep the replica busy for ever. When
      it leaves the queue without starting, ``release_reservation`` ends the hold.

    ``proven`` is consulted, never changed. It does not exempt exclusive reads: their
    fingerprint may have crashed a replica of another owner after it was proven here.
    """

    def __init__(self, proven: Container[int] = ()):
        self.proven = proven
        self._running: dict[Hashable, RunningRead] = {}
        self._canaries: dict[int, Hashable] = {}
        self._exclusive_runs = False
        self._reserved_for: int | None = None

    @property
    def reserved_for(self) -> int | None:
        """The fingerprint of the exclusive read that holds back others, if any."""
        return self._reserved_for

    def may_start(self, fingerprint: int, mode: ReadMode) -> bool:
        """Tell whether a read may start; a refused exclusive read becomes the holder.

        The caller asks for the read at the head of its queue.
        """
        if mode == ReadMode.EXCLUSIVE:
            return self._may_start_exclusive(fingerprint)
        if self._exclusive_runs or self._reserved_for is not None:
            return False
        if mode == ReadMode.CANARY and fingerprint in self._canaries:
            return fingerprint in self.proven
        return True

    def started(self, read_key: Hashable, fingerprint: int, mode: ReadMode) -> None:
        """Count a read as running; raise ``ValueError`` if ``read_key`` runs."""
        if read_key in self._running:
            raise ValueError(f"read {read_key!r} runs already")
        self._running[read_key] = RunningRead(fingerprint, ReadMode(mode))
        if mode == ReadMode.EXCLUSIVE:
            self._exclusive_runs = True
            self._reserved_for = None
        elif mode == ReadMode.CANARY:
            self._canaries.setdefault(fingerprint, read_key)

    def finished(self, read_key: Hashable) -> None:
        """Count a running read as ended; raise ``KeyError`` if it does not run."""
        read = self._running.pop(read_key)
        if read.mode == ReadMode.EXCLUSIVE:
            self._exclusive_runs = False
        elif self._canaries.get(read.fingerprint) == read_key:
            del self._canaries[read.fingerprint]

    def release_reservation(self, fingerprint: int) -> None:
        """End the hold of an exclusive read that was cancelled, refused or expired.

        If another copy of it waits, that copy holds again when it is asked for.
        """
        if self._reserved_for == fingerprint:
            self._reserved_for = None

    def running(self) -> list[RunningRead]:
        """Return the running reads, the oldest first."""
        return list(self._running.values())

    def _may_start_exclusive(self, fingerprint: int) -> bool:
        if self._reserved_for is None and self._running:
            self._reserved_for = fingerprint
        if self._running:
            return False
        return self._reserved_for is None or self._reserved_for == fingerprint
