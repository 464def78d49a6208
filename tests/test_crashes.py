"""Tests of the ledger of requests that replicas may not survive."""

import unittest
from random import Random

from cicadalever.crashes import (
    CONFIRM_S,
    REFUSAL_S,
    Admission,
    AdmissionKind,
    CanaryReads,
    CanaryStep,
    CrashLedger,
    SharedMemory,
)

FREE, CANARY, WAIT, REFUSED = AdmissionKind
SEND, RELEASE, DROP, KEEP = CanaryStep
# Bounds of the rule: arrivals later than this after the third crash, on all hosts.
CONTACT_S = 4.0
MAX_LATE_ARRIVALS = 3
# Questions to other hosts in each period, as long as none is answered.
SYNC_TRIES = 5


class LedgerTestCase(unittest.TestCase):
    """Records what happens to the request with the fingerprint 7."""

    def setUp(self):
        self.ledger = CrashLedger("host-1")

    def lose(self, now, *services, is_canary=False, fingerprint=7):
        """Lose a replica of each service at a time."""
        for service in services:
            self.ledger.record_loss(
                fingerprint, service, f"i-{service}-{now}", now, is_canary=is_canary
            )

    def survive(self, now, *services):
        for service in services:
            self.ledger.record_survival(7, service, now)

    def condemn(self):
        """Lose four shards, and canary reads 0.1 and 2 s later."""
        self.lose(0.0, "a", "b", "c", "d")
        self.lose(0.1, "a", is_canary=True)
        self.lose(2.0, "a", is_canary=True)

    def kind(self, now):
        return self.ledger.admit(7, now).kind


