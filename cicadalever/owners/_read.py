"""A read that an owner has accepted into its queue."""

from typing import NamedTuple

from cicadalever.transport import ReadMode


class ReadKey(NamedTuple):
    """Identity of a read: address of its sender, query id, and number in the query."""

    sender: str
    query: str
    number: int


class QueuedRead(NamedTuple):
    """What the owner needs to run a read and to answer it.

    ``deadline`` is in seconds of the owner's monotonic clock. ``parameters`` is the
    JSON body for the upstream.
    """

    key: ReadKey
    request_id: str
    rank: int
    deadline: float
    operation: str
    snapshot: int
    shard: str
    fingerprint: int
    mode: ReadMode
    parameters: bytes

    @property
    def upstream_request_id(self) -> str:
        """Id under which the upstream runs the read; unique per attempt."""
        return f"{self.request_id}/{self.key.query}/{self.key.number}"
