"""Tests of the owner side without sockets."""

import unittest

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.owners import OwnedReplica, QueuedRead
from cicadalever.owners._draining import (
    NOTICE_TTL_S,
    REQUIRED_READY_PROBES,
    DrainingReplicas,
)
from cicadalever.owners._read import ReadKey
from cicadalever.owners._responsiveness import MAX_TIMEOUTS, Responsiveness
from cicadalever.scheduling import Rank
from cicadalever.topology import Replica
from cicadalever.transport import ReadMode
from cicadalever.upstreams import ConnectionPool

REPLICA = Replica("a", "service", "127.0.0.1:1", "dc1", slots=2, connections=12)
ANSWER = object()


def make_read(number, *, deadline=100.0, fingerprint=None, mode=ReadMode.NORMAL):
    """Return a read, with its number as the default fingerprint."""
    key = ReadKey("127.0.0.1:7", "q", number)
    fingerprint = number if fingerprint is None else fingerprint
    return QueuedRead(
        key, "id", Rank.BATCH, deadline, "read", 1, "i/s", fingerprint, mode, b"{}"
    )


class TestOwnedReplica(unittest.TestCase):
    """The order in which reads start, and the reads that are refused."""

    def setUp(self):
        self.owned = OwnedReplica(REPLICA, {}, now=0.0, takeover=False)

    def submit(self, *reads, now=0.0):
        return [self.owned.submit(read, now) for read in reads]

    def start_all(self, now=0.0):
        started = []
        while (entry := self.owned.start_next(now)) is not None:
            started.append(entry.item)
        return started

    def test_runs_no_more_than_the_slots(self):
        """Guards against more running reads than the replica has slots."""
        self.submit(*(make_read(number) for number in range(5)))
        self.assertEqual(len(self.start_all()), REPLICA.slots)

    def test_takeover_starts_with_one(self):
        """Guards against two owners that each use all slots during a takeover."""
        self.owned = OwnedReplica(REPLICA, {}, now=0.0, takeover=True)
        self.submit(*(make_read(number) for number in range(3)))
        self.assertEqual(len(self.start_all(0.5)), 1)
        self.owned.lift_takeover_limit(0.6)
        self.assertEqual(len(self.start_all(0.6)), 1)

    def test_refuses_read_that_cannot_meet_its_deadline(self):
        """Guards against reads that run although their deadline will have passed."""
        for number in range(3):
            self.submit(make_read(number))
        self.owned.finish(self.start_all()[0], ANSWER, 10.0, 0.0)
        failure = self.owned.submit(make_read(9, deadline=0.5), 0.0)
        self.assertEqual(failure.code, FailureCode.DEADLINE)

    def test_idle_replica_accepts_in_spite_of_a_long_service_time(self):
        """Guards against one slow read that makes a replica refuse all later ones."""
        self.submit(make_read(1))
        self.owned.finish(self.start_all()[0], ANSWER, 100.0, 0.0)
        late = make_read(2, deadline=0.5)
        self.assertEqual(self.submit(late), [None])
        self.assertEqual(self.start_all(), [late])
        self.assertTrue(self.owned.can_finish(late, 0.0))

    def test_exclusive_read_runs_alone(self):
        """Guards against a read that is lost because a suspect read ran beside it."""
        first, exclusive, last = (
            make_read(1),
            make_read(2, mode=ReadMode.EXCLUSIVE),
            make_read(3),
        )
        self.submit(first)
        self.assertEqual(self.start_all(), [first])
        self.submit(exclusive, last)
        self.assertEqual(self.start_all(), [])
        self.owned.finish(first, ANSWER, 0.01, 0.0)
        self.assertEqual(self.start_all(), [exclusive])
        self.owned.finish(exclusive, ANSWER, 0.01, 0.0)
        self.assertEqual(self.start_all(), [last])

    def test_cancelled_exclusive_read_ends_its_reservation(self):
        """Guards against a replica that stays blocked by a cancelled read."""
        first, exclusive, last = (
            make_read(1),
            make_read(2, mode=ReadMode.EXCLUSIVE),
            make_read(3),
        )
        self.submit(first)
        self.start_all()
        self.submit(exclusive, last)
        self.start_all()
        self.assertEqual(self.owned.cancel(exclusive.key), exclusive)
        self.assertEqual(self.start_all(), [last])

    def test_one_crash_is_counted_once(self):
        """Guards against a second read lost in a crash that counts as another crash."""
        reads = [make_read(1), make_read(2)]
        self.submit(*reads)
        self.start_all()
        self.assertTrue(self.owned.record_loss(reads[0].key))
        self.assertFalse(self.owned.record_loss(reads[1].key))

    def test_probe_is_due_after_a_crash(self):
        """Guards against false crashes behind a proxy.

        A proxy accepts connections to a process that is down and then breaks them,
        which would look like a crash caused by the read.
        """
        lost = Failure(FailureCode.LOST, "reset")
        self.assertTrue(self.owned.answered_since_crash)
        for number in (1, 2):
            read = make_read(number)
            self.assertEqual(self.submit(read, now=number * 10.0), [None])
            self.start_all(number * 10.0)
            self.assertTrue(self.owned.record_loss(read.key), "each crash counts")
            self.owned.finish(read, lost, 0.01, number * 10.0)
            self.assertFalse(self.owned.answered_since_crash)
            self.owned.record_probe_answer(number * 10.0)

    def test_expired_and_drained_reads_leave_once(self):
        """Guards against a waiting read that is never answered."""
        self.submit(make_read(1, deadline=1.0), make_read(2))
        self.assertEqual([e.item.key.number for e in self.owned.take_expired(2.0)], [1])
        self.assertEqual([e.item.key.number for e in self.owned.drain_queue()], [2])
        self.assertEqual(self.owned.waiting, 0)