class TestAdmission(LedgerTestCase):
    """Whether a request may be sent, as its replicas are lost or survive."""

    def test_third_crash_refuses_a_request_to_single_replicas(self):
        """Guards against a request that takes one replica after the other."""
        self.lose(0.0, "a")
        for now in (1.5, 3.0):
            self.assertEqual(self.kind(now), CANARY)
            self.lose(now, "a", is_canary=True)
        self.assertEqual(self.kind(3.3), REFUSED)
        self.assertEqual(self.ledger.admit(8, 3.1).kind, FREE)

    def test_second_lost_canary_refuses_a_query_over_shards(self):
        """Guards against a query that is sent to all shards as often as it comes."""
        self.lose(0.0, "a", "b", "c", "d")
        self.lose(0.1, "a", is_canary=True)
        self.assertEqual(self.kind(2.0), CANARY)
        self.lose(2.0, "b", is_canary=True)
        admission = self.ledger.admit(7, 2.3)
        self.assertEqual(admission.kind, REFUSED)
        self.assertAlmostEqual(admission.wait_s, REFUSAL_S - 0.3)
        self.assertEqual(set(admission.services), {"a", "b", "c", "d"})

    def test_request_that_ran_beside_a_crashing_one_is_not_refused(self):
        """Guards against refusing requests that lost replicas to another one."""
        self.lose(0.0, "a", "b", "c", "d")
        for now in (0.05, 0.1, 0.2):
            self.lose(now, "b", is_canary=True)
        self.assertEqual(self.kind(0.3), CANARY)
        self.assertEqual(self.ledger.admit(7, 0.3).services[0], "b")
        self.survive(3.0, "a", "b", "c", "d")
        self.assertEqual(self.kind(3.1), FREE)

    def test_refuted_first_loss_does_not_let_early_canaries_count_one_by_one(self):
        """Guards against refusing an innocent query that its first shard survived."""
        self.lose(0.0, "a")
        for now, service in ((0.019, "b"), (0.02, "c")):
            self.lose(now, service, is_canary=True)
        self.survive(0.01, "a")
        self.assertEqual(self.kind(0.25), CANARY)
        other = CrashLedger("host-2")
        other.merge(self.ledger.report(7, 0.25), "host-1", 0.25)
        self.assertEqual(other.admit(7, 0.3).kind, CANARY)
        self.lose(4.0, "b", is_canary=True)
        self.assertEqual(self.kind(4.3), REFUSED)

    def test_survival_clears_only_its_service(self):
        """Guards against a query that some of its shards survive."""
        self.condemn()
        self.survive(2.1, "e", "b")
        self.assertEqual(self.kind(2.3), REFUSED)
        self.survive(2.1, "a")
        self.assertEqual(self.kind(2.3), CANARY)

    def test_connections_that_break_do_not_refuse_a_request(self):
        """Guards against a refusal before the lost replica could show life."""
        self.condemn()
        self.assertEqual(self.kind(2.1), WAIT)
        self.ledger.record_life("i-a-2.0", 2.05, now=2.1)
        self.assertEqual(self.kind(2.1), CANARY)

    def test_canaries_alone_refuse_what_other_hosts_may_have_counted(self):
        """Guards against a third replica after a restart of all hosts."""
        for now in (0.0, 2.0):
            self.assertNotEqual(self.kind(now), REFUSED)
            self.lose(now, "a", is_canary=True)
        self.assertEqual(self.kind(2.3), REFUSED)

    def test_read_that_began_before_the_loss_proves_nothing(self):
        """Guards against an answer that was computed before the replica crashed."""
        self.lose(1.0, "a")
        self.survive(0.9, "a")
        self.assertEqual(self.kind(1.1), CANARY)

    def test_refusal_ends_with_one_canary_and_returns_for_longer(self):
        """Guards against a refusal that ends for all copies, or never."""
        self.condemn()
        self.assertEqual(self.kind(61.9), REFUSED)
        self.assertEqual(self.kind(62.1), CANARY)
        self.ledger.record_canary(7, 62.1)
        self.assertEqual(self.kind(62.2), WAIT)
        self.ledger.record_canary_end(7, 62.1)
        self.lose(62.3, "c", is_canary=True)
        self.assertEqual(self.kind(600.0), REFUSED)
        self.assertEqual(self.kind(663.0), CANARY)

    def test_canaries_beside_each_other_are_bounded(self):
        """Guards against as many reads as copies come at the same time."""
        self.lose(0.0, "a", "b", "c")
        for now in (5.0, 5.001):
            self.assertEqual(self.kind(now), CANARY)
            self.ledger.record_canary(7, now)
        self.assertEqual(self.kind(5.01), WAIT)
        self.assertEqual(self.kind(8.0), CANARY)

    def test_canaries_that_begin_together_end_one_by_one(self):
        """Guards against a further read beside one whose end is not known yet."""
        self.lose(0.0, "a", "b", "c")
        for _ in range(2):
            self.ledger.record_canary(7, 5.0)
        self.assertEqual(self.kind(5.01), WAIT)
        self.ledger.record_canary_end(7, 5.0)
        self.assertEqual(len(self.ledger.get(7).canaries("host-1")), 1)
        self.assertEqual(self.kind(5.02), CANARY)
        self.lose(5.1, "a", is_canary=True)
        self.assertEqual(self.kind(5.11), WAIT)

    def test_replica_is_lost_once_however_often_it_is_reported(self):
        """Guards against one crash that counts as several."""
        for now in (0.0, 0.1, 0.5):
            self.ledger.record_loss(7, "a", "i-1", now, is_canary=True)
        self.assertEqual(len(self.ledger.get(7).losses), 1)
        self.ledger.record_loss(7, "a", "i-1", 1.5, is_canary=True)
        self.assertEqual(len(self.ledger.get(7).losses), 2)

    def test_memory_is_bounded(self):
        """Guards against callers that push a refused request out of the memory."""
        self.condemn()
        for fingerprint in range(100, 3000):
            self.lose(3.0, "a", fingerprint=fingerprint)
        self.assertEqual(len(self.ledger), 1000)
        self.assertEqual(self.kind(4.0), REFUSED)
        for number in range(100):
            self.lose(4.0 + number, "a", "b")
        self.assertLessEqual(len(self.ledger.get(7).losses), 16)
        self.assertEqual(self.kind(3000.0), FREE)

    def test_memory_full_of_refused_requests_takes_another_one(self):
        """Guards against a loss that is recorded nowhere, and an exception."""
        for number in range(1100):
            at = 0.5 * number
            for now in (at, at + 0.1, at + 0.2):
                self.lose(now, "a", is_canary=True, fingerprint=number)
                self.assertIsNotNone(self.ledger.get(number))
        self.assertEqual(len(self.ledger), 1000)


