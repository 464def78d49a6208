"""Tests of the exchange between hosts about requests that may crash replicas."""

import unittest
from random import Random
from types import SimpleNamespace

from bench.fleet._loop import VirtualLoop
from cicadalever.crashes import (
    AdmissionKind,
    CrashLedger,
    CrashRecord,
    ReportedLoss,
    SharedMemory,
)
from cicadalever.gateway._crash_gossip import CrashGossip
from cicadalever.gateway._crash_guard import CrashGuard
from cicadalever.outcomes import Failure
from cicadalever.peers import (
    MAX_DATAGRAM_BYTES,
    decode_crash_news,
    encode_crash_news,
)

# A host that was restarted or cut off is expected to know all after this time.
CONTACT_S = 4.0


class Network:
    """Hosts of which the first three are seeds; ``drops`` tells lost datagrams."""

    def __init__(self, hosts):
        self.loop = VirtualLoop()
        self.rng = Random(1)
        self.drops = lambda sender, receiver: False
        self.datagrams = 0
        self.bytes = 0
        self.hosts = {}
        self.addresses = [(f"10.0.0.{number}", 1) for number in range(1, hosts + 1)]
        for address in self.addresses:
            self.start(address, is_first_start=True)

    def start(self, address, *, is_first_start=False):
        """Start a host that knows nothing, in place of the one that ran there."""
        if address in self.hosts:
            self.hosts[address].link.send_crash_news = lambda *arguments, **options: (
                None
            )
        seeds = [each for each in self.addresses[:3] if each != address]
        others = [each for each in self.addresses if each != address]
        is_seed = address in self.addresses[:3]
        peers = SimpleNamespace(
            address=address,
            is_seed=is_seed,
            advisers=lambda: seeds,
            known_hosts=lambda: others if is_seed else seeds,
        )
        link = SimpleNamespace(
            host_id=f"host-{address[0]}", peer_table=peers, rng=self.rng, handlers={}
        )

        def send(records, addresses, memory_s, *, wants_reply=False):
            datagrams = list(
                encode_crash_news(
                    link.host_id, address, records, memory_s, wants_reply=wants_reply
                )
            )
            for receiver in addresses:
                for data in datagrams:
                    self.deliver(address, receiver, data)

        link.send_crash_news = send
        events = SimpleNamespace(emit_detail=lambda *arguments, **fields: None)
        ledger = CrashLedger(link.host_id)
        memory = SharedMemory(self.loop.now(), is_first_start=is_first_start)
        gossip = CrashGossip(self.loop, link, ledger, events, memory)
        gossip.start()
        self.hosts[address] = gossip

    def deliver(self, sender, receiver, data):
        self.datagrams += 1
        self.bytes += len(data)
        if not self.drops(sender, receiver):
            self.loop.call_later(
                0.001, lambda: self.hosts[receiver].link.handlers[data[:1]](data)
            )

    def condemn(self, address):
        """Let a host lose replicas to a request and canary reads of it."""
        gossip, now = self.hosts[address], self.loop.now()
        for number in range(5):
            gossip.ledger.record_loss(
                7, f"s{number}", f"i-{number}", now - 3.0, is_canary=False
            )
        for number, at in enumerate((now - 1.5, now - 0.5)):
            gossip.ledger.record_loss(7, "s0", f"i-canary{number}", at, is_canary=True)
        gossip.announce(7, is_urgent=True)

    def count_refusing(self):
        now = self.loop.now()
        return sum(
            gossip.ledger.admit(7, now).kind is AdmissionKind.REFUSED
            for gossip in self.hosts.values()
        )


