"""Tests of the directory of upstream replicas."""

import unittest

from cicadalever.discovery import ReplicaEntry, ReplicaState, UpstreamDirectory
from cicadalever.discovery._directory import MAX_REMOVED


def entry(replica_id="i-1", **changes):
    """Return the entry of a ready replica."""
    ready = ReplicaEntry(
        replica_id, "s", ("10.0.0.1", 80), "a", 2, ReplicaState.READY, 0.0, 100, 5
    )
    return ready._replace(**changes)


class TestUpstreamDirectory(unittest.TestCase):
    """Storage, ordering and removal of entries."""

    def setUp(self):
        self.directory = UpstreamDirectory()

    def ids(self):
        return sorted(replica.id for replica in self.directory.ready_replicas("s"))

    def test_draining_replica_gets_no_reads(self):
        """Guards against new reads at a replica that is draining."""
        self.directory.apply(entry())
        self.directory.apply(entry(state=ReplicaState.DRAINING, sequence=6))
        self.assertEqual(self.ids(), [])
        self.assertEqual(len(self.directory), 1)

    def test_entry_with_a_smaller_sequence_is_ignored(self):
        """Guards against a late entry that marks a draining replica as ready."""
        self.directory.apply(entry(state=ReplicaState.DRAINING, sequence=9))
        self.assertIsNone(self.directory.apply(entry(sequence=8)))
        self.assertEqual(self.ids(), [])

    def test_restart_resets_the_sequence(self):
        """Guards against ignoring a restarted replica with a smaller sequence."""
        self.directory.apply(entry(sequence=900))
        change = self.directory.apply(entry(started_at_ms=200, sequence=1))
        self.assertEqual(change.current.started_at_ms, 200)
        self.assertIsNone(self.directory.apply(entry(sequence=901)))

    def test_sequence_alone_is_no_change(self):
        """Guards against dropping connections at each heartbeat."""
        self.directory.apply(entry())
        self.assertIsNone(self.directory.apply(entry(sequence=6)))

    def test_service_change_moves_the_replica(self):
        """Guards against reads of a service at a replica that now serves another."""
        self.directory.apply(entry())
        self.directory.apply(entry(service="t", sequence=6))
        self.assertEqual(self.ids(), [])
        self.assertEqual(len(self.directory.ready_replicas("t")), 1)

    def test_older_list_does_not_bring_a_removed_replica_back(self):
        """Guards against reads at a replica that had left before a restore."""
        self.directory.apply(entry(sequence=9))
        self.directory.remove("i-1", now=1.0)
        for sequence in (7, 9):
            older = [entry(sequence=sequence)]
            self.assertEqual(self.directory.replace_all(older, set(), 2.0), [])
        self.assertEqual(self.ids(), [])

    def test_removed_replica_that_publishes_again_is_used(self):
        """Guards against ignoring a replica whose lease had expired."""
        for publish in (
            lambda: self.directory.replace_all([entry(sequence=10)], set(), 2.0),
            lambda: self.directory.replace_all(
                [entry(started_at_ms=200, sequence=1)], set(), 2.0
            ),
            lambda: self.directory.apply(entry(sequence=9)),
        ):
            self.directory = UpstreamDirectory()
            self.directory.apply(entry(sequence=9))
            self.directory.remove("i-1", now=1.0)
            publish()
            self.assertEqual(self.ids(), ["i-1"])

    def test_number_of_remembered_removals_is_bounded(self):
        """Guards against memory that grows with each replica that ever left."""
        for number in range(MAX_REMOVED + 10):
            self.directory.apply(entry(f"i-{number}"))
            self.directory.remove(f"i-{number}", now=1.0)
        self.assertEqual(len(self.directory._removed), MAX_REMOVED)

    def test_removal_takes_effect_at_once(self):
        """Guards against reads at a replica that was removed without draining."""
        self.directory.apply(entry())
        self.assertIsNotNone(self.directory.remove("i-1", now=10.0))
        self.assertEqual(self.ids(), [])

    def test_missing_entry_is_kept_until_the_grace_period_ends(self):
        """Guards against losing all replicas whose leases expired in an outage."""
        self.directory.apply(entry())
        self.directory.apply(entry("i-2"))
        self.directory.start_grace_period(until=12.5)
        self.assertIsNone(self.directory.remove("i-1", now=10.1))
        self.assertIsNone(self.directory.remove("i-2", now=10.1))
        self.assertEqual(self.ids(), ["i-1", "i-2"])
        self.directory.apply(entry("i-2", sequence=7))
        self.assertEqual(self.directory.expire(now=12.4), [])
        changes = self.directory.expire(now=12.6)
        self.assertEqual([change.replica_id for change in changes], ["i-1"])
        self.assertEqual(self.ids(), ["i-2"])

    def test_draining_replica_gets_no_grace(self):
        """Guards against connections and warm-ups of a replica that has left."""
        self.directory.apply(entry(state=ReplicaState.DRAINING))
        self.directory.apply(entry("i-2", state=ReplicaState.DRAINING))
        self.directory.start_grace_period(until=12.5)
        self.assertIsNotNone(self.directory.remove("i-1", now=10.1))
        self.assertEqual(len(self.directory.replace_all([], set(), now=10.2)), 1)
        self.assertEqual(len(self.directory), 0)

    def test_complete_list_removes_missing_replicas(self):
        """Guards against keeping a replica whose removal was missed."""
        self.directory.apply(entry())
        self.directory.apply(entry("i-2"))
        changes = self.directory.replace_all([entry("i-2")], {"i-1"}, now=10.0)
        self.assertEqual([change.reason for change in changes], ["entry unreadable"])
        self.assertEqual(self.ids(), ["i-2"])


