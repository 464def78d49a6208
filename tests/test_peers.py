"""Tests of the peers of a host, of delegated queries and of relayed changes."""

import signal
import unittest
import zlib
from itertools import count
from random import Random
from types import SimpleNamespace
from unittest import mock

import eventlet
import msgspec

from bench.fleet._loop import VirtualLoop
from cicadalever.gateway._delegated_call import DelegatedCall
from cicadalever.gateway._outbound import OutboundRequest
from cicadalever.gateway._peers import PeerLink
from cicadalever.outcomes import Failure
from cicadalever.peers import (
    CONTACT_REPORT_PREFIX,
    COUNT_AFTER_S,
    OBSERVATION_PREFIX,
    Capacity,
    ChangeLog,
    ContactReport,
    Heartbeat,
    Peer,
    PeerTable,
    Position,
    RelayedChanges,
    decode_changes,
    decode_heartbeat,
    decode_observation,
    encode_changes,
    encode_contact_report,
    encode_heartbeat,
    encode_observation,
)
from cicadalever.peers._changes import (
    MAX_BATCH_BYTES,
    MAX_KEPT_BATCH_BYTES,
    MAX_LOG_BYTES,
)
from cicadalever.peers._table import FAULTY_PAUSE_S
from cicadalever.routing import Limits, RoutingTable
from cicadalever.wire import CallerRequest, EventLoop, Exchange
from tests.platform_standins import (
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_gateway import gather_route
from tests.test_gateway_process import configuration
from tests.test_wire import NAMES, ScriptedReplica, answer
from tests.test_wire import wait_for as wait_until

OWN = ("10.0.0.1", 7000)
SEED = ("10.0.0.9", 7000)
LARGE = ("10.0.0.2", 7000)
SMALL_HOST = Capacity(link_mbps=15.0, cores=0.5)


def heartbeat(address=LARGE, **changes):
    """Return the heartbeat of a large host of the own data centre."""
    fields = {
        "host": "large",
        "data_centre": "dc-a",
        "address": address,
        "link_mbps": 100.0,
        "cores": 2.0,
        "version": 7,
        "is_serving": True,
        "is_cut_off": False,
        "wants_reply": False,
        "peers": [],
    }
    return Heartbeat(**fields | changes)


class TestHeartbeat(unittest.TestCase):
    """Encoding and validation of heartbeats."""

    def test_round_trip(self):
        """Guards against fields that are encoded and decoded in different orders."""
        sent = heartbeat(peers=[SEED])
        self.assertEqual(decode_heartbeat(encode_heartbeat(sent)), sent)

    def test_invalid_bytes_are_a_failure(self):
        """Guards against a process that exits because of an unrelated datagram."""
        for data in (
            b"",
            b"\xc1",
            b"GET / HTTP/1.1",
            encode_heartbeat(heartbeat())[:-3],
        ):
            self.assertIsInstance(decode_heartbeat(data), Failure)

    def test_capacity_must_be_positive(self):
        """Guards against a division by a capacity of 0."""
        for changes in ({"link_mbps": 0.0}, {"cores": -1.0}):
            data = encode_heartbeat(heartbeat(**changes))
            self.assertIsInstance(decode_heartbeat(data), Failure)


class TestCapacity(unittest.TestCase):
    """Comparison of capacities, which decides which hosts gather for others."""

    def test_one_factor_is_enough_if_the_other_is_no_smaller(self):
        """Guards against delegating queries to a host with less capacity."""
        own = Capacity(10.0, 1.0)
        self.assertTrue(Capacity(20.0, 1.0).is_much_larger_than(own))
        self.assertTrue(Capacity(10.0, 2.0).is_much_larger_than(own))
        self.assertFalse(Capacity(19.0, 1.9).is_much_larger_than(own))
        self.assertFalse(Capacity(100.0, 0.9).is_much_larger_than(own))
        self.assertFalse(own.is_much_larger_than(own))


class TestPeerTable(unittest.TestCase):
    """The hosts that are known, their liveness, and the choice among them."""

    def setUp(self):
        self.rng = Random(1)
        self.table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)

    def choose(self, now=0.0, version=7):
        peer = self.table.choose_gatherer(version, now, self.rng)
        return None if peer is None else peer.address

    def test_larger_host_of_the_own_data_centre_is_chosen(self):
        """Guards against delegating to another data centre or to a small host."""
        for index, changes in enumerate(
            (
                {"data_centre": "dc-b"},
                {"link_mbps": 15.0, "cores": 0.5},
                {"is_serving": False},
            )
        ):
            self.table.record_heartbeat(heartbeat(("10.0.1.1", index), **changes), 0.0)
        self.assertIsNone(self.choose())
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.assertEqual(self.choose(), LARGE)

    def test_host_of_the_same_version_is_preferred(self):
        """Guards against queries to a host that declines them.

        Another one is asked all the same if there is none of the same version, since
        heartbeats tell of new versions late. It checks the version of the query.
        """
        other = ("10.0.0.9", 7)
        self.table.record_heartbeat(heartbeat(other, version=6), 0.0)
        self.assertEqual(self.choose(), other)
        self.table.record_heartbeat(heartbeat(), 0.0)
        for _ in range(20):
            self.assertEqual(self.choose(), LARGE)

    def test_silent_host_is_not_chosen(self):
        """Guards against queries to a host that was killed or lost its network."""
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.assertEqual(self.choose(now=1.0), LARGE)
        self.assertIsNone(self.choose(now=2.0))
        self.assertEqual([p.address for p in self.table.expire(1.0, 2.0)], [LARGE])
        self.assertTrue(self.table.record_heartbeat(heartbeat(), 2.0))
        self.assertEqual(self.choose(now=2.0), LARGE)

    def test_failed_host_gets_no_queries_for_a_while(self):
        """Guards against losing all queries at a host that still sends heartbeats."""
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.table.record_failure(self.table.get(LARGE), 0.0)
        self.assertIsNone(self.choose(now=0.5))
        self.assertEqual(self.choose(now=1.1), LARGE)

    def test_host_that_sends_no_answers_is_left_alone_for_longer(self):
        """Guards against losing a query a second at a host that floods others."""
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.table.record_failure(self.table.get(LARGE), 0.0, is_faulty=True)
        self.table.record_failure(self.table.get(LARGE), 0.5)
        self.table.record_heartbeat(heartbeat(), FAULTY_PAUSE_S)
        self.assertIsNone(self.choose(now=FAULTY_PAUSE_S - 0.1))
        self.assertEqual(self.choose(now=FAULTY_PAUSE_S + 0.1), LARGE)

    def test_queries_are_divided_between_gatherers(self):
        """Guards against one large host that gathers all queries."""
        other = ("10.0.0.3", 7000)
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.table.record_heartbeat(heartbeat(other), 0.0)
        self.table.get(LARGE).in_flight = 1
        self.assertEqual(self.choose(), other)

    def test_seed_lists_the_larger_hosts_of_the_senders_data_centre(self):
        """Guards against hosts that never learn of each other."""
        seed = PeerTable(SEED, "dc-b", Capacity(15.0, 0.5), 0.0)
        seed.record_heartbeat(heartbeat(), 0.0)
        seed.record_heartbeat(heartbeat(("10.0.2.1", 7000), data_centre="dc-b"), 0.0)
        sender = heartbeat(OWN, link_mbps=15.0, cores=0.5)
        self.assertEqual(seed.gatherers_for(sender, 0.0), [LARGE])
        self.assertEqual(seed.gatherers_for(sender, 60.0), [])

    def test_listed_host_gets_heartbeats_until_it_proves_too_small(self):
        """Guards against heartbeats between hosts that cannot gather for each other."""
        self.table.set_seeds([SEED, OWN])
        self.assertEqual(self.table.take_due_addresses(0.0), [SEED])
        reply = heartbeat(SEED, peers=[LARGE], link_mbps=15.0, cores=0.5)
        self.table.record_heartbeat(reply, 0.0)
        self.assertEqual(self.table.take_due_addresses(0.0), [LARGE])
        self.assertEqual(self.table.take_due_addresses(0.1), [])
        self.table.record_heartbeat(heartbeat(link_mbps=15.0, cores=0.5), 0.2)
        self.assertEqual(self.table.take_due_addresses(0.45), [])

    def test_heartbeats_to_seeds_become_rare(self):
        """Guards against heavy traffic to seeds when there are many hosts."""
        self.table.set_seeds([SEED])
        times = [step / 10 for step in range(600)]
        heartbeats = sum(len(self.table.take_due_addresses(now)) for now in times)
        self.assertLess(heartbeats, 13)

    def test_seeds_are_asked_as_soon_as_they_can_count(self):
        """Guards against a new fleet that divides limits later than it could."""
        self.table.set_seeds([SEED])
        due = [
            step / 10 for step in range(300) if self.table.take_due_addresses(step / 10)
        ]
        first = min(at for at in due if at >= COUNT_AFTER_S)
        self.assertLess(first, COUNT_AFTER_S + 1.0)

    def test_seed_counts_hosts_once_all_have_sent_heartbeats(self):
        """Guards against too large shares of the slack after a seed restarted."""
        seed = PeerTable(SEED, "dc-a", SMALL_HOST, 0.0)
        large = heartbeat()
        for number in range(4):
            small = heartbeat(("10.0.3.1", number), link_mbps=15.0, cores=0.5)
            seed.record_heartbeat(small, 20.0)
        seed.record_heartbeat(heartbeat(("10.0.4.1", 1), data_centre="dc-b"), 20.0)
        seed.record_heartbeat(large, 20.0)
        self.assertEqual(seed.count_hosts_for(large, 10.0), (0, 0))
        self.assertEqual(seed.count_hosts_for(large, 20.0), (6, 1))
        self.assertEqual(seed.count_hosts_for(small, 20.0), (6, 5))

    def test_greatest_count_is_used(self):
        """Guards against too large a share while a seed knows only some hosts."""
        self.assertIsNone(self.table.reported_count(0.0))
        self.table.record_heartbeat(heartbeat(hosts=18, similar=16), 0.0)
        self.table.record_heartbeat(heartbeat(SEED, hosts=9, similar=8), 1.0)
        self.assertEqual(self.table.reported_count(1.0), (18, 16))
        self.assertEqual(self.table.reported_count(30.5), (9, 8))

    def test_gatherer_that_is_cut_off_gets_no_queries(self):
        """Guards against queries to gatherers that cannot serve them."""
        other = ("10.0.0.3", 7000)
        cut_off = {"is_cut_off": True, "is_serving": False}
        self.table.record_heartbeat(heartbeat(**cut_off), 0.0)
        self.assertIsNone(self.table.choose_gatherer(7, 0.0, Random(1)))
        self.table.record_heartbeat(heartbeat(other), 0.0)
        chosen = self.table.choose_gatherer(7, 0.0, Random(1))
        self.assertEqual(chosen.address, other)

    def test_refuges_are_hosts_that_reach_their_upstreams(self):
        """Guards against handing requests over to another host that is cut off."""
        refuges = self.table.refuges
        other = ("10.0.0.3", 7000)
        cut_off = {"is_cut_off": True, "is_serving": False}
        refuges.record_report(heartbeat(**cut_off), 0.0)
        self.assertIsNone(refuges.choose(7, 0.0, Random(1)))
        refuges.record_report(heartbeat(other, data_centre="dc-b"), 0.0)
        self.assertEqual(refuges.choose(7, 0.0, Random(1)).address, other)
        self.assertIsNone(refuges.choose(8, 0.0, Random(1)))
        self.assertIsNone(refuges.choose(7, 0.0, Random(1), [other]))
        self.assertIsNone(refuges.choose(7, 2.0, Random(1)))

    def test_dead_host_is_removed(self):
        """Guards against a table that grows with each host that is replaced."""
        self.table.record_heartbeat(heartbeat(), 0.0)
        self.table.expire(0.0, 31.0)
        self.assertIsNone(self.table.get(LARGE))


