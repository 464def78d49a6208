"""Tests of entries in the list of replicas that other writers have published."""

import json
import signal
import socket
import unittest
import zlib
from base64 import b64encode
from collections import Counter
from random import Random

import eventlet
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cicadalever.discovery import RejectedEntries, UpstreamDirectory
from cicadalever.gateway import PlatformUpdate
from cicadalever.gateway._follower import PlatformFollower
from cicadalever.gateway._outbound import OutboundRequest
from cicadalever.outcomes import Failure
from cicadalever.peers import RelayedChanges, decode_changes, encode_changes
from cicadalever.placement import LeastCostSelector, ReadOutcome
from cicadalever.wire import CallerRequest, EventLoop
from tests.platform_standins import wait_for
from tests.test_discovery import entry
from tests.test_gateway import NAMES, PATIENT, FakeClient, FakeEvents
from tests.test_gateway_process import GatewayTestCase, configuration
from tests.test_store_client import load_store

DEPTH = 20_000
NESTED = b'{"Service": "one", "Note": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"


class TestUnreadableEntry(GatewayTestCase):
    """A gateway while the list has an entry that cannot be decoded."""

    def versions(self):
        return [e["version"] for e in self.gateway.events("configuration_in_force")]

    def rejections(self, replica_id):
        rejected = self.gateway.events("entry_unreadable")
        return [e["reason"] for e in rejected if e["replica"] == replica_id]

    def test_later_versions_come_into_force(self):
        """Guards against an entry that ends the green thread which follows changes."""
        self.store.put("servers/note", NESTED)
        wait_for(lambda: self.rejections("note"), "the rejection")
        self.store.put("op/config", configuration(9))
        wait_for(lambda: self.versions() == [7, 9], "the new version")

    def test_restarted_host_becomes_ready(self):
        """Guards against a first read that fails as long as the entry is listed."""
        self.store.put("servers/note", NESTED)
        self.gateway.process.send_signal(signal.SIGKILL)
        self.gateway.process.wait()
        self.gateway.start()
        wait_for(self.gateway.is_ready, "readiness after the restart")
        status, headers, _ = self.gateway.ask("/search/q")
        self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))

    def test_entry_is_reported_once(self):
        """Guards against a log line for the same entry in each update and read."""
        self.store.put("servers/note", NESTED)
        wait_for(lambda: self.rejections("note"), "the rejection")
        self.store.forget_history()
        self.store.put("op/config", configuration(9))
        wait_for(lambda: self.versions() == [7, 9], "the new version")
        self.assertEqual(len(self.rejections("note")), 1)

    def test_replica_counts_again_once_its_entry_is_mended(self):
        """Guards against a replica that stays out because its entry was damaged."""
        replica = self.replicas["i-onea"]
        other = self.replicas["i-oneb"]
        other.behaviour = "shed"
        self.store.put(f"servers/{replica.id}", NESTED)
        wait_for(lambda: self.rejections(replica.id), "the rejection")
        status, _, _ = self.gateway.ask("/read/x", request_id="without")
        self.assertEqual((status, replica.executed_ids), (503, []))
        # A complete read must not take the mended entry for that of a replica which
        # has left.
        self.store.put(f"servers/{replica.id}", replica.entry())
        self.store.forget_history()
        wait_for(
            lambda: self.gateway.ask("/read/x", request_id="mended")[0] == 200,
            "the mended replica",
        )


class TestRejectedEntries(unittest.TestCase):
    """Which rejected entries are reported."""

    def test_another_reason_or_a_return_is_reported_again(self):
        """Guards against a second fault of an entry that nobody hears of."""
        rejected = RejectedEntries()
        for reasons, sound, expected in (
            ({"a": "x", "b": "y"}, [], {"a": "x", "b": "y"}),
            ({"a": "x"}, [], {}),
            ({"a": "z"}, [], {"a": "z"}),
            ({}, ["a"], {}),
            ({"a": "z"}, [], {"a": "z"}),
        ):
            unreported = rejected.record(reasons, sound, is_complete=False)
            self.assertEqual(unreported, expected)
        self.assertEqual(len(rejected), 2)
        rejected.record({}, [], is_complete=True)
        self.assertEqual(len(rejected), 0)


