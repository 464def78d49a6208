"""Detection of owners that have stopped answering."""

# A busy owner answers many reads a second. A paused or cut-off one answers none, and
# keeps its connections, so only its silence shows.
SILENCE_S = 0.2
MIN_OUTSTANDING = 4


class _Owner:
    """Reads on the way to one owner and when it was heard last, in seconds."""

    __slots__ = ("is_silent", "outstanding", "quiet_since")

    def __init__(self, now: float):
        self.outstanding = 0
        self.quiet_since = now
        self.is_silent = False


class SilenceDetector:
    """Tells which owners have many reads outstanding and answer none.

    >>> detector = SilenceDetector()
    >>> detector.sent("127.0.0.1:7001", 4, 0.0)
    >>> detector.take_silent(0.3)
    ['127.0.0.1:7001']
    >>> detector.is_silent("127.0.0.1:7001")
    True
    >>> detector.heard("127.0.0.1:7001", 0.4)
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
            owner.is_silent = False

    def is_silent(self, address: str) -> bool:
        """Tell whether the owner was found silent and not heard since."""
        owner = self._owners.get(address)
        return owner is not None and owner.is_silent

    def take_silent(self, now: float) -> list[str]:
        """Return the owners that are found silent now."""
        found = []
        for address, owner in self._owners.items():
            if owner.is_silent or owner.outstanding < MIN_OUTSTANDING:
                continue
            if now - owner.quiet_since > SILENCE_S:
                owner.is_silent = True
                found.append(address)
        return found

    def forget(self, address: str) -> None:
        """Drop what is known of an owner that is gone."""
        self._owners.pop(address, None)
