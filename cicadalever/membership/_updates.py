"""Selects the updates that are piggybacked on the failure detector's messages."""

import heapq
import math
import random
from collections.abc import Iterable

from ._members import MemberTable, MemberUpdate
from ._messages import MAX_UPDATES

# Gossip reaches all n members with high probability when each member sends an update a
# small multiple of log2(n) times.
SENDS_PER_LOG2 = 3
# Number of known members whose state is repeated in every message. This repairs
# differences that remain when all sends of an update were lost, at a cost that does
# not depend on the number of members.
REPEATED_MEMBERS = 4


class UpdateSelector:
    """Chooses the updates of each message and counts how often each was sent."""

    def __init__(self, table: MemberTable, rng: random.Random):
        self.table = table
        self.rng = rng
        self._send_counts: dict[str, int] = {}
        self._repeat_order: list[str] = []

    def select(
        self, first: Iterable[str], *, repeated: int = REPEATED_MEMBERS
    ) -> tuple[MemberUpdate, ...]:
        """Return at most ``MAX_UPDATES`` updates, those of ``first`` before others.

        ``first`` holds host ids. Then follow new updates, the least often sent ones
        first, and up to ``repeated`` other members in shuffled round-robin order.
        """
        self._send_counts.update(dict.fromkeys(self.table.take_changed(), 0))
        chosen = dict.fromkeys(first)
        chosen.update(dict.fromkeys(self._take_new(MAX_UPDATES - len(chosen), chosen)))
        room = min(repeated, MAX_UPDATES - len(chosen))
        chosen.update(dict.fromkeys(self._take_repeated(room, chosen)))
        members = map(self.table.member, chosen)
        return tuple(member.as_update() for member in members if member is not None)

    def _take_new(self, limit: int, exclude: Iterable[str]) -> list[str]:
        waiting = (host_id for host_id in self._send_counts if host_id not in exclude)
        taken = heapq.nsmallest(limit, waiting, key=self._send_counts.__getitem__)
        count = len(self.table.live())
        max_sends = math.ceil(SENDS_PER_LOG2 * math.log2(count + 1))
        for host_id in taken:
            self._send_counts[host_id] += 1
            if self._send_counts[host_id] >= max_sends:
                del self._send_counts[host_id]
        return taken

    def _take_repeated(self, limit: int, exclude: Iterable[str]) -> list[str]:
        taken: list[str] = []
        if len(self._repeat_order) < limit:
            own_id = self.table.self_host.id
            ids = (member.host.id for member in self.table.members())
            shuffled = [host_id for host_id in ids if host_id != own_id]
            self.rng.shuffle(shuffled)
            self._repeat_order = shuffled + self._repeat_order
        while self._repeat_order and len(taken) < limit:
            host_id = self._repeat_order.pop()
            if host_id not in exclude and host_id not in taken:
                taken.append(host_id)
        return taken