class TestFollowerAfterErrors(unittest.TestCase):
    """The green thread that follows the platform."""

    def test_unexpected_error_does_not_end_it(self):
        """Guards against updates that stop for good after one exception."""
        client = FakeClient(
            [
                PlatformUpdate(None, [entry()], [], {}, 5, True),
                PlatformUpdate(None, [], [], {}, 5, False),
                PlatformUpdate(None, [], ["i-1"], {}, 6, False),
                PlatformUpdate(None, [], [], {}, 7, True),
            ]
        )
        applied = []

        def apply(update):
            if update.removed:
                raise ArithmeticError
            applied.append(update.revision)

        follower = PlatformFollower(
            client,
            PATIENT,
            EventLoop(),
            Random(1),
            FakeEvents(),
            apply,
            lambda *reported: None,
        )
        follower.start()
        self.addCleanup(follower.stop)
        wait_for(lambda: 7 in applied, "the update after the failed one")
        self.assertIn(("read_all", False), client.calls_made)


# Values of any type, among them numbers of hundreds of digits, text that no encoding
# can hold and nested lists.
ODD_NUMBERS = st.one_of(
    st.integers(),
    st.integers(min_value=-(10**400), max_value=10**400),
    st.sampled_from([2**31, 2**53, 2**63, 2**64, 2**200, -1, 0]),
    st.floats(allow_nan=False, allow_infinity=False),
)
ODD_TEXT = st.one_of(
    st.text(),
    st.sampled_from(
        ["", "\0", "\ud800", "a\r\nb: c", "\u0661", "127.0.0.1:1e3", "x" * 9000]
    ),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), ODD_NUMBERS, ODD_TEXT),
    lambda values: st.one_of(
        st.lists(values, max_size=3), st.dictionaries(st.text(), values, max_size=3)
    ),
    max_leaves=6,
)
SOUND = {
    "Service": "one",
    "Address": "127.0.0.1:8104",
    "Zone": "dc-a",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Seq": 1,
    "born": 1000,
}


def encode(value):
    """Return a value as JSON, with numbers of any length."""
    if isinstance(value, dict):
        pairs = (f"{json.dumps(key)}: {encode(each)}" for key, each in value.items())
        return "{" + ", ".join(pairs) + "}"
    return json.dumps(value) if not isinstance(value, int) else f"{value:d}"


