"""Chooses the replica for each read of a query."""

import time
from typing import NamedTuple

from cicadalever.configuration import Configuration
from cicadalever.quarantine import trial_order
from cicadalever.topology import Replica
from cicadalever.transport import ReadMode

from ._query import Query

# Refused tries of a suspect on the replica that it crashed before it may run elsewhere.
TRIES_ON_CRASHED_REPLICA = 6


class PlannedRead(NamedTuple):
    """A read that is to be sent."""

    shard: str
    mode: ReadMode
    replica: Replica


class ReadPlanner:
    """Plans the reads of one query against the host's present view of the fleet."""

    def __init__(
        self,
        coordinator,
        query: Query,
        configuration: Configuration,
        fingerprint: int,
    ):
        self.coordinator = coordinator
        self.query = query
        self.configuration = configuration
        self.fingerprint = fingerprint

    def replica_count(self, shard: str) -> int:
        """Return the number of configured replicas of a shard."""
        return len(self.configuration.replicas_of(self.query.shards[shard]))

    def is_tried_everywhere(self, shard: str) -> bool:
        """Tell whether a read of the shard was sent to each of its replicas."""
        service = self.query.shards[shard]
        replicas = {replica.id for replica in self.configuration.replicas_of(service)}
        return replicas <= self.query.tried_replicas(shard)

    def usable_replicas(self, shard: str) -> list[Replica]:
        """Return the replicas that can be asked, those of the own region if any.

        The way to another region takes longer than a read.
        """
        view = self.coordinator.view
        near = []
        far = []
        for replica in self.configuration.replicas_of(self.query.shards[shard]):
            draining = replica.draining or view.is_draining(replica.id)
            owner = None if draining else view.owner_of(replica)
            if owner is None or not self.coordinator.is_reachable(owner.address):
                continue
            (near if owner.region == view.region else far).append(replica)
        return near or far

    def choose_trial_shard(self, shards: list[str]) -> str:
        """Return the shard that the fingerprint names for the first read.

        A shard without a usable replica is passed over, so that its outage does not
        keep the others from being read.
        """
        first = self.fingerprint % len(shards)
        for shard in shards[first:] + shards[:first]:
            if self.usable_replicas(shard):
                return shard
        return shards[first]

    def plan(self, shard: str, mode: ReadMode) -> PlannedRead | None:
        """Choose a replica for a read; None if no replica is usable."""
        replicas = self.usable_replicas(shard)
        if not replicas:
            return None
        if mode == ReadMode.NORMAL:
            return PlannedRead(shard, mode, self._choose(shard, replicas))
        order = trial_order(self.fingerprint, replicas)
        position = self._trial_position(shard, mode)
        return PlannedRead(shard, mode, order[position % len(order)])

    def plan_hedge(self, shard: str, mode: ReadMode) -> PlannedRead | None:
        """Choose a second replica for a read that is late."""
        if len(self.usable_replicas(shard)) < 2:
            return None
        return self.plan(
            shard, ReadMode.NORMAL if mode == ReadMode.NORMAL else ReadMode.EXCLUSIVE
        )

    def _choose(self, shard: str, replicas: list[Replica]) -> Replica:
        """Choose by load, preferring a replica that was not tried."""
        selector = self.coordinator.selector
        now = time.monotonic()
        tried = self.query.tried_replicas(shard)
        untried = selector.choose(replicas, now, exclude=tried)
        return untried or selector.choose(replicas, now)

    def _trial_position(self, shard: str, mode: ReadMode) -> int:
        """Return the place in the order of replicas that the fingerprint gives.

        All copies of a request meet at the same replicas, so that it costs no more
        than two upstreams if it crashes them. A canary that was refused did not run, so
        the next replica may have it. A suspect is first tried on the replica that it
        crashed: if both replicas of a shard were down, it would be missing from all
        answers. A trial that is only slow is hedged on the second replica.
        """
        tries = self.query.tries(shard)
        if mode == ReadMode.CANARY:
            return tries
        is_hedge = not self.query.is_open(shard)
        return 1 if is_hedge or tries >= TRIES_ON_CRASHED_REPLICA else 0
