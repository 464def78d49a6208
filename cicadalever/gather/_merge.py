"""Merging of the answers of shards."""

from collections.abc import Iterable
from struct import iter_unpack
from typing import NamedTuple

RECORD_BYTES = 16
# An answer is shortened if it is longer than its greatest records by this factor;
# sorting shorter ones early would cost more than the memory is worth.
SHORTEN_FACTOR = 8
# Part of a long answer that is sorted at once.
BLOCK_BYTES = 4096 * RECORD_BYTES


class ShardAnswer(NamedTuple):
    """The answer of one shard.

    ``service`` is the service that holds the shard, ``signature`` the value of the
    replica's signature header, and ``records`` a body of ``RECORD_BYTES`` per record.
    """

    service: str
    signature: str
    records: bytes


def merge_top_records(answers: Iterable[ShardAnswer], count: int) -> bytes:
    """Return the ``count`` greatest records of all answers, in descending order.

    Records are compared byte by byte; duplicates are kept. Trailing bytes of an answer
    that do not fill a record are ignored.

    >>> merge_top_records([ShardAnswer("a", "s", b"1" * 16 + b"2" * 16 + b"x")], 1)
    b'2222222222222222'
    """
    records = [
        answer.records[start : start + RECORD_BYTES]
        for answer in answers
        for start in range(0, len(answer.records) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])


def shorten_answer(answer: ShardAnswer, count: int) -> ShardAnswer:
    """Return an answer with the ``count`` greatest records of a long one.

    The others cannot be among the ``count`` greatest records of all shards.
    """
    if len(answer.records) <= SHORTEN_FACTOR * max(1, count) * RECORD_BYTES:
        return answer
    return answer._replace(records=b"".join(_greatest_records(answer.records, count)))


def _greatest_records(records: bytes, count: int) -> list[bytes]:
    """Return the greatest records in descending order.

    The records are sorted in blocks, without those that are too small to count, so that
    the time and memory for a body of megabytes stay small.
    """
    view = memoryview(records)[: len(records) // RECORD_BYTES * RECORD_BYTES]
    greatest: list[bytes] = []
    for start in range(0, len(view), BLOCK_BYTES):
        block = iter_unpack(f"{RECORD_BYTES}s", view[start : start + BLOCK_BYTES])
        least = greatest[-1] if 0 < count == len(greatest) else b""
        greatest += [record for (record,) in block if record > least]
        greatest.sort(reverse=True)
        del greatest[count:]
    return greatest
