"""Tests of hosts of the landed version and of this one side by side."""

import io
import subprocess
import tarfile
import tempfile
import time
import unittest
from collections import defaultdict
from pathlib import Path

import eventlet

from tests.platform_standins import ROOT, wait_for
from tests.soak import Soak
from tests.test_crashing_requests import POISON, CrashPlay, Host
from tests.test_lost_links import LostLinksTestCase

# The version that runs in production until this one has landed.
LANDED_COMMIT = "a8ffc99"
# Time for which each combination of builds serves.
MIXED_S = 1.5
STOP_TIMEOUT_S = 10.0


def extract_build(commit, folder):
    """Write the files of a commit of this repository to a folder."""
    command = ["git", "archive", "--format=tar", commit, "cicadalever", "platform"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")


class Upgrade(Soak):
    """Replaces the gateways one after the other, and back again, under load.

    ``former`` is the folder of the build that runs first. If ``is_servable``, at least
    one replica of each service has no fault at any time.
    """

    def __init__(self, seed, former, *, is_wide, is_servable):
        self.former = former
        self.is_servable = is_servable
        super().__init__(seed, is_wide=is_wide)
        self.combinations = set()
        for gateway in self.gateways:
            gateway.kill()
            gateway.root = former
            gateway.start()

    def _inject_faults(self):
        faults = eventlet.spawn(self._inject_mild_faults)
        for root in (ROOT, self.former):
            for gateway in self.gateways:
                self._replace(gateway, root)
                builds = tuple(each.root == ROOT for each in self.gateways)
                self.combinations.add(builds)
                eventlet.sleep(MIXED_S)
        faults.kill()

    def _replace(self, gateway, root):
        self._log_fault(f"gateway {self.gateways.index(gateway)} becomes {root}")
        self._note_break(gateway)
        gateway.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while gateway.process.poll() is None and time.monotonic() < deadline:
            eventlet.sleep(0.02)
        gateway.root = root
        self._start(gateway)
        while not gateway.is_ready() and time.monotonic() < deadline:
            eventlet.sleep(0.05)

    def _inject_mild_faults(self):
        """Break replicas, let them leave and pause, and change the configuration.

        These are faults that the landed version can handle as well.
        """
        while True:
            fault = self.rng.choice((self._break_replica, self._change_configuration))
            fault()
            eventlet.sleep(self.rng.uniform(0.2, 0.6))
            replica = self.rng.choice(list(self.replicas.values()))
            if self.rng.random() < 0.3:
                self._log_fault(f"{replica.id} asks for pauses")
                replica.pause_s = 0.5
            elif self.rng.random() < 0.3:
                # One at a time leaves, and then becomes another process.
                leaving = [r for r in self.replicas.values() if r.is_leaving]
                self._change_departure(leaving[0] if leaving else replica)

    def _break_replica(self):
        super()._break_replica()
        if not self.is_servable:
            return
        for replicas in self._replicas_by_service().values():
            if all(each.behaviour != "answer" for each in replicas):
                mended = self.rng.choice(replicas)
                self._log_fault(f"{mended.id} is mended")
                mended.behaviour = "answer"

    def _replicas_by_service(self):
        services = defaultdict(list)
        for replica in self.replicas.values():
            services[replica.service].append(replica)
        return services

    def _find_violations(self):
        violations = super()._find_violations()
        runs = {each for r in self.replicas.values() for each in r.executed_ids}
        return violations + [
            f"order {answer.request_id} ran and was not answered"
            for answer in self.answers
            if answer.kind == "order"
            and answer.status is None
            and answer.request_id in runs
        ]


class UpgradeTestCase(unittest.TestCase):
    """Provides the landed version."""

    # Violations are printed whole, with the log lines that tell their cause.
    maxDiff = None

    def extract_landed(self):
        """Return the folder of the landed build."""
        if not (ROOT / ".git").exists():
            self.skipTest("the landed version is taken from the history of a checkout")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        extract_build(LANDED_COMMIT, folder.name)
        return Path(folder.name)


class TestUpgrade(UpgradeTestCase):
    """The guarantees while the landed version is replaced by this one, and back."""

    def upgrade(self, seed, *, is_wide, is_servable=True):
        upgrade = Upgrade(
            seed, self.extract_landed(), is_wide=is_wide, is_servable=is_servable
        )
        violations = upgrade.run()
        if violations:
            violations += upgrade.history
            violations += [line for tail in upgrade.log_tails for line in tail]
        self.assertEqual(violations, [])
        self.assertEqual(
            upgrade.combinations,
            {(False, False), (False, True), (True, False), (True, True)},
        )
        if not is_servable:
            return
        answers = [each for each in upgrade.answers if each.kind != "order"]
        served = sum(each.status == 200 for each in answers)
        self.assertGreater(served, len(answers) / 2)

    def test_queries_that_hosts_gather_for_each_other(self):
        """Guards against messages that only one of the builds understands."""
        self.upgrade(1, is_wide=True)

    def test_hosts_that_gather_themselves(self):
        """Guards against promises that hold only among hosts of one build."""
        self.upgrade(2, is_wide=False)

    def test_services_without_a_sound_replica(self):
        """Guards against promises that hold only while replicas answer."""
        for seed, is_wide in ((1, True), (2, False)):
            with self.subTest(is_wide=is_wide):
                self.upgrade(seed, is_wide=is_wide, is_servable=False)


class TestHandingOver(UpgradeTestCase, LostLinksTestCase):
    """Requests of a host without upstreams that one of another build takes over.

    The hosts find out by connecting to replicas for each other.
    """

    def setUp(self):
        # Each test starts its gateways itself.
        self.former = self.extract_landed()

    def hand_over(self, *roots):
        self.roots = roots
        LostLinksTestCase.setUp(self)
        self.check_served("calm")
        for mode in ("cut", "sever"):
            with self.subTest(mode):
                self.cut_links(mode)
                self.check_served(mode)
                self.set_links("pass")
                wait_for(self.cut.is_ready, "the host to be back")

    def test_former_version_takes_over(self):
        """Guards against requests that the former version does not accept."""
        self.hand_over(ROOT, self.former)

    def test_this_version_takes_over(self):
        """Guards against requests of the former version that this one rejects."""
        self.hand_over(self.former, ROOT)


class TestCrashingRequests(UpgradeTestCase):
    """A query that crashes replicas at hosts of the landed version and of this one."""

    def setUp(self):
        hosts = [Host(), Host(root=self.extract_landed())]
        self.play = CrashPlay(self, shards=8, copies=4, hosts=hosts)
        self.new, self.former = self.play.gateways

    def send(self, gateway, seconds):
        """Send copies to one host; return how many reached replicas."""
        before = len(self.play.arrivals)
        self.play.run(
            period_s=1.5, seconds=seconds, gateways=[gateway], with_innocent=False
        )
        return len(self.play.arrivals) - before

    def test_refusal_of_this_version_holds_at_the_former_one(self):
        """Guards against a query that is refused on half of the hosts."""
        self.send(self.new, 6.0)
        self.assertEqual(self.play.refused_paths(), {POISON})
        self.assertEqual(self.send(self.former, 4.0), 0)

    def test_crashes_at_the_former_version_make_this_one_careful(self):
        """Guards against a query that each build sends to all shards once."""
        self.assertGreater(self.send(self.former, 1.4), 3)
        wait_for(lambda: self.new.events("crash_news"), "the report")
        self.assertLessEqual(self.send(self.new, 7.0), 3)