class TestSignsOfLife(LedgerTestCase):
    """Lost connections to replicas that have crashed, or have not."""

    def setUp(self):
        super().setUp()
        self.ledger.record_loss(7, "a", "i-1", 10.0, is_canary=True)

    def test_life_after_the_loss_refutes_a_crash(self):
        """Guards against accusing a request of a replica that went on."""
        self.ledger.record_loss(7, "b", "i-2", 10.0)
        self.assertEqual(self.ledger.record_life("i-1", 10.1, now=10.4), [7])
        self.assertEqual(
            [each.replica_id for each in self.ledger.get(7).losses], ["i-2"]
        )

    def test_what_began_before_the_loss_proves_nothing(self):
        """Guards against answers that a crashed replica had sent before."""
        self.assertEqual(self.ledger.record_life("i-1", 9.9, now=10.01), [])
        self.assertEqual(self.kind(10.1), CANARY)

    def test_replica_that_is_back_has_crashed(self):
        """Guards against the next process of a replica as proof of its life."""
        now = 10.1 + CONFIRM_S
        self.assertEqual(self.ledger.record_life("i-1", now - 0.05, now), [])
        self.assertEqual(self.kind(now), CANARY)

    def test_lost_links_refute_losses(self):
        """Guards against accusing requests because this host was cut off."""
        self.ledger.record_loss(7, "b", "i-2", 10.5)
        self.assertEqual(self.ledger.void_own(10.2), [7])
        self.assertEqual(
            [each.replica_id for each in self.ledger.get(7).losses], ["i-1"]
        )

    def test_memory_is_bounded(self):
        """Guards against losses that are kept after they were decided."""
        for number in range(3000):
            self.ledger.record_loss(number, "a", f"i-{number}", 20.0 + number)
        self.assertLessEqual(len(self.ledger._undecided), 3)
        self.assertLessEqual(len(self.ledger._own), 1000)


class TestReports(LedgerTestCase):
    """What hosts tell each other."""

    def setUp(self):
        super().setUp()
        self.other = CrashLedger("host-2")

    def tell(self, now):
        """Tell the other host what this one knows; return whether it is news."""
        return self.other.merge(self.ledger.report(7, now), "host-1", now)

    def test_refusal_reaches_another_host(self):
        """Guards against a request that is sent to each host by turns."""
        self.condemn()
        self.assertTrue(self.tell(3.0))
        self.assertFalse(self.tell(3.5))
        self.assertEqual(self.other.admit(7, 4.0).kind, REFUSED)

    def test_decisive_loss_reaches_another_host_after_many_early_ones(self):
        """Guards against a report in which early canary losses displace a later one."""
        self.lose(0.0, *"abcdefghijklmnop")
        for number, service in enumerate("abcdefgh"):
            self.lose(0.1 + number / 20, service, is_canary=True)
        other = CrashLedger("host-2")
        other.merge(self.ledger.report(7, 1.0), "host-1", 1.0)
        self.assertEqual(other.admit(7, 1.0).kind, CANARY)
        self.lose(4.4, "i", is_canary=True)
        other.merge(self.ledger.report(7, 4.5), "host-1", 4.5)
        self.assertEqual(self.kind(4.7), REFUSED)
        self.assertEqual(other.admit(7, 4.7).kind, REFUSED)

    def test_first_of_many_canary_losses_reaches_another_host(self):
        """Guards against a receiver that takes late canary losses for early ones."""
        self.lose(0.0, "a", is_canary=True)
        self.survive(0.1, "c")
        for number in range(5):
            self.lose(4.0 + number / 10, "b", is_canary=True)
        self.tell(4.5)
        self.assertEqual(self.kind(4.7), REFUSED)
        self.assertEqual(self.other.admit(7, 4.7).kind, REFUSED)

    def test_clearing_reaches_another_host_and_old_news_does_not_undo_it(self):
        """Guards against innocent requests that stay suspected on other hosts."""
        self.lose(0.0, "a", "b", "c")
        old = self.ledger.report(7, 0.1)
        self.other.merge(old, "host-1", 0.1)
        self.survive(0.2, "a", "b", "c")
        self.tell(0.3)
        self.assertEqual(self.other.admit(7, 0.4).kind, FREE)
        self.other.merge(old, "host-1", 0.1)
        self.assertEqual(self.other.admit(7, 0.4).kind, FREE)

    def test_canary_of_another_host_is_waited_for_until_it_ends(self):
        """Guards against hosts that try the end of a refusal at the same time."""
        self.condemn()
        self.ledger.record_canary(7, 63.0)
        self.tell(63.01)
        self.assertEqual(self.other.admit(7, 63.02).kind, WAIT)
        self.ledger.record_canary_end(7, 63.0)
        self.tell(63.05)
        self.assertEqual(self.other.admit(7, 63.06).kind, CANARY)

    def test_host_that_asks_is_told_refused_requests_first(self):
        """Guards against a refusal that many mere suspicions hide."""
        self.condemn()
        for fingerprint in range(100, 200):
            self.lose(3.0, "a", "b", fingerprint=fingerprint)
        records = self.ledger.report_all(4.0)
        self.assertEqual(records[0].fingerprint, 7)
        self.assertLessEqual(len(records), 8)

    def test_report_of_an_older_host_makes_requests_suspected(self):
        """Guards against a refusal of an older version that this one ignores."""
        self.ledger.record_older_report("host-3", 7, 3, now=0.0)
        self.assertEqual(self.kind(0.1), CANARY)
        self.ledger.record_survival(7, "a", 0.2, is_canary=True)
        self.assertEqual(self.kind(0.3), FREE)


