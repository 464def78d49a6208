"""Merging of the parts of an answer."""

from collections.abc import Iterable
from typing import NamedTuple

RECORD_BYTES = 16


class ShardAnswer(NamedTuple):
    """The answer of one shard: the replica's signature and its records."""

    service: str
    signature: str
    records: bytes


def merge_top_records(answers: Iterable[ShardAnswer], count: int) -> bytes:
    """Return the ``count`` greatest records of all answers, greatest first.

    Records compare byte by byte, and equal ones all count. A remainder of an answer
    that is shorter than a record is left out.

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
