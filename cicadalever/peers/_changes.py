"""The changes of the platform that a host keeps for others that follow it."""

from collections import deque
from typing import NamedTuple

import msgspec

from cicadalever.outcomes import Failure, FailureCode

# A follower asks at least every second, and changes come in answers at most a few times
# a second; a follower that is further behind reads the platform itself.
MAX_BATCHES = 32


class RelayedChanges(msgspec.Struct, array_like=True, frozen=True):
    """Changes up to ``revision``, as the platform sent them.

    ``age_s`` is how long ago the platform confirmed to the sender that there were no
    others, and ``grace_s`` for how long entries that lapsed may still come back.
    """

    revision: int
    age_s: float
    grace_s: float
    batches: list[bytes]


class _Batch(NamedTuple):
    revision: int
    data: bytes


class ChangeLog:
    """The newest changes in order.

    >>> log = ChangeLog()
    >>> log.reset(5)
    >>> log.append(7, b"x")
    >>> log.since(5), log.since(7), log.since(4)
    ([b'x'], [], None)
    """

    def __init__(self):
        self._batches: deque[_Batch] = deque()
        self._start: int | None = None
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Begin after a complete read."""
        self._batches.clear()
        self._start = self._revision = revision

    def append(self, revision: int, data: bytes | None) -> None:
        """Add an answer of the platform; None tells that nothing has changed."""
        self._revision = max(self._revision, revision)
        if data is None:
            return
        self._batches.append(_Batch(revision, data))
        if len(self._batches) > MAX_BATCHES:
            self._start = self._batches.popleft().revision

    def since(self, revision: int) -> list[bytes] | None:
        """Return the changes after a revision, or None when they are not known."""
        if self._start is None or revision < self._start:
            return None
        return [batch.data for batch in self._batches if batch.revision > revision]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RelayedChanges)


def encode_changes(changes: RelayedChanges) -> bytes:
    """Return the bytes of the changes."""
    return _encoder.encode(changes)


def decode_changes(data: bytes) -> RelayedChanges | Failure:
    """Return the changes, or why the bytes are none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(FailureCode.INVALID, f"changes: {error}")
