"""How many replicas may have got the read of each shard, as hosts tell each other."""

from collections.abc import Sequence

from ._groups import decode_shards, encode_shards

# Most replicas for one shard that a message can name; more count as this many.
MAX_ATTEMPTS = 16


def encode_attempts(attempts: Sequence[int]) -> bytes:
    """Return the attempts of all shards in the form of a header.

    These are sets of shards in the form of ``encode_shards``, separated by commas: the
    shards with one attempt or more, with two or more, and so on.

    >>> encode_attempts([1, 2, 0]), encode_attempts([0, 0])
    (b'3,2', b'0')
    """
    most = min(MAX_ATTEMPTS, max(attempts, default=0))
    levels = [
        encode_shards(shard for shard, count in enumerate(attempts) if count >= level)
        for level in range(1, most + 1)
    ]
    return b",".join(levels) or encode_shards(())


def decode_attempts(value: bytes, count: int) -> list[int] | None:
    """Return the attempts of ``count`` shards, or None if the header is invalid.

    >>> decode_attempts(b"3,2", 3), decode_attempts(b"9", 3), decode_attempts(b"", 3)
    ([1, 2, 0], None, None)
    """
    levels = value.split(b",")
    if len(levels) > MAX_ATTEMPTS:
        return None
    attempts = [0] * count
    for level in levels:
        shards = decode_shards(level, count)
        if shards is None:
            return None
        for shard in shards:
            attempts[shard] += 1
    return attempts