class TestCanaryReads(unittest.TestCase):
    """Reads of a query over shards that are held while a replica may crash."""

    def decide(self, reads, now, kind=CANARY):
        return reads.decide(Admission(kind), now)

    def lose_two(self):
        """Return the reads of a query that lost two replicas and reads one again."""
        reads = CanaryReads(is_suspect=False)
        reads.record_loss(is_canary=False)
        reads.record_start(0.0, overdue_s=0.02)
        self.assertFalse(reads.is_holding)
        reads.record_loss(is_canary=False)
        self.assertTrue(reads.is_holding)
        return reads

    def test_query_that_lost_replicas_reads_one_shard_again(self):
        """Guards against a second replica of each shard that is lost as well."""
        reads = self.lose_two()
        self.assertEqual(self.decide(reads, 0.01), KEEP)
        reads.record_end(has_run=True)
        reads.record_loss(is_canary=True)
        self.assertEqual(self.decide(reads, 0.011), DROP)

    def test_survival_releases_the_other_reads(self):
        """Guards against shards that are missing though their replicas were sound."""
        reads = self.lose_two()
        reads.record_end(has_run=True)
        reads.record_survival()
        self.assertEqual(self.decide(reads, 0.01), RELEASE)
        reads.release()
        self.assertFalse(reads.is_holding)

    def test_silent_canaries_are_replaced_a_few_times(self):
        """Guards against a query that waits for a replica which does not answer."""
        reads = self.lose_two()
        for now in (0.03, 0.06):
            self.assertEqual(self.decide(reads, now), SEND)
            reads.record_start(now, overdue_s=0.02)
        self.assertEqual(self.decide(reads, 0.09), KEEP)
        for _ in range(3):
            reads.record_end(has_run=True)
        self.assertEqual(self.decide(reads, 0.1), DROP)

    def test_reads_that_were_not_run_do_not_count(self):
        """Guards against giving up because some replicas cannot be reached."""
        reads = CanaryReads(is_suspect=True)
        for _ in range(10):
            self.assertEqual(self.decide(reads, 0.0), SEND)
            reads.record_start(0.0, overdue_s=0.02)
            reads.record_end(has_run=False)

    def test_admission_decides_while_nothing_is_in_progress(self):
        """Guards against reads of a refused query, and holds of a cleared one."""
        reads = CanaryReads(is_suspect=True)
        self.assertEqual(self.decide(reads, 0.0, REFUSED), DROP)
        self.assertEqual(self.decide(reads, 0.0, FREE), RELEASE)
        self.assertEqual(self.decide(reads, 0.0, WAIT), KEEP)
        self.assertLess(reads.due_at, 0.1)
        repeat = CanaryReads(is_suspect=False, needs_survival=True)
        self.assertEqual(self.decide(repeat, 0.0, FREE), SEND)


class TestSharedMemory(unittest.TestCase):
    """Whether a host knows what others know or have known."""

    def test_first_start_and_restart(self):
        """Guards against caution without a past, and none after all hosts restarted."""
        self.assertTrue(SharedMemory(0.0, is_first_start=True).is_complete(0.1))
        memory = SharedMemory(0.0, is_first_start=False)
        memory.record_answer(3.0, now=1.0)
        self.assertFalse(memory.is_complete(5.0))
        memory.record_answer(62.0, now=5.0)
        self.assertTrue(memory.is_complete(5.1))

    def test_host_that_hears_of_no_other_one(self):
        """Guards against a host that is cut off from what the others learn."""
        memory = SharedMemory(0.0, is_first_start=True)
        memory.record_answer(100.0, now=10.0)
        kinds = [memory.is_complete(now) for now in (14.0, 16.0, 60.0, 80.0)]
        self.assertEqual(kinds, [True, False, False, True])