class TestOrderOfEntries(unittest.TestCase):
    """Which of two entries of a replica is the newer one."""

    def setUp(self):
        self.directory = UpstreamDirectory()

    def known(self):
        known = self.directory.get("i-1")
        return None if known is None else (known.state, known.sequence)

    def test_claimed_sequence_does_not_outlast_the_next_entry(self):
        """Guards against a replica that drains unnoticed after another's entry."""
        claims = (
            entry(sequence=2**50, revision=8),
            entry(started_at_ms=2**50, sequence=1, revision=9),
        )
        for claim in claims:
            self.directory.apply(entry(sequence=5, revision=7))
            self.directory.apply(claim)
            drained = entry(state=ReplicaState.DRAINING, sequence=6, revision=10)
            self.directory.apply(drained)
            self.assertEqual(self.known(), (ReplicaState.DRAINING, 6))
            self.directory = UpstreamDirectory()

    def test_older_revision_is_ignored(self):
        """Guards against a page that is older than the changes since then."""
        self.directory.apply(entry(sequence=6, revision=10))
        self.directory.apply(entry(sequence=9, revision=8))
        self.assertEqual(self.known(), (ReplicaState.READY, 6))

    def test_list_that_is_older_than_a_removal(self):
        """Guards against a removed replica that comes back with an older list."""
        self.directory.apply(entry(sequence=5, revision=7))
        self.directory.remove("i-1", 0.0, revision=12)
        self.directory.replace_all([entry(sequence=9, revision=11)], set(), 0.0, 11)
        self.assertIsNone(self.known())
        self.directory.replace_all([entry(sequence=1, revision=13)], set(), 0.0, 13)
        self.assertEqual(self.known(), (ReplicaState.READY, 1))

    def test_sequences_decide_between_eras(self):
        """Guards against an older copy of the platform with greater revisions."""
        self.directory.apply(entry(sequence=6, revision=10))
        self.directory.begin_era()
        self.directory.replace_all([entry(sequence=4, revision=20)], set(), 0.0, 20)
        self.assertEqual(self.known(), (ReplicaState.READY, 6))
        self.directory.apply(entry(sequence=7, revision=4))
        self.assertEqual(self.known(), (ReplicaState.READY, 7))
        # Within the new era, revisions decide again.
        self.directory.apply(entry(sequence=1, revision=5))
        self.assertEqual(self.known(), (ReplicaState.READY, 1))

    def test_removal_of_an_earlier_era_holds_against_its_copy(self):
        """Guards against a replica that left before the platform came back."""
        self.directory.apply(entry(sequence=6, revision=10))
        self.directory.remove("i-1", 0.0, revision=11)
        self.directory.begin_era()
        self.directory.replace_all([entry(sequence=6, revision=20)], set(), 0.0, 20)
        self.assertIsNone(self.known())
