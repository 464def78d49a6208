"""File descriptors of a process for connections, by what they are for."""

from collections.abc import Callable, Hashable
from enum import StrEnum

# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# For listeners, calls to the platform, checks of replicas, pipes and the event loop.
OWN_DESCRIPTORS = 100
# Holders that are tried before a new connection is given up; one of which a request
# has just arrived stays.
MAX_DROP_ATTEMPTS = 8
DEFAULT_MAX_DESCRIPTORS = 4096


class DescriptorKind(StrEnum):
    """What a connection is for.

    - ``CALLER``, ``PEER``, ``READINESS``, ``METRICS``: accepted from such a client.
    - ``REPLICA``, ``LINK``: opened to a replica or to a peer.
    """

    CALLER = "caller"
    PEER = "peer"
    READINESS = "readiness"
    METRICS = "metrics"
    REPLICA = "replica"
    LINK = "link"


# Part of the descriptors that each kind can always have, whatever the others take.
GUARANTEED_SHARES = {
    DescriptorKind.CALLER: 0.2,
    DescriptorKind.PEER: 0.08,
    DescriptorKind.READINESS: 0.01,
    DescriptorKind.METRICS: 0.01,
    DescriptorKind.REPLICA: 0.3,
    DescriptorKind.LINK: 0.08,
}


class DescriptorBudget:
    """Limits the connections of a process.

    Each kind has a guaranteed number; what remains is for those that come first.
    ``on_dropped`` is called with the kind and the reason of each drop: "idle" and
    "unfinished" for a connection that made room, without a request or with one that
    was not complete, and "full" for one that got none.

    >>> budget = DescriptorBudget(1300)
    >>> budget.guaranteed(DescriptorKind.CALLER)
    200
    """

    def __init__(self, max_descriptors: int = DEFAULT_MAX_DESCRIPTORS):
        self.max_descriptors = max_descriptors
        self.on_dropped: Callable[[DescriptorKind, str], None] = lambda kind, why: None
        self._open = dict.fromkeys(DescriptorKind, 0)
        usable = max(0, max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS)
        self._guaranteed = {
            kind: max(1, int(share * usable))
            for kind, share in GUARANTEED_SHARES.items()
        }
        self._common = max(0, usable - sum(self._guaranteed.values()))
        self._common_taken = 0

    @property
    def open_by_kind(self) -> dict[DescriptorKind, int]:
        """Number of open connections of each kind."""
        return dict(self._open)

    def guaranteed(self, kind: DescriptorKind) -> int:
        """Return how many connections a kind can always have."""
        return self._guaranteed[kind]

    def has_room(self, kind: DescriptorKind) -> bool:
        """Return whether a connection can be opened without closing another."""
        is_guaranteed = self._open[kind] < self._guaranteed[kind]
        return is_guaranteed or self._common_taken < self._common

    def take(self, kind: DescriptorKind) -> None:
        """Count a connection as open."""
        self._common_taken += self._open[kind] >= self._guaranteed[kind]
        self._open[kind] += 1

    def give_back(self, kind: DescriptorKind) -> None:
        """Count a connection as closed."""
        self._open[kind] -= 1
        self._common_taken -= self._open[kind] >= self._guaranteed[kind]


class DescriptorShare:
    """The open connections of one kind, and which of them makes room for a new one.

    That is the one for which the process has waited longest: since it was opened,
    became idle, or began to send a request. A holder in use never goes.

    >>> share = DescriptorShare(DescriptorBudget(), DescriptorKind.CALLER)
    >>> share.open("a", on_drop=lambda: print("a dropped"))
    >>> share.open("b", on_drop=lambda: print("b dropped"))
    >>> share.use("a")
    >>> share.rest("a")
    >>> share.drop_waiting()
    b dropped
    a dropped
    False
    """

    def __init__(self, budget: DescriptorBudget, kind: DescriptorKind):
        self.budget = budget
        self.kind = kind
        self._on_drop: dict[Hashable, Callable[[], None]] = {}
        # Holders in the order in which they would be dropped, and why.
        self._waiting: dict[Hashable, str] = {}

    @property
    def has_room(self) -> bool:
        """Whether a connection can be opened without closing another."""
        return self.budget.has_room(self.kind)

    def make_room(self) -> bool:
        """Close a connection if needed; return whether one can be opened."""
        if self.has_room or (self.drop_waiting() and self.has_room):
            return True
        self.budget.on_dropped(self.kind, "full")
        return False

    def open(self, holder: Hashable, on_drop: Callable[[], None]) -> None:
        """Count ``holder`` as open, and wait for its first request.

        ``on_drop`` should call ``close``, unless the holder turns out to be in use.
        """
        self._on_drop[holder] = on_drop
        self._waiting[holder] = "idle"
        self.budget.take(self.kind)

    def use(self, holder: Hashable) -> None:
        """Record that ``holder`` is in use."""
        self._waiting.pop(holder, None)

    def receive(self, holder: Hashable) -> None:
        """Record that ``holder`` has begun a request that is not complete."""
        self._wait(holder, "unfinished")

    def rest(self, holder: Hashable) -> None:
        """Record that ``holder`` is idle from now on."""
        if self._waiting.get(holder) != "idle":
            self._wait(holder, "idle")

    def close(self, holder: Hashable) -> None:
        """Record that ``holder`` was closed."""
        if self._on_drop.pop(holder, None) is not None:
            self.use(holder)
            self.budget.give_back(self.kind)

    def drop_waiting(self) -> bool:
        """Close the connection that has waited longest, and return whether one did."""
        for _ in range(MAX_DROP_ATTEMPTS):
            holder = next(iter(self._waiting), None)
            if holder is None:
                return False
            cause = self._waiting.pop(holder)
            self._on_drop[holder]()
            if holder not in self._on_drop:
                self.budget.on_dropped(self.kind, cause)
                return True
        return False

    def _wait(self, holder: Hashable, cause: str) -> None:
        self._waiting.pop(holder, None)
        if holder in self._on_drop:
            self._waiting[holder] = cause
