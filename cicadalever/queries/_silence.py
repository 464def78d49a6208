"""Detection of owners that no longer respond."""

from typing import NamedTuple

# An owner with MIN_OUTSTANDING or more reads that answers nothing for PING_AFTER_S is
# pinged. A busy owner answers many reads a second. One that is paused or cut off
# answers none, but its connections stay open, so only missing answers show it.
PING_AFTER_S = 0.2
MIN_OUTSTANDING = 4
# The reads may only be slow. The owner is silent if it does not answer the ping in this
# time either.
PING_TIMEOUT_S = 0.2


class SilenceReport(NamedTuple):
    """Peer addresses of the owners to ping now, and of those newly found silent."""

    to_ping: list[str]
    silent: list[str]


class _OwnerState:
    """State of one owner; times are in seconds.

    ``unanswered_since`` is the time of the last message from the owner, or the time
    when a read was sent while no others were outstanding, whichever is later.
    """

    __slots__ = ("is_silent", "outstanding", "pinged_at", "unanswered_since")

    def __init__(self, now: float):
        self.outstanding = 0
        self.unanswered_since = now
        self.pinged_at: float | None = None
        self.is_silent = False


class SilenceDetector:
    """Finds the owners that answer neither their outstanding reads nor a ping.

    Times are in seconds. An owner counts as silent until a message from it arrives.

    >>> detector = SilenceDetector()
    >>> detector.reads_sent("127.0.0.1:7001", 4, 0.0)
    >>> detector.check(0.3).to_ping
    ['127.0.0.1:7001']
    >>> detector.check(0.6).silent
    ['127.0.0.1:7001']
    >>> detector.is_silent("127.0.0.1:7001")
    True
    >>> detector.heard_from("127.0.0.1:7001", 0.7)
    >>> detector.is_silent("127.0.0.1:7001")
    False
    """

    def __init__(self):
        self._owners: dict[str, _OwnerState] = {}

    def reads_sent(self, address: str, count: int, now: float) -> None:
        """Add ``count`` to the outstanding reads of the owner at ``address``."""
        owner = self._owners.get(address)
        if owner is None:
            owner = self._owners[address] = _OwnerState(now)
        if owner.outstanding == 0:
            owner.unanswered_since = now
        owner.outstanding += count

    def reads_ended(self, address: str, count: int) -> None:
        """Subtract ``count`` reads that were answered or given up."""
        owner = self._owners.get(address)
        if owner is not None:
            owner.outstanding = max(0, owner.outstanding - count)

    def heard_from(self, address: str, now: float) -> None:
        """Record that a message from the owner at ``address`` arrived."""
        owner = self._owners.get(address)
        if owner is not None:
            owner.unanswered_since = now
            owner.pinged_at = None
            owner.is_silent = False

    def is_silent(self, address: str) -> bool:
        """Tell whether the owner was found silent and has sent no message since."""
        owner = self._owners.get(address)
        return owner is not None and owner.is_silent

    def check(self, now: float) -> SilenceReport:
        """Return the owners to ping now and those newly found silent."""
        report = SilenceReport([], [])
        for address, owner in self._owners.items():
            if owner.is_silent or now - owner.unanswered_since <= PING_AFTER_S:
                continue
            if owner.pinged_at is not None:
                if now - owner.pinged_at > PING_TIMEOUT_S:
                    owner.is_silent = True
                    report.silent.append(address)
            elif owner.outstanding >= MIN_OUTSTANDING:
                owner.pinged_at = now
                report.to_ping.append(address)
        return report
