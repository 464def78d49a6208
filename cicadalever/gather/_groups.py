"""Which shards of a query a host of another data centre reads."""

from collections.abc import Collection, Iterable, Mapping

# A group of fewer shards is read directly: its requests and answers are hardly larger
# than those of the hop to another host.
MIN_GROUP_SHARDS = 4


def group_by_data_centre(
    data_centre_of: Mapping[int, str], own: str, available: Collection[str]
) -> dict[str, list[int]]:
    """Return the shards to read through a host of each other data centre.

    ``data_centre_of`` maps each shard to the data centre of the replica chosen for it.
    ``available`` are the data centres with a host that can read for this one. A group
    crosses to the other data centre as one request, and comes back as its greatest
    records and one signature a shard. This answers the load of wide queries on links
    between data centres: without it, each shard there costs a request and an answer
    of its own.

    >>> chosen = {0: "a", 1: "b", 2: "b", 3: "b", 4: "b", 5: "c"}
    >>> group_by_data_centre(chosen, "a", ["b", "c"])
    {'b': [1, 2, 3, 4]}
    """
    groups: dict[str, list[int]] = {}
    for shard, data_centre in data_centre_of.items():
        if data_centre != own and data_centre in available:
            groups.setdefault(data_centre, []).append(shard)
    return {
        data_centre: shards
        for data_centre, shards in groups.items()
        if len(shards) >= MIN_GROUP_SHARDS
    }


def encode_shards(shards: Iterable[int]) -> bytes:
    """Return shard numbers as the hexadecimal digits of a bit set.

    >>> encode_shards([0, 5])
    b'21'
    """
    return b"%x" % sum(1 << shard for shard in shards)


def decode_shards(value: bytes, count: int) -> list[int] | None:
    """Return the shard numbers of a bit set, or None if it is invalid.

    All numbers must be in [0, ``count``).

    >>> decode_shards(b"21", 6), decode_shards(b"21", 5), decode_shards(b"-1", 6)
    ([0, 5], None, None)
    """
    max_digits = (count + 3) // 4
    is_hex = value and all(digit in b"0123456789abcdef" for digit in value)
    if not is_hex or len(value) > max_digits:
        return None
    bits = int(value, 16)
    if bits >> count:
        return None
    return [shard for shard in range(count) if bits >> shard & 1]
