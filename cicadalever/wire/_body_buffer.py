"""Body of a message that is being received."""

# Size of the blocks in which a body is collected. An object for each piece would take
# many times the memory of small pieces, and one buffer that grows fragments the heap.
BLOCK_BYTES = 64 * 1024


class BodyBuffer:
    """Collects the pieces of a body.

    >>> buffer = BodyBuffer()
    >>> buffer.append(b"ab")
    >>> buffer.append(b"c")
    >>> len(buffer), buffer.join()
    (3, b'abc')
    """

    __slots__ = ("_blocks", "_size")

    def __init__(self):
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add a piece."""
        self._size += len(data)
        blocks = self._blocks
        if blocks and len(blocks[-1]) + len(data) <= BLOCK_BYTES:
            blocks[-1] += data
        else:
            blocks.append(bytearray(data))

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self._blocks)
