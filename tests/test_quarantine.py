"""Tests of the protection of upstreams from requests that crash them."""

import unittest

from cicadalever.outcomes import FailureCode
from cicadalever.quarantine import (
    ProvenFingerprints,
    Quarantine,
    RunningRead,
    TrialGate,
    trial_order,
)
from cicadalever.topology import Replica
from cicadalever.transport import ReadMode

NORMAL, CANARY, EXCLUSIVE = ReadMode


def crash(quarantine, now, *running):
    """Return the states that a crash gives to (fingerprint, mode) pairs."""
    attributions = quarantine.record_crash(
        [RunningRead(*read) for read in running], now
    )
    return {
        attribution.fingerprint: attribution.state.value for attribution in attributions
    }


class TestQuarantine(unittest.TestCase):
    """Attribution of crashes, and expiry of suspicions and quarantines."""

    def test_quarantines_the_cause_and_clears_other_suspects(self):
        """Guards against a third crash and against refusing harmless requests."""
        quarantine = Quarantine(600.0)
        states = crash(quarantine, 0, (1, NORMAL), (2, NORMAL), (2, NORMAL))
        self.assertEqual(states, {1: "suspect", 2: "suspect"})
        self.assertEqual(crash(quarantine, 1, (1, NORMAL), (2, NORMAL)), states)
        quarantine.clear_suspicion(2)
        self.assertEqual(crash(quarantine, 2, (1, EXCLUSIVE)), {1: "quarantined"})
        self.assertEqual(quarantine.check(1, 3).code, FailureCode.QUARANTINED)
        self.assertEqual(crash(quarantine, 3, (1, NORMAL)), {})
        self.assertIsNone(quarantine.check(2, 3))
        self.assertFalse(quarantine.is_suspect(1, 3) or quarantine.is_suspect(2, 3))
        self.assertEqual([entry.remaining_s for entry in quarantine.entries(3)], [599])
        self.assertIsNone(quarantine.check(1, 602))

    def test_normal_reads_beside_a_trial_are_not_suspected(self):
        """Guards against suspecting requests that have succeeded before."""
        for mode in (CANARY, EXCLUSIVE):
            states = crash(Quarantine(), 0, (1, mode), (2, NORMAL), (3, NORMAL))
            self.assertEqual(set(states), {1})

    def test_suspect_that_ran_alone_is_quarantined(self):
        """Guards against a suspect that crashes replicas for ever outside of trials."""
        quarantine = Quarantine(600.0)
        self.assertEqual(crash(quarantine, 0, (1, CANARY)), {1: "suspect"})
        self.assertEqual(crash(quarantine, 60, (1, CANARY)), {1: "suspect"})
        self.assertEqual(crash(quarantine, 61, (1, CANARY)), {1: "quarantined"})

    def test_imported_quarantine_neither_shortens_nor_exceeds_the_ttl(self):
        """Guards against late or wrong quarantine notices of peers."""
        quarantine = Quarantine(600.0)
        for ttl_s, remaining_s in ((0, []), (9e9, [600]), (1, [600])):
            quarantine.import_quarantine(5, ttl_s, 0)
            remaining = [entry.remaining_s for entry in quarantine.entries(0)]
            self.assertEqual(remaining, remaining_s)

    def test_tables_are_bounded(self):
        """Guards against tables that grow with each distinct request."""
        quarantine, proven = Quarantine(), ProvenFingerprints(2)
        for fingerprint in range(10_500):
            crash(quarantine, 0, (fingerprint, CANARY))
        self.assertEqual(len(quarantine.entries(0)), 10_000)
        for fingerprint in (1, 2):
            proven.add(fingerprint)
        self.assertIn(1, proven)
        proven.add(3)
        self.assertEqual(
            [number in proven for number in (1, 2, 3)], [True, False, True]
        )


class TestTrialOrder(unittest.TestCase):
    """Agreement of hosts on the replicas for trials."""

    def test_is_the_same_on_every_host_and_stable(self):
        """Guards against copies of a request that crash several replicas at once."""
        replicas = [Replica(f"r{n}", "s", "", "x", 2, 12) for n in range(5)]
        first_ids = set()
        for fingerprint in range(50):
            order = trial_order(fingerprint, replicas)
            self.assertEqual(trial_order(fingerprint, reversed(replicas)), order)
            draining = order[0]._replace(draining=True)
            rest = [
                draining if replica is order[0] else replica for replica in replicas
            ]
            self.assertEqual(trial_order(fingerprint, rest), order[1:])
            first_ids.add(order[0].id)
        self.assertEqual(len(first_ids), 5)


class TestTrialGate(unittest.TestCase):
    """Which reads run on a replica at the same time."""

    def test_one_canary_per_fingerprint_until_proven(self):
        """Guards against two copies of an unproven request that crash two replicas."""
        proven = ProvenFingerprints()
        gate = TrialGate(proven)
        gate.started("a", 1, CANARY)
        self.assertFalse(gate.may_start(1, CANARY))
        self.assertTrue(gate.may_start(2, CANARY) and gate.may_start(1, NORMAL))
        gate.finished("a")
        self.assertTrue(gate.may_start(1, CANARY))
        gate.started("b", 1, CANARY)
        proven.add(1)
        self.assertTrue(gate.may_start(1, CANARY))

    def test_exclusive_read_runs_alone_and_does_not_starve(self):
        """Guards against suspecting another read and against trials that never run."""
        gate = TrialGate()
        gate.started("a", 1, NORMAL)
        self.assertFalse(gate.may_start(7, EXCLUSIVE))
        self.assertFalse(gate.may_start(2, NORMAL))
        gate.finished("a")
        self.assertFalse(gate.may_start(2, NORMAL) or gate.may_start(8, EXCLUSIVE))
        self.assertTrue(gate.may_start(7, EXCLUSIVE))
        gate.started("b", 7, EXCLUSIVE)
        self.assertFalse(gate.may_start(2, NORMAL) or gate.may_start(8, EXCLUSIVE))
        self.assertEqual(gate.running(), [RunningRead(7, EXCLUSIVE)])
        gate.finished("b")
        self.assertFalse(gate.may_start(2, NORMAL))
        gate.release_reservation(8)
        self.assertTrue(gate.may_start(2, NORMAL))
