"""Fingerprints of requests that succeeded."""

from collections import OrderedDict


class ProvenFingerprints:
    """A set of at most ``capacity`` fingerprints; evicts the least recently used.

    A membership test that finds the fingerprint counts as a use.
    """

    def __init__(self, capacity: int = 10_000):
        if capacity < 1:
            raise ValueError(f"capacity must be at least 1, got {capacity}")
        self.capacity = capacity
        self._fingerprints: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._fingerprints)

    def __contains__(self, fingerprint: int) -> bool:
        """Tell whether ``fingerprint`` is proven."""
        if fingerprint not in self._fingerprints:
            return False
        self._fingerprints.move_to_end(fingerprint)
        return True

    def add(self, fingerprint: int) -> None:
        """Record that a request with ``fingerprint`` succeeded."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > self.capacity:
            self._fingerprints.popitem(last=False)

    def discard(self, fingerprint: int) -> None:
        """Remove ``fingerprint``, for example because it became a suspect."""
        self._fingerprints.pop(fingerprint, None)
