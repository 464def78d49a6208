"""Detection of owners that have stopped answering."""

from typing import NamedTuple

# A busy owner answers many reads a second. A paused or cut-off one answers none, and
# keeps its connections, so only its silence shows.
QUIET_S = 0.2
MIN_OUTSTANDING = 4
# The reads of a quiet owner may only be slow. It is silent if it does not answer a ping
# in this time either.
PING_TIMEOUT_S = 0.2


class SilenceReport(NamedTuple):
    """Peer addresses of owners to ping now, and of those found silent now."""

    to_ping: list[str]
    silent: list[str]


class _Owner:
    """Reads on the way to one owner and when it was heard last, in seconds."""

    __slots__ = ("is_silent", "outstanding", "pinged_at", "quiet_since")

    def __init__(self, now: float):
        self.outstanding = 0
        self.quiet_since = now
        self.pinged_at: float | None = None
        self.is_silent = False


class SilenceDetector:
    """Tells which owners have many reads outstanding and answer neither them nor pings.

    >>> detector = SilenceDetector()
    >>> detector.sent("127.0.0.1:7001", 4, 0.0)
    >>> detector.check(0.3).to_ping
    ['127.0.0.1:7001']
    >>> detector.check(0.6).silent
    ['127.0.0.1:7001']
    >>> detector.is_silent("127.0.0.1:7001")
    True
    >>> detector.heard("127.0.0.1:7001", 0.7)
    >>> detector.is_silent("127.0.0.1:7001")
    False
    """

    def __init__(self):
        self._owners: dict[str, _Owner] = {}

    def sent(self, address: str, reads: int, now: float) -> None:
        """Count reads that were sent."""
        owner = self._owners.get(address)
        if owner is None:
            owner = self._owners[address] = _Owner(now)
        if owner.outstanding == 0:
            owner.quiet_since = now
        owner.outstanding += reads

    def ended(self, address: str, reads: int) -> None:
        """Count reads that were answered or given up."""
        owner = self._owners.get(address)
        if owner is not None:
            owner.outstanding = max(0, owner.outstanding - reads)

    def heard(self, address: str, now: float) -> None:
        """Record a sign of life of an owner."""
        owner = self._owners.get(address)
        if owner is not None:
            owner.quiet_since = now
            owner.pinged_at = None
            owner.is_silent = False

    def is_silent(self, address: str) -> bool:
        """Tell whether the owner was found silent and not heard since."""
        owner = self._owners.get(address)
        return owner is not None and owner.is_silent

    def check(self, now: float) -> SilenceReport:
        """Return the owners that have become quiet, and those that are silent."""
        report = SilenceReport([], [])
        for address, owner in self._owners.items():
            if owner.is_silent or now - owner.quiet_since <= QUIET_S:
                continue
            if owner.pinged_at is not None:
                if now - owner.pinged_at > PING_TIMEOUT_S:
                    owner.is_silent = True
                    report.silent.append(address)
            elif owner.outstanding >= MIN_OUTSTANDING:
                owner.pinged_at = now
                report.to_ping.append(address)
        return report