class TestEntriesOfAnyContent(unittest.TestCase):
    """What the adapter makes of arbitrary values under the keys of replicas."""

    def setUp(self):
        self.store = load_store()

    def decode(self, key, value):
        """Return the update of a watch with a sound entry and another value."""
        items = [
            {"Key": name, "Rev": 5, "Value": b64encode(data).decode()}
            for name, data in (
                ("servers/i-sound", json.dumps(SOUND).encode()),
                (key, value),
            )
        ]
        data = json.dumps({"events": items, "AsOf": 5}).encode()
        update = self.store.decode_watch_response(data)
        self.assertIsInstance(update, PlatformUpdate)
        return update

    def check(self, key, value):
        """Check that a value is rejected, or is an entry that can be used."""
        update = self.decode(key, value)
        ids = [entry.id for entry in update.entries]
        self.assertEqual(ids[0], "i-sound")
        self.assertEqual(len(update.entries) + len(update.unreadable), 2)
        for each in update.entries:
            self.use(each)
        json.dumps(update.unreadable).encode()
        # A host that follows this one gets no rejected entry, and the others as here.
        relayed = self.store.decode_watch_response(update.raw)
        self.assertEqual(relayed.entries, update.entries)
        self.assertEqual(relayed.unreadable, {})
        self.assertEqual(set(relayed.removed), set(update.unreadable) - {"?"})

    def use(self, each):
        directory = UpstreamDirectory()
        selector = LeastCostSelector("dc-a", Random(1))
        directory.apply(entry("i-sound", service=each.service))
        directory.apply(each)
        for number in range(3):
            replicas = directory.ready_replicas(each.service)
            selector.choose(replicas, 1.0, route="r")
            selector.record_start(each.id, number, 1.0)
        request = CallerRequest(b"GET", b"/", [], b"", 0.0, False, True)
        head = OutboundRequest(request, NAMES, 1.0, b"1").encode(each.id, 0.0)
        self.assertEqual(head.count(b"\r\n"), 4)
        host, port = each.address
        self.assertEqual(socket.inet_ntoa(socket.inet_aton(host)), host)
        self.assertTrue(0 < port < 65536 and each.slots < 65536)

    @settings(deadline=None)
    @given(st.binary(max_size=300))
    def test_bytes(self, value):
        """Guards against bytes that end what reads the list."""
        self.check("servers/i-odd", value)

    @settings(deadline=None, max_examples=300)
    @given(st.sampled_from(sorted(SOUND)), ODD_VALUES)
    def test_one_field_changed(self, field, value):
        """Guards against a value of one field that is used unchecked."""
        self.check("servers/i-odd", encode(SOUND | {field: value}).encode())

    @settings(deadline=None)
    @given(ODD_VALUES)
    def test_further_field(self, value):
        """Guards against a field of a later version that hides a sound entry."""
        value = encode(SOUND | {"Note": value}).encode()
        self.check("servers/i-odd", value)

    def test_missing_field(self):
        """Guards against an entry of another writer that is completed by defaults."""
        for field in SOUND:
            value = {name: each for name, each in SOUND.items() if name != field}
            update = self.decode("servers/i-odd", json.dumps(value).encode())
            self.assertEqual(list(update.unreadable), ["i-odd"])

    @settings(deadline=None)
    @given(ODD_TEXT.filter(lambda text: text != "i-sound"))
    @example("\udcff")
    def test_keys(self, text):
        """Guards against an id that is sent in a header and splits it."""
        self.check(f"servers/{text}", json.dumps(SOUND).encode())

    def test_key_that_is_no_text(self):
        """Guards against a page that is refused because of one of its keys."""
        sound = json.dumps(SOUND).encode()
        items = b", ".join(
            b'{"Key": "servers/%s", "Rev": 5, "Value": "%s"}' % (key, b64encode(sound))
            for key in (b"i-1", b"\xff", b"i-2")
        )
        update = self.store.decode_watch_response(
            b'{"events": [%s], "AsOf": 5}' % items
        )
        self.assertEqual([each.id for each in update.entries], ["i-1", "i-2"])
        self.assertEqual(len(update.unreadable), 1)

    def test_reported_values(self):
        """Guards against the values that operators have reported."""
        for field, value in (
            ("Note", "[" * DEPTH + "]" * DEPTH),
            ("Address", f'"127.0.0.1:{"9" * 5000}"'),
            ("Address", '"127.0.0.1:70000"'),
            ("Slots", "1" + "0" * 30),
            ("Slots", "9" * 5000),
            ("Seq", str(2**200)),
            ("born", str(2**200)),
            ("WarmupLeftMs", str(2**200)),
            ("WarmupLeftMs", "1e400"),
        ):
            text = json.dumps(SOUND | {field: "@"}).replace('"@"', value)
            update = self.decode("servers/i-odd", text.encode())
            self.assertEqual(list(update.unreadable), ["i-odd"], (field, value[:20]))

    def test_configuration_is_relayed_beside_a_rejected_entry(self):
        """Guards against an entry whose id resembles the key of the configuration."""
        table = json.dumps(configuration(9)).encode()
        items = [
            {"Key": key, "Rev": 5, "Value": b64encode(value).decode()}
            for key, value in (("servers/op/config", b"x"), ("op/config", table))
        ]
        data = json.dumps({"events": items, "AsOf": 5}).encode()
        update = self.store.decode_watch_response(data)
        relayed = self.store.decode_watch_response(update.raw)
        self.assertEqual((update.table.version, relayed.table.version), (9, 9))

    @settings(deadline=None)
    @given(st.binary(max_size=300), st.binary(max_size=300))
    def test_relayed_bytes(self, data, batch):
        """Guards against an answer of another host that ends what follows it."""
        decode_changes(data)
        answer = decode_changes(
            encode_changes(RelayedChanges(1, 5, 0.0, 0.0, [zlib.compress(batch)]))
        )
        for each in answer.batches:
            update = self.store.decode_watch_response(each)
            self.assertIsInstance(update, PlatformUpdate | Failure)