class TestCrashGossip(unittest.TestCase):
    """News that reaches all hosts, whatever happens to datagrams and hosts."""

    def setUp(self):
        self.network = Network(10)
        self.loop = self.network.loop
        self.loop.run_until(10.0)

    def test_news_passes_the_seeds_to_all_hosts_at_once(self):
        """Guards against a caller that repeats the request at another host."""
        self.network.condemn(self.network.addresses[9])
        self.loop.run_until(10.03)
        self.assertEqual(self.network.count_refusing(), 10)

    def test_first_datagrams_are_lost(self):
        """Guards against news that is sent once and not again."""
        self.network.drops = lambda sender, receiver: True
        self.network.condemn(self.network.addresses[9])
        self.loop.run_until(10.2)
        self.network.drops = lambda sender, receiver: False
        self.loop.run_until(10.6)
        self.assertEqual(self.network.count_refusing(), 10)

    def test_host_that_was_cut_off_catches_up(self):
        """Guards against a host that missed all sendings of news."""
        cut = self.network.addresses[5]
        self.network.drops = lambda *ends: cut in ends
        self.network.condemn(self.network.addresses[9])
        self.loop.run_until(20.0)
        self.assertEqual(self.network.count_refusing(), 9)
        self.network.drops = lambda *ends: False
        self.loop.run_until(20.0 + CONTACT_S)
        self.assertEqual(self.network.count_refusing(), 10)

    def test_restarted_hosts_catch_up(self):
        """Guards against a host that knows nothing after its start, seed or not."""
        self.network.condemn(self.network.addresses[0])
        self.loop.run_until(15.0)
        for address in self.network.addresses[:4]:
            self.network.start(address)
        self.loop.run_until(15.0 + CONTACT_S)
        self.assertEqual(self.network.count_refusing(), 10)

    def test_survival_reaches_a_host_whose_news_came_after_it(self):
        """Guards against a refusal that only one host holds for a minute."""
        network = self.network
        refusing, serving = network.addresses[8:]
        network.hosts[serving].ledger.record_loss(7, "s0", "i-0", 9.0)
        network.hosts[serving].ledger.record_survival(7, "s0", 10.0)
        refusing_ledger = network.hosts[refusing].ledger
        for number, at in enumerate((8.0, 9.0)):
            refusing_ledger.record_loss(7, "s0", f"i-{number}", at, is_canary=True)
        network.hosts[refusing].announce(7, is_urgent=True)
        self.loop.run_until(10.0 + CONTACT_S)
        self.assertEqual(network.count_refusing(), 0)

    def test_memory_of_the_fleet(self):
        """Guards against hosts that take a common restart for a calm past."""
        hosts = self.network.hosts
        self.loop.run_until(15.0)
        self.assertTrue(all(each.is_informed for each in hosts.values()))
        one, *others = self.network.addresses
        self.network.start(one)
        self.assertFalse(hosts[one].is_informed)
        self.loop.run_until(15.2)
        self.assertTrue(hosts[one].is_informed)
        for address in self.network.addresses:
            self.network.start(address)
        self.loop.run_until(70.0)
        self.assertFalse(any(each.is_informed for each in hosts.values()))
        self.loop.run_until(80.0)
        self.assertTrue(all(each.is_informed for each in hosts.values()))

    def test_lossy_network(self):
        """Guards against a host that stays ignorant when datagrams get lost."""
        self.network.drops = lambda *ends: self.network.rng.random() < 0.3
        self.network.condemn(self.network.addresses[9])
        self.loop.run_until(10.0 + CONTACT_S)
        self.assertEqual(self.network.count_refusing(), 10)

    def test_request_that_is_cleared_at_once_costs_no_datagram(self):
        """Guards against a storm of news when many connections break at once."""
        before = self.network.datagrams
        gossip = self.network.hosts[self.network.addresses[9]]
        for fingerprint in range(100):
            for service in "ab":
                gossip.ledger.record_loss(
                    fingerprint, service, f"i-{service}{fingerprint}", 10.0
                )
            gossip.announce(fingerprint, is_urgent=False)
            for service in "ab":
                gossip.ledger.record_survival(fingerprint, service, 10.01)
        self.loop.run_until(11.0)
        idle = 10 * 2 * 2
        self.assertLessEqual(self.network.datagrams - before, idle)

    def test_rate_of_news_is_bounded(self):
        """Guards against links that are full of news after many lost canaries."""
        before = self.network.datagrams
        gossip = self.network.hosts[self.network.addresses[9]]
        for fingerprint in range(1000):
            gossip.ledger.record_loss(
                fingerprint, "a", f"i-{fingerprint}", 10.0, is_canary=True
            )
            gossip.announce(fingerprint, is_urgent=True)
        self.loop.run_until(11.0)
        sent = self.network.datagrams - before
        # 24 requests by one host to three seeds, each of which passes them on to nine.
        self.assertLess(sent, 24 * 3 + 3 * 24 * 9 + 200)


class TestCrashGuard(unittest.TestCase):
    """Lines of the log about a request that crashes replicas."""

    def test_lost_trial_is_not_logged_as_cleared(self):
        """Guards against a log that says the opposite of what happened."""
        loop, lines = VirtualLoop(), []
        events = SimpleNamespace(
            emit=lambda event, **fields: lines.append(event),
            emit_detail=lambda event, **fields: None,
        )
        metrics = SimpleNamespace(request_quarantined=lambda: None)
        guard = CrashGuard(
            loop, events, metrics, CrashLedger("host-1"), lambda replica: None
        )
        for at, is_canary in ((0.0, False), (2.0, True), (4.0, True), (70.0, True)):
            loop.run_until(at)
            replica = SimpleNamespace(id=f"i-{at}", service="a")
            guard.record_loss(7, replica, is_canary=is_canary)
        loop.run_until(72.0)
        self.assertEqual(lines, ["request_quarantined"])


class TestCrashNews(unittest.TestCase):
    """Datagrams of crash news."""

    def record(self, fingerprint, losses=6):
        lost = [
            ReportedLoss(f"i-{number:010x}", f"kedai-depan~{number}", 250, number < 2)
            for number in range(losses)
        ]
        return CrashRecord(fingerprint, 10, lost, [("s", 5)], [], [("host-1", 3)])

    def test_round_trip_in_packets(self):
        """Guards against datagrams that do not fit into a packet."""
        records = [self.record(2**64 - number) for number in range(1, 17)]
        datagrams = list(
            encode_crash_news("host-1", ("10.0.0.1", 7), records, wants_reply=True)
        )
        news = [decode_crash_news(data) for data in datagrams]
        self.assertEqual([each for n in news for each in n.records], records)
        self.assertEqual(
            [n.wants_reply for n in news], [True] + [False] * (len(news) - 1)
        )
        self.assertLess(max(map(len, datagrams)), MAX_DATAGRAM_BYTES + 100)

    def test_values_out_of_range_are_rejected(self):
        """Guards against ages and names of a broken host that break this one."""
        sound = self.record(1)
        odd = (
            sound._replace(fingerprint=-1),
            sound._replace(active_age_ms=-1),
            sound._replace(active_age_ms=10**12),
            sound._replace(losses=[sound.losses[0]] * 100),
            sound._replace(losses=[sound.losses[0]._replace(age_ms=-5)]),
            sound._replace(losses=[sound.losses[0]._replace(service="x" * 300)]),
            sound._replace(canaries=[("host-1", -1)]),
            sound._replace(cleared_services=[("s", 10**12)]),
        )
        for record in odd:
            [data] = encode_crash_news("host-1", ("10.0.0.1", 7), [record])
            self.assertIsInstance(decode_crash_news(data), Failure)
        self.assertIsInstance(decode_crash_news(b"K\xff"), Failure)
