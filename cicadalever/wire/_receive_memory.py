"""Memory of a host for answers that it is still receiving."""

from collections.abc import Callable, Hashable

# Share of the memory for unfinished answers that one of them may take.
MAX_SHARE_PER_ANSWER = 0.25
DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class ReceiveMemory:
    """Limits the bytes of all unfinished answers of a host together.

    Connections report how much they hold. When the sum exceeds ``max_bytes``, the
    connection that holds most is told to drop its answer, so that one endless answer
    does not cost others theirs.

    >>> memory = ReceiveMemory(100)
    >>> memory.hold("a", 60, on_drop=lambda: print("a dropped"))
    >>> memory.hold("b", 50, on_drop=lambda: print("b dropped"))
    a dropped
    >>> memory.held_bytes
    50
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        if max_bytes < 1:
            raise ValueError(f"max_bytes must be in [1, inf), got {max_bytes}")
        self.max_bytes = max_bytes
        self._held_bytes: dict[Hashable, int] = {}
        self._on_drop: dict[Hashable, Callable[[], None]] = {}
        self._total_bytes = 0

    @property
    def max_answer_bytes(self) -> int:
        """Largest body of one answer in bytes."""
        return max(1, int(self.max_bytes * MAX_SHARE_PER_ANSWER))

    @property
    def held_bytes(self) -> int:
        """Bytes of all unfinished answers that were reported."""
        return self._total_bytes

    def hold(self, holder: Hashable, size: int, on_drop: Callable[[], None]) -> None:
        """Record that ``holder`` now holds ``size`` bytes.

        ``on_drop`` is called, perhaps before this method returns, if the holder has to
        free them.
        """
        self._total_bytes += size - self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = size
        self._on_drop[holder] = on_drop
        while self._total_bytes > self.max_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            drop = self._on_drop[largest]
            self.release(largest)
            drop()

    def release(self, holder: Hashable) -> None:
        """Record that ``holder`` holds nothing any more."""
        self._total_bytes -= self._held_bytes.pop(holder, 0)
        self._on_drop.pop(holder, None)