class TestTrafficOfOddEntries(GatewayTestCase):
    """Requests while the list has an entry of an id that is not at its address."""

    def count_misdirected(self, **changes):
        """Return the reads that such an entry draws, beside replicas under load."""
        for replica in self.replicas_of("one"):
            replica.delay_s = 0.02
        sample = self.replicas["i-onea"].entry(**changes)
        self.store.put("servers/i-claim", sample)
        wait_for(lambda: "i-claim" in self.read_entries(), "the entry")
        statuses = []

        def ask(number):
            request_id = f"o{number}"
            path, method = (("read", "GET"), ("order", "POST"))[number % 2]
            statuses.append(
                self.gateway.ask(f"/{path}/x", request_id=request_id, method=method)[0]
            )

        for thread in [eventlet.spawn(ask, number) for number in range(60)]:
            thread.wait()
        failed = self.gateway.events("read_failed")
        return sum(event["replica"] == "i-claim" for event in failed), statuses

    def read_entries(self):
        names = ("replica_changed", "entry_unreadable")
        return {e["replica"] for name in names for e in self.gateway.events(name)}

    def test_rejected_entry_gets_nothing(self):
        """Guards against reads at an entry with a number out of range."""
        misdirected, statuses = self.count_misdirected(Slots=2**63)
        self.assertEqual(misdirected, 0)
        self.assertEqual(set(statuses), {200})


class TestClaimedSlots(unittest.TestCase):
    """Reads for a replica whose entry claims far more slots than the others have."""

    def test_unproven_replica_gets_no_more_than_the_others(self):
        """Guards against a burst at a replica that has not answered a read yet."""
        selector = LeastCostSelector("a", Random(1))
        replicas = [entry("i-1"), entry("i-2"), entry("i-claim", slots=60_000)]
        for replica in replicas[:2]:
            selector.record_start(replica.id, "first", 0.0)
            selector.record_end(replica.id, "first", ReadOutcome.ANSWERED, "r", 0.01)
        counts = Counter()
        for number in range(60):
            chosen = selector.choose(replicas, 0.02, route="r")
            selector.record_start(chosen.id, number, 0.02)
            counts[chosen.id] += 1
        self.assertLessEqual(counts["i-claim"], counts["i-1"] + 1)
        # Its claim counts once it has answered.
        selector.record_end("i-claim", 0, ReadOutcome.ANSWERED, "r", 0.03)
        self.assertEqual(selector.choose(replicas, 0.03, route="r").id, "i-claim")

    def test_new_replica_gets_as_much_as_the_others(self):
        """Guards against an absolute bound, which holds a sound replica back."""
        selector = LeastCostSelector("a", Random(1))
        replicas = [entry(f"i-{number}", slots=6) for number in range(3)]
        for replica in replicas[:2]:
            selector.record_start(replica.id, "first", 0.0)
            selector.record_end(replica.id, "first", ReadOutcome.ANSWERED, "r", 0.02)
        counts = Counter()
        for number in range(60):
            chosen = selector.choose(replicas, 0.02, route="r")
            selector.record_start(chosen.id, number, 0.02)
            counts[chosen.id] += 1
        self.assertEqual(set(counts.values()), {20})