class TestFellows(unittest.TestCase):
    """Hosts that gather queries and tell each other what they observe."""

    def seed(self, hosts):
        table = PeerTable(SEED, "dc-s", Capacity(1.0, 0.1), 0.0)
        for number, (data_centre, link_mbps) in enumerate(hosts):
            beat = heartbeat(
                ("10.1.0.1", number), data_centre=data_centre, link_mbps=link_mbps
            )
            table.record_heartbeat(beat, 0.0)
        return table

    def fellows(self, table, number, data_centre="a"):
        beat = heartbeat(("10.1.0.1", number), data_centre=data_centre)
        found = table.fellows_for(beat, 0.1, Random(1))
        return sorted(port for host, port in found if host == "10.1.0.1")

    def test_gatherers_of_all_data_centres(self):
        """Guards against knowledge that stays in one data centre."""
        table = self.seed([("a", 100.0), ("a", 20.0), ("b", 50.0), ("b", 50.0)])
        self.assertEqual(self.fellows(table, 0), [2, 3])
        self.assertEqual(self.fellows(table, 2, "b"), [0, 3])
        self.assertEqual(self.fellows(table, 1), [])

    def test_hosts_of_one_size_are_all_gatherers(self):
        """Guards against fleets of equal hosts that learn alone."""
        table = self.seed([(name, 50.0) for name in "aabbcd"])
        self.assertEqual(self.fellows(table, 3, "b"), [0, 1, 2, 4, 5])

    def test_number_is_bounded_in_large_fleets(self):
        """Guards against traffic that grows with the square of the hosts."""
        table = self.seed([(f"dc-{number % 8}", 50.0) for number in range(1000)])
        self.assertEqual(len(self.fellows(table, 3, "dc-3")), 32)

    def test_listed_fellows_are_forgotten(self):
        """Guards against datagrams to hosts that have left."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        table.record_heartbeat(heartbeat(SEED, fellows=[LARGE]), 0.0)
        self.assertEqual(table.fellows(), [])
        table.record_heartbeat(heartbeat(data_centre="dc-b"), 0.1)
        self.assertEqual(table.fellows(), [LARGE])
        table.expire(31.0, 31.5)
        self.assertEqual(table.fellows(), [])

    def test_fellow_that_reads_shards(self):
        """Guards against shards that are handed to a host that cannot read them."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        for number, changes in enumerate(
            (
                {"data_centre": "dc-a"},
                {"data_centre": "dc-b", "version": 6},
                {"data_centre": "dc-c", "is_serving": False},
                {"data_centre": "dc-d"},
            )
        ):
            address = ("10.2.0.1", number)
            table.record_heartbeat(heartbeat(SEED, fellows=[address]), 0.0)
            table.record_heartbeat(heartbeat(address, **changes), 0.0)
        chosen = table.choose_fellows(7, 1.0, Random(1))
        self.assertEqual(list(chosen), ["dc-d"])
        self.assertEqual(table.choose_fellows(7, 20.0, Random(1)), {})
        table.record_fellow_failure(chosen["dc-d"], 1.0)
        self.assertEqual(table.choose_fellows(7, 1.5, Random(1)), {})
        self.assertEqual(list(table.choose_fellows(7, 2.5, Random(1))), ["dc-d"])

    def test_failed_fellow_comes_last_until_it_shows_life(self):
        """Guards against a dead host that gets the groups of each new attempt."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        addresses = [("10.2.0.1", number) for number in range(2)]
        table.record_heartbeat(heartbeat(SEED, fellows=addresses), 0.0)
        for address in addresses:
            table.record_heartbeat(heartbeat(address, data_centre="dc-b"), 0.0)
        dead, live = map(table.get, addresses)
        live.in_flight = 5
        table.record_fellow_failure(dead, 0.5)
        table.record_fellow_answer(live)
        self.assertIs(table.choose_fellows(7, 2.0, Random(1))["dc-b"], live)
        table.record_heartbeat(heartbeat(dead.address, data_centre="dc-b"), 2.5)
        self.assertIs(table.choose_fellows(7, 2.5, Random(1))["dc-b"], dead)

    def test_suspension_does_not_shorten_later_groups(self):
        """Guards against groups that answer early with few shards for a long time."""
        peer = Peer(("10.0.0.1", 7))
        peer.observe_round_trip(10.0)
        self.assertLess(peer.round_trip_s, 0.03)

    def test_data_centre_out_of_reach_is_asked_rarely(self):
        """Guards against queries that wait for a cut-off data centre each second."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        table.record_heartbeat(heartbeat(SEED, fellows=[LARGE]), 0.0)
        table.record_heartbeat(heartbeat(data_centre="dc-b"), 0.0)
        fellow = table.get(LARGE)
        now, pauses = 0.0, []
        for _ in range(5):
            table.record_fellow_failure(fellow, now)
            table.record_fellow_failure(fellow, now)
            end = now
            while not table.choose_fellows(7, end, Random(1)):
                end += 0.1
                table.record_heartbeat(heartbeat(data_centre="dc-b"), end)
            pauses.append(round(end - now))
            now = end
        self.assertEqual(pauses, [1, 2, 4, 8, 8])
        table.record_fellow_answer(fellow)
        table.record_fellow_failure(fellow, now)
        self.assertIn("dc-b", table.choose_fellows(7, now + 1.1, Random(1)))

    def test_heartbeats_to_fellows_are_rare(self):
        """Guards against bytes between data centres that say nothing new."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        table.record_heartbeat(heartbeat(SEED, fellows=[LARGE]), 0.0)
        self.assertIn(LARGE, table.take_due_addresses(0.1))
        table.record_heartbeat(heartbeat(data_centre="dc-b"), 0.2)
        self.assertNotIn(LARGE, table.take_due_addresses(3.0))
        self.assertIn(LARGE, table.take_due_addresses(4.5))
        table.announce()
        self.assertIn(LARGE, table.take_due_addresses(4.6))


class TestObservation(unittest.TestCase):
    """Datagrams that name late replicas."""

    def test_round_trip(self):
        """Guards against ids that are altered, and datagrams that grow."""
        self.assertEqual(decode_observation(encode_observation(["i-1"])), ["i-1"])
        many = [f"i-{number}" for number in range(100)]
        self.assertEqual(decode_observation(encode_observation(many)), many[:32])
        self.assertLess(len(encode_observation(many)), 1400)

    def test_is_no_heartbeat(self):
        """Guards against two kinds of datagram that are taken for each other."""
        self.assertFalse(encode_heartbeat(heartbeat()).startswith(OBSERVATION_PREFIX))
        self.assertIsInstance(decode_heartbeat(encode_observation(["i"])), Failure)
        for data in (b"L", b"L\xc1", b"L\x91\x01"):
            self.assertIsInstance(decode_observation(data), Failure)


class TestChangeLog(unittest.TestCase):
    """Changes that are kept for followers."""

    def setUp(self):
        self.log = ChangeLog()
        self.log.reset(Position(1, 10))

    def since(self, revision):
        batches = self.log.since(Position(1, revision))
        return [zlib.decompress(batch) for batch in batches]

    def test_changes_after_a_revision(self):
        """Guards against a follower that misses a change."""
        self.log.append(12, b"a")
        self.log.append(13, None)
        self.log.append(15, b"b")
        self.assertEqual(self.since(10), [b"a", b"b"])
        self.assertEqual(self.since(11), [b"a", b"b"])
        self.assertEqual(self.since(12), [b"b"])
        self.assertEqual(self.log.since(Position(1, 20)), [])
        self.assertEqual(self.log.position, Position(1, 15))

    def test_position_of_another_era_is_none(self):
        """Guards against changes to a state of which the follower knows nothing."""
        self.log.append(12, b"a")
        self.assertIsNone(self.log.since(Position(0, 11)))
        self.log.reset(Position(2, 8))
        self.log.append(12, b"b")
        self.assertIsNone(self.log.since(Position(1, 12)))
        self.assertEqual(len(self.log.since(Position(2, 8))), 1)

    def test_incomplete_changes_are_none(self):
        """Guards against missed changes after a start, a complete read or a pause."""
        self.assertIsNone(ChangeLog().since(Position(0, 0)))
        self.assertIsNone(self.log.since(Position(1, 9)))
        for revision in range(11, 100):
            self.log.append(revision, b"x")
        self.assertIsNone(self.log.since(Position(1, 11)))
        self.assertEqual(len(self.log.since(Position(1, 98))), 1)
        self.log.reset(Position(1, 200))
        self.assertIsNone(self.log.since(Position(1, 99)))

    def test_log_is_bounded_in_bytes(self):
        """Guards against a host that runs out of memory for those that follow it."""
        log = ChangeLog()
        log.reset(Position(1, 0))
        rng = Random(1)
        for revision in range(1, 25):
            log.append(revision, rng.randbytes(1024 * 1024))
        self.assertIsNone(log.since(Position(1, 0)))
        kept = log.since(Position(1, 20))
        self.assertEqual(len(kept), 4)
        self.assertLessEqual(sum(map(len, log.since(Position(1, 17)))), MAX_LOG_BYTES)

    def test_batch_that_takes_long_to_compress_is_not_kept(self):
        """Guards against a loop that stands still while a batch is compressed."""
        log = ChangeLog()
        log.reset(Position(1, 0))
        log.append(1, b"x" * (MAX_KEPT_BATCH_BYTES + 1))
        self.assertIsNone(log.since(Position(1, 0)))
        self.assertEqual(log.since(Position(1, 1)), [])

    def test_round_trip(self):
        """Guards against changes that are altered between hosts."""
        batches = [b"\x00\xff", b"{}"]
        compressed = [zlib.compress(batch) for batch in batches]
        sent = RelayedChanges(1, 7, 0.5, 0.0, compressed)
        received = RelayedChanges(1, 7, 0.5, 0.0, batches)
        self.assertEqual(decode_changes(encode_changes(sent)), received)
        self.assertIsInstance(decode_changes(b"\xc1"), Failure)

    def test_former_hosts_understand_each_other(self):
        """Guards against changes that hosts of two versions do not read."""
        sent = RelayedChanges(1, 7, 0.5, 0.0, [], 0.25)
        fields = msgspec.msgpack.decode(encode_changes(sent))
        self.assertEqual(fields, [1, 7, 0.5, 0.0, [], 0.25])
        former = decode_changes(msgspec.msgpack.encode(fields[:5]))
        self.assertIsNone(former.held_s)
        # A sound source of a former version is held for no older than it is.
        self.assertEqual(former.add_transit(0.8, 0.8).age_s, 0.5)
        self.assertEqual(former.add_transit(3.8, 0.8).age_s, 3.5)

    def test_bad_batches_are_a_failure(self):
        """Guards against a batch that is cut, or that fills the memory."""
        whole = zlib.compress(b"{}" * 1000)
        bomb = zlib.compress(b"\x00" * (MAX_BATCH_BYTES + 1))
        for batch in (whole[:-5], b"{}", bomb):
            changes = RelayedChanges(1, 7, 0.5, 0.0, [batch])
            self.assertIsInstance(decode_changes(encode_changes(changes)), Failure)

    def test_many_empty_batches_are_a_failure(self):
        """Guards against an answer that holds the loop although its bytes are few."""
        batches = [zlib.compress(b"")] * 100_000
        data = encode_changes(RelayedChanges(1, 7, 0.5, 0.0, batches))
        self.assertIs(type(decode_changes(data)), Failure)


class TwoGatewaysTestCase(unittest.TestCase):
    """Starts two gateway processes, of which the larger can gather for the other."""

    SHARDS = [f"s{number:02d}" for number in range(32)]

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.replicas = []
        for service in self.SHARDS:
            replica = ReplicaStandIn(
                service, f"i-{service}", service.encode().ljust(16, b".")
            )
            self.replicas.append(replica)
            self.addCleanup(replica.stop)
            self.store.put(f"servers/{replica.id}", replica.entry())
        self.store.put("op/config", self.configuration(7))
        port = free_port()
        options = {
            "peer_port": port,
            "seeds": f"127.0.0.3:{port}",
            "apply_ms": 3000,
        }
        self.large = self.start(node="large", host="127.0.0.3", **options)
        self.small = self.start(node="small", host="127.0.0.2", link_mbps=10, **options)
        wait_for(self.found_gatherer, "the larger host")

    def configuration(self, version):
        document = configuration(version)
        document["Routes"][0]["Gather"] = self.SHARDS
        document["Services"] += [
            {"Name": name, "HealthPath": "/health", "MaxConns": 25}
            for name in self.SHARDS
        ]
        return document

    def start(self, **options):
        gateway = GatewayProcess(self.store, **options)
        self.addCleanup(gateway.stop)
        wait_for(gateway.is_ready, "readiness")
        return gateway

    def found_gatherer(self):
        self.small.ask("/search/q", request_id="probe")
        return "delegated" in self.ends("probe")

    def ends(self, request_id):
        ended = self.small.events("request_ended")
        return [e["end"] for e in ended if e["id"] == request_id]


class TestDelegation(TwoGatewaysTestCase):
    """Queries that one host delegates to another."""

    def test_larger_host_gathers(self):
        """Guards against an answer that is altered between two hosts."""
        status, headers, body = self.small.ask("/search/q", request_id="r7")
        self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
        self.assertEqual(len(headers["x-part-stamps"].split(", ")), 32)
        self.assertEqual(len(body), 48)
        self.assertEqual(self.ends("r7"), ["delegated"])
        gathered = [e["id"] for e in self.large.events("request_ended")]
        self.assertIn("r7", gathered)

    def test_host_gathers_itself_when_the_gatherer_is_killed(self):
        """Guards against queries that are lost with their gatherer."""
        self.large.process.kill()
        self.large.process.wait()
        for number in range(3):
            status, headers, _ = self.small.ask("/search/q", request_id=f"k{number}")
            self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
            self.assertNotIn("delegated", self.ends(f"k{number}"))

    def test_host_gathers_itself_when_the_gatherer_is_paused(self):
        """Guards against queries that wait for a paused gatherer."""
        self.large.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.large.process.send_signal, signal.SIGCONT)
        status, _, _ = self.small.ask("/search/q", request_id="p1")
        self.assertEqual(status, 200)
        self.assertNotIn("delegated", self.ends("p1"))
        reasons = {e["reason"] for e in self.small.events("gatherer_failed")}
        self.assertIn("not acknowledged", reasons)

    def test_queries_are_complete_after_a_suspension_of_the_gatherer(self):
        """Guards against partial answers for good because one answer was late."""
        self.replicas[0].behaviour = "hang"
        for request_id in ("late1", "late2"):
            late = eventlet.spawn(self.large.ask, "/search/q", request_id=request_id)
            wait_for(
                lambda each=request_id: all(
                    each in replica.executed_ids for replica in self.replicas
                ),
                "the reads",
            )
            self.large.process.send_signal(signal.SIGSTOP)
            eventlet.sleep(1.2)
            self.large.process.send_signal(signal.SIGCONT)
            self.assertEqual(late.wait()[0], 200)
        self.replicas[0].behaviour = "answer"
        for replica in self.replicas:
            replica.delay_s = 0.02
        wait_for(self.found_gatherer, "the larger host")
        for number in range(5):
            _, headers, _ = self.small.ask("/search/q", request_id=f"s{number}")
            self.assertEqual(headers["x-missing-parts"], "0")

    def test_terminating_gatherer_gets_no_more_queries(self):
        """Guards against queries that fail because their gatherer shuts down."""
        self.large.process.terminate()
        while self.large.process.poll() is None:
            status, headers, _ = self.small.ask("/search/q", request_id="t")
            self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
        self.assertEqual(self.large.events("stopped")[0]["busy"], 0)


class TestLargeRequests(TwoGatewaysTestCase):
    """Requests that the configuration allows, and that another host processes."""

    BODY = b"b" * 1_900_000

    def configuration(self, version):
        limits = {"MaxBodyBytes": 2 * 1024 * 1024}
        document = super().configuration(version)
        return document | {"Limits": document["Limits"] | limits}

    def test_gatherer_takes_what_callers_may_send(self):
        """Guards against a gatherer that refuses a body and counts as failed."""
        numbers = count()

        def is_delegated():
            # On a busy machine, the body may arrive too late to be acknowledged.
            request_id = f"big{next(numbers)}"
            self.small.ask("/search/q", request_id=request_id, body=self.BODY)
            return "delegated" in self.ends(request_id)

        wait_for(is_delegated, "a body that the larger host takes")
        reasons = {e["reason"] for e in self.small.events("gatherer_failed")}
        self.assertLessEqual(reasons, {"not acknowledged"})


class TestRelay(TwoGatewaysTestCase):
    """Changes of the platform that one host relays to another."""

    def versions(self, gateway):
        return [e["version"] for e in gateway.events("configuration_in_force")]

    def sources(self):
        return [e["source"] for e in self.small.events("source_changed")]

    def test_changes_arrive_through_the_larger_host(self):
        """Guards against a call to the platform by each host for each change."""
        wait_for(lambda: "large" in self.sources(), "the source")
        self.store.put("op/config", self.configuration(9))
        wait_for(lambda: self.versions(self.small) == [7, 9], "the new version")
        self.assertEqual(self.sources()[-1], "large")

    def test_platform_replaces_a_killed_source(self):
        """Guards against a host that keeps an old version after its source is lost."""
        wait_for(lambda: "large" in self.sources(), "the source")
        self.large.process.kill()
        self.store.put("op/config", self.configuration(9))
        wait_for(lambda: self.versions(self.small) == [7, 9], "the new version")
        self.assertEqual(self.sources()[-1], "platform")

    def test_source_without_the_platform_is_not_followed(self):
        """Guards against outdated changes from a host that lost the platform itself."""
        wait_for(lambda: "large" in self.sources(), "the source")
        self.store.is_down = True
        wait_for(lambda: self.sources()[-1] == "platform", "the platform as source")
        self.store.is_down = False
        self.store.put("op/config", self.configuration(9))
        wait_for(lambda: self.versions(self.small) == [7, 9], "the new version")


class TestDelegatedDeadline(unittest.TestCase):
    """A request that another host has acknowledged and does not finish."""

    def test_request_ends_at_its_deadline(self):
        """Guards against a request that a suspended host holds past its deadline."""
        loop, ended = VirtualLoop(), []
        route = gather_route("abcd", timeout_s=0.45)
        outbound = SimpleNamespace(request_id=b"1", deadline=0.45)
        request = SimpleNamespace(received_at=0.0)
        runner = mock.Mock(loop=loop)
        link, peer = mock.Mock(), Peer(("127.0.0.9", 80))
        peer.heartbeat = heartbeat()
        peer.last_heartbeat_at = float("inf")
        call = DelegatedCall(
            request, route, RoutingTable(1, [route], {}, Limits()), runner, outbound,
            lambda response, fields: ended.append((loop.now(), response.status)),
            link=link, fall_back=self.fail,
        )  # fmt: skip
        call.start(peer, 0.09)
        call._on_acknowledged([])
        loop.run_until(2.0)
        ((ended_at, status),) = ended
        self.assertEqual(status, 504)
        self.assertLessEqual(ended_at, 0.45)


class TestNewerVersion(unittest.TestCase):
    """A newer version of the configuration that another host has in force."""

    def test_report_of_a_host_that_can_take_over_is_heeded(self):
        """Guards against a host that hands nothing over until it polls again."""
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        events = mock.Mock()
        link = PeerLink(VirtualLoop(), NAMES, "small", table, None, events, Random(1))
        link.on_newer_version = mock.Mock()
        link.tick(7, is_serving=False, is_cut_off=True)
        for version, calls in ((7, 0), (8, 1)):
            report = ContactReport(heartbeat(version=version), 1)
            link.handlers[CONTACT_REPORT_PREFIX](encode_contact_report(report))
            self.assertEqual(link.on_newer_version.call_count, calls)


class TestSilentPeer(unittest.TestCase):
    """A host whose kept connections have become silent."""

    def test_queries_do_not_wait_on_its_other_connections(self):
        """Guards against one late query for each connection that was kept."""
        peer_host = ScriptedReplica(answer(), answer())
        self.addCleanup(peer_host.stop)
        loop, answers, ended = EventLoop(), [], []
        table = PeerTable(OWN, "dc-a", SMALL_HOST, 0.0)
        link = PeerLink(loop, NAMES, "small", table, None, mock.Mock(), Random(1))
        self.addCleanup(link.close_idle, peer_host.address)

        def exchange():
            return Exchange(lambda: b"GET / HTTP/1.1\r\n\r\n", b"1", 0, answers.append)

        for _ in range(2):
            link.send(peer_host.address, exchange())
        wait_until(lambda: len(answers) == 2)
        peer = Peer(peer_host.address)
        peer.heartbeat = heartbeat()
        route = gather_route("abcd")
        now = loop.now()
        request = CallerRequest(b"GET", b"/q", [], b"", now, False, True)
        call = DelegatedCall(
            request, route, RoutingTable(1, [route], {}, Limits()),
            mock.Mock(loop=loop), OutboundRequest(request, NAMES, now + 1.0, b"1"),
            self.fail, link=link, fall_back=ended.append,
        )  # fmt: skip
        call.start(peer, now + 0.1)
        wait_until(lambda: ended)
        peer_host.script.append(answer())
        link.send(peer_host.address, exchange())
        wait_until(lambda: len(answers) == 3)
        self.assertEqual(peer_host.accepted, 3)
