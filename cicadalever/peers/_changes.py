"""Log of platform changes that a host keeps for the hosts that follow it."""

import zlib
from collections import deque
from typing import Annotated, NamedTuple

import msgspec

from cicadalever.outcomes import DECODE_ERRORS, Failure, FailureCode

# Answers of the platform that are kept. A follower polls at least once a second and the
# platform sends changes at most a few times a second; a follower that is further behind
# reads from the platform itself.
MAX_BATCHES = 32
# Fastest level: a batch is compressed once and sent to each follower.
COMPRESSION_LEVEL = 1
# Largest batch that is kept, in bytes before compression: compressing a larger one
# would block the event loop. Followers read such changes from the platform.
MAX_KEPT_BATCH_BYTES = 4 * 1024 * 1024
# Most bytes of all batches, compressed; the oldest are dropped first.
MAX_LOG_BYTES = 8 * 1024 * 1024
# Largest batch that is accepted from another host, in bytes before compression.
MAX_BATCH_BYTES = 16 * 1024 * 1024
# Most bytes of all batches of one answer of another host, before compression.
MAX_CHANGES_BYTES = 32 * 1024 * 1024
# Most batches of such an answer; hosts send at most ``MAX_BATCHES``. Each costs time
# and memory, even without a byte.
MAX_CHANGES_BATCHES = 1024
# Greatest times that another host can name. A grace period without end would keep
# replicas that have left.
MAX_AGE_S = 1e9
MAX_GRACE_S = 60.0

Number = Annotated[int, msgspec.Meta(ge=0)]


class RelayedChanges(msgspec.Struct, array_like=True, frozen=True):
    """Changes up to ``revision`` of ``era``, in ``batches`` as the platform sent them.

    The entries of replicas resemble each other, so that a batch shrinks to a fraction
    when it is compressed (zlib). Without that, the links of a data centre would be busy
    for a noticeable time when the replicas of many shards change together.

    ``age_s`` is the time since the platform confirmed to the sender that there were no
    further changes. ``grace_s`` is the time that is left for expired entries to be
    published again. ``held_s`` is the time between the arrival of the poll and the
    answer, which tells the receiver for how long both were on the way. Older hosts do
    not send it and ignore it.
    """

    era: Number
    revision: Number
    age_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_S)]
    grace_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_GRACE_S)]
    batches: Annotated[list[bytes], msgspec.Meta(max_length=MAX_CHANGES_BATCHES)]
    held_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_S)] | None = None

    def add_transit(self, elapsed_s: float, longest_hold_s: float) -> "RelayedChanges":
        """Return the changes with the age that they have on arrival.

        ``elapsed_s`` is the time since the poll was sent. What the sender did not hold
        the poll for was spent on the way. An older host may have held it for
        ``longest_hold_s``.

        >>> changes = RelayedChanges(1, 7, 0.5, 0.0, [], held_s=0.25)
        >>> changes.add_transit(elapsed_s=1.0, longest_hold_s=0.8).age_s
        1.25
        """
        held_s = longest_hold_s if self.held_s is None else self.held_s
        age_s = self.age_s + max(0.0, elapsed_s - held_s)
        return msgspec.structs.replace(self, age_s=age_s)


class Position(NamedTuple):
    """Place in the history of the platform: all changes up to it are known.

    When the platform comes back from an older copy of its data, a new ``era`` begins,
    in which revisions are given out again, so that positions of different eras cannot
    be compared.
    """

    era: int
    revision: int


class _Batch(NamedTuple):
    revision: int
    data: bytes


class ChangeLog:
    """The latest changes of one era of the platform, in the order of their revisions.

    >>> log = ChangeLog()
    >>> log.reset(Position(era=1, revision=5))
    >>> log.append(7, b"x")
    >>> [zlib.decompress(batch) for batch in log.since(Position(1, 5))]
    [b'x']
    >>> log.since(Position(1, 7)), log.since(Position(1, 4)), log.since(Position(2, 5))
    ([], None, None)
    """

    def __init__(self):
        self._batches: deque[_Batch] = deque()
        # Bytes of all batches.
        self._size = 0
        # All changes after this revision are kept; None before the first reset.
        self._complete_after: int | None = None
        self._position = Position(0, 0)

    @property
    def position(self) -> Position:
        """Latest position that the platform has confirmed."""
        return self._position

    def reset(self, position: Position) -> None:
        """Discard all changes after a complete read of the platform."""
        self._batches.clear()
        self._size = 0
        self._position = position
        self._complete_after = position.revision

    def append(self, revision: int, data: bytes | None) -> None:
        """Add the changes up to ``revision``; None means that there were none."""
        self._position = self._position._replace(revision=revision)
        if data is None:
            return
        if len(data) > MAX_KEPT_BATCH_BYTES:
            self.reset(self._position)
            return
        compressed = zlib.compress(data, COMPRESSION_LEVEL)
        self._batches.append(_Batch(revision, compressed))
        self._size += len(compressed)
        while len(self._batches) > MAX_BATCHES or self._size > MAX_LOG_BYTES:
            oldest = self._batches.popleft()
            self._size -= len(oldest.data)
            self._complete_after = oldest.revision

    def since(self, position: Position) -> list[bytes] | None:
        """Return the compressed changes after a position.

        The result is None if some of them are no longer kept, or if the position
        belongs to another era.
        """
        era, revision = position
        if era != self._position.era or self._complete_after is None:
            return None
        if revision < self._complete_after:
            return None
        return [batch.data for batch in self._batches if batch.revision > revision]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RelayedChanges)


def encode_changes(changes: RelayedChanges) -> bytes:
    """Return the changes as MessagePack."""
    return _encoder.encode(changes)


def decode_changes(data: bytes) -> RelayedChanges | Failure:
    """Return the changes with batches as the platform sent them.

    The result is a failure if the data is invalid, or if a batch or all of them
    together are too large.
    """
    batches = []
    bytes_left = MAX_CHANGES_BYTES
    try:
        changes = _decoder.decode(data)
        for compressed in changes.batches:
            batch = _decompress(compressed, min(MAX_BATCH_BYTES, bytes_left))
            if batch is None:
                reason = (
                    f"relayed batch exceeds {MAX_BATCH_BYTES} bytes, all of them "
                    f"{MAX_CHANGES_BYTES}, or it is cut"
                )
                return Failure(FailureCode.INVALID, reason)
            batches.append(batch)
            bytes_left -= len(batch)
    except (*DECODE_ERRORS, zlib.error) as error:
        return Failure(FailureCode.INVALID, f"invalid relayed changes: {error}")
    return msgspec.structs.replace(changes, batches=batches)


def _decompress(batch: bytes, max_bytes: int) -> bytes | None:
    """Return the bytes of a batch, or None if it is too large or incomplete."""
    # The library takes 0 for no limit.
    if max_bytes <= 0:
        return None
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(batch, max_bytes)
    return data if decompressor.eof else None
