"""The entry that a replica publishes about itself."""

from enum import StrEnum
from typing import NamedTuple


class ReplicaState(StrEnum):
    """State that a replica publishes; a draining one accepts no new reads."""

    READY = "ready"
    DRAINING = "draining"


class ReplicaEntry(NamedTuple):
    """The entry that a replica publishes about itself.

    ``address`` is an IPv4 address and a port, ``slots`` the number of requests that the
    replica runs concurrently, and ``warmup_s`` the remaining time for which it is slow
    after its start. ``started_at_ms`` is the Unix time of the start, and ``sequence``
    increases with each entry since then. ``revision`` is the one at which the platform
    got the entry, or 0 if that is not known; it orders the entries of one id within one
    history of the platform, and the start with the sequence do so across histories.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    state: ReplicaState
    warmup_s: float
    started_at_ms: int
    sequence: int
    revision: int = 0