class TestDrainingReplicas(unittest.TestCase):
    """How long a draining replica gets no reads."""

    def setUp(self):
        self.drains = DrainingReplicas()

    def test_serves_again_after_ready_probes_in_a_row(self):
        """Guards against a restarted upstream that stays unused."""
        self.drains.record_owned("a", 0.0)
        self.assertEqual(self.drains.take_due_probes(1.0), [])
        self.assertEqual(self.drains.take_due_probes(6.0), ["a"])
        results = (
            [True] * (REQUIRED_READY_PROBES - 1)
            + [False]
            + [True] * REQUIRED_READY_PROBES
        )
        back = [self.drains.record_probe("a", is_ready) for is_ready in results]
        self.assertEqual(back, [False] * (len(results) - 1) + [True])
        self.assertNotIn("a", self.drains)

    def test_notice_of_a_lost_owner_expires(self):
        """Guards against a drain that never ends because its owner was lost."""
        self.drains.record_notice("a", True, 0.0)
        self.assertEqual(self.drains.remove_expired(NOTICE_TTL_S - 1), [])
        self.drains.record_notice("a", True, NOTICE_TTL_S - 1)
        self.assertEqual(self.drains.remove_expired(NOTICE_TTL_S + 1), [])
        self.assertEqual(self.drains.remove_expired(2 * NOTICE_TTL_S), ["a"])


class TestConnectionPool(unittest.TestCase):
    """The limit of open connections."""

    def test_never_exceeds_its_quota(self):
        """Guards against more connections than this owner's share."""
        pool = ConnectionPool("127.0.0.1:1", 2)
        taken = [pool.acquire() for _ in range(3)]
        self.assertIsNone(taken[2])
        pool.release(taken[0])
        self.assertIs(pool.acquire(), taken[0])


class TestResponsiveness(unittest.TestCase):
    """When a replica that does not answer is probed."""

    def setUp(self):
        self.state = Responsiveness()
        self.state.record_start(0.0, running=0)

    def test_silent_replica_is_stuck(self):
        """Guards against reads that each wait until their deadline."""
        self.assertFalse(self.state.is_stuck(0.2, 1, 0.01))
        self.assertTrue(self.state.is_stuck(0.4, 1, 0.01))
        self.assertFalse(self.state.is_stuck(0.4, 0, 0.01), "nothing runs")
        self.state.record_answer(0.35)
        self.assertFalse(self.state.is_stuck(0.4, 1, 0.01))

    def test_reads_with_short_deadlines_add_up(self):
        """Guards against a stuck replica that looks idle between short reads."""
        for number in range(MAX_TIMEOUTS):
            self.assertFalse(self.state.is_stuck(0.0, 0, 0.01), number)
            self.state.record_timeout()
        self.assertTrue(self.state.is_stuck(0.0, 0, 0.01))

    def test_false_alarms_raise_the_tolerated_silence(self):
        """Guards against long reads that are abandoned again and again."""
        self.state.record_false_alarm(0.4)
        self.assertFalse(self.state.is_stuck(0.8, 1, 0.01))
        self.assertTrue(self.state.is_stuck(1.1, 1, 0.01))
