"""Selection of the replica for each read of a query."""

import time
from typing import NamedTuple

from cicadalever.configuration import Configuration
from cicadalever.quarantine import trial_order
from cicadalever.topology import Replica
from cicadalever.transport import ReadMode

from ._query import Query

# A suspect is first sent to the replica that it crashed, and to another one after this
# many tries.
TRIES_ON_CRASHED_REPLICA = 6


class PlannedRead(NamedTuple):
    """A read that has not been sent yet."""

    shard: str
    mode: ReadMode
    replica: Replica


class ReadPlanner:
    """Selects replicas for the reads of one query.

    Each call uses the current state of the hosts and replicas, as far as the entry
    knows it.
    """

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

    def are_all_replicas_tried(self, shard: str) -> bool:
        """Tell whether reads of ``shard`` were sent to each of its replicas."""
        service = self.query.shards[shard]
        replicas = {replica.id for replica in self.configuration.replicas_of(service)}
        return replicas <= self.query.tried_replicas(shard)

    def usable_replicas(self, shard: str) -> list[Replica]:
        """Return the replicas of ``shard`` to which reads can be sent.

        They are not draining, and their owner is reachable. Replicas with an owner in
        another region are returned only if there are no others, since the round-trip to
        another region takes longer than a read.
        """
        view = self.coordinator.view
        same_region = []
        other_regions = []
        for replica in self.configuration.replicas_of(self.query.shards[shard]):
            draining = replica.draining or view.is_draining(replica.id)
            owner = None if draining else view.owner_of(replica)
            if owner is None or not self.coordinator.is_reachable(owner.address):
                continue
            (same_region if owner.region == view.region else other_regions).append(
                replica
            )
        return same_region or other_regions

    def choose_trial_shard(self, shards: list[str]) -> str:
        """Return the shard for the trial, which depends on the fingerprint.

        A shard without a usable replica is skipped, so that its outage does not prevent
        the reads of the others.
        """
        first = self.fingerprint % len(shards)
        for shard in shards[first:] + shards[:first]:
            if self.usable_replicas(shard):
                return shard
        return shards[first]

    def plan(self, shard: str, mode: ReadMode) -> PlannedRead | None:
        """Return a read of ``shard``, or None if no replica is usable.

        The replica of a normal read is selected by load, that of a trial by the
        fingerprint.
        """
        replicas = self.usable_replicas(shard)
        if not replicas:
            return None
        if mode == ReadMode.NORMAL:
            return PlannedRead(shard, mode, self._choose_by_load(shard, replicas))
        order = trial_order(self.fingerprint, replicas)
        position = self._trial_position(shard, mode)
        return PlannedRead(shard, mode, order[position % len(order)])

    def plan_hedge(self, shard: str, mode: ReadMode) -> PlannedRead | None:
        """Return a hedge of a late read, or None if there is no second replica.

        The hedge of a trial is exclusive.
        """
        if len(self.usable_replicas(shard)) < 2:
            return None
        return self.plan(
            shard, ReadMode.NORMAL if mode == ReadMode.NORMAL else ReadMode.EXCLUSIVE
        )

    def _choose_by_load(self, shard: str, replicas: list[Replica]) -> Replica:
        """Return a replica selected by load, preferably one that was not tried."""
        selector = self.coordinator.selector
        now = time.monotonic()
        tried = self.query.tried_replicas(shard)
        untried = selector.choose(replicas, now, exclude=tried)
        return untried or selector.choose(replicas, now)

    def _trial_position(self, shard: str, mode: ReadMode) -> int:
        """Return the index of the trial's replica in ``trial_order``.

        All copies of a request are sent to the same replicas, so that a request which
        crashes its upstreams crashes no more than two. A canary that was refused did
        not run, so it may be sent to the next replica. A suspect is first sent to the
        replica that it crashed: if it crashed both replicas of a shard, the shard would
        be missing from all answers. The hedge of a late trial goes to the second
        replica.
        """
        tries = self.query.tries(shard)
        if mode == ReadMode.CANARY:
            return tries
        is_hedge = not self.query.needs_read(shard)
        return 1 if is_hedge or tries >= TRIES_ON_CRASHED_REPLICA else 0