class HostsPlay:
    """Hosts without network that get copies of a query which crashes replicas.

    News between hosts gets lost with a probability of ``loss``. A host that starts
    knows nothing, and one that is cut off hears nothing; neither gets copies before
    ``CONTACT_S`` later, since what it does then does not count.
    """

    def __init__(self, seed, *, hosts=6, shards=8, loss=0.3):
        self.rng = Random(seed)
        self.ledgers = [CrashLedger(f"host-{number}") for number in range(hosts)]
        self.shards = shards
        self.loss = loss
        self.away_until = [0.0] * hosts
        self.cut_until = [0.0] * hosts
        self.crash_times = []
        self.late = 0

    def run(self, seconds, period_s):
        now, synced_at, fault_at = 0.0, 0.0, 5.0
        while now < seconds:
            now += self.rng.uniform(0.5, 1.5) * period_s
            while synced_at < now:
                synced_at += 1.5
                self._sync(synced_at)
            if now > fault_at:
                fault_at = now + self.rng.uniform(4.0, 10.0)
                self._break_host(now)
            in_touch = [
                number for number, until in enumerate(self.away_until) if now >= until
            ]
            if in_touch:
                self._send_copy(self.rng.choice(in_touch), now)

    def _send_copy(self, number, now):
        ledger = self.ledgers[number]
        kind = ledger.admit(7, now).kind
        if kind in (REFUSED, WAIT):
            return
        if kind is FREE:
            for shard in range(self.shards):
                self._crash(ledger, shard, now, is_canary=False)
            now += 0.02
        self._crash(ledger, self.rng.randrange(self.shards), now, is_canary=True)
        self._tell(number, now)

    def _crash(self, ledger, shard, now, *, is_canary):
        third = self.crash_times[2] if len(self.crash_times) > 2 else now
        self.late += now > third + CONTACT_S
        self.crash_times.append(now)
        replica_id = f"i-{len(self.crash_times)}"
        ledger.record_loss(7, f"s{shard}", replica_id, now, is_canary=is_canary)

    def _tell(self, number, now):
        record = self.ledgers[number].report(7, now)
        for other, ledger in enumerate(self.ledgers):
            is_cut = now < max(self.cut_until[number], self.cut_until[other])
            if other != number and not is_cut and self.rng.random() > self.loss:
                ledger.merge(record, f"host-{number}", now)

    def _sync(self, now):
        """Let each host exchange all it knows with another one, in a few tries."""
        for number, ledger in enumerate(self.ledgers):
            for _ in range(SYNC_TRIES):
                other = self.rng.randrange(len(self.ledgers))
                is_cut = now < max(self.cut_until[number], self.cut_until[other])
                if is_cut or self.rng.random() < self.loss:
                    continue
                for record in ledger.report_all(now):
                    self.ledgers[other].merge(record, ledger.host, now)
                if self.rng.random() < self.loss:
                    continue
                for record in self.ledgers[other].report_all(now):
                    ledger.merge(record, self.ledgers[other].host, now)
                break

    def _break_host(self, now):
        number = self.rng.randrange(len(self.ledgers))
        if self.rng.random() < 0.5:
            self.ledgers[number] = CrashLedger(f"host-{number}")
            self.away_until[number] = now + CONTACT_S
        else:
            self.cut_until[number] = now + self.rng.uniform(0.5, 6.0)
            self.away_until[number] = self.cut_until[number] + CONTACT_S


class TestManyHosts(unittest.TestCase):
    """Copies of a query on hosts that restart, are cut off and miss news."""

    def test_copies_stay_within_the_bound(self):
        """Guards against a query that hosts send again because they do not know."""
        for seed in range(40):
            for shards, period_s in ((1, 1.0), (8, 0.7), (8, 2.6), (30, 5.0)):
                with self.subTest(seed=seed, shards=shards, period_s=period_s):
                    play = HostsPlay(seed, shards=shards)
                    play.run(120.0, period_s)
                    self.assertGreaterEqual(len(play.crash_times), 3)
                    self.assertLessEqual(play.late, MAX_LATE_ARRIVALS)
