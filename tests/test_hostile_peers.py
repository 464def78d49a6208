"""Tests of messages between hosts with values out of range."""

import socket
import tracemalloc
import unittest
import zlib
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.outcomes import Failure
from cicadalever.peers import (
    Capacity,
    ContactQuery,
    ContactReport,
    Heartbeat,
    PeerTable,
    RelayedChanges,
    decode_changes,
    decode_contact_query,
    decode_contact_report,
    decode_crash_news,
    decode_crash_report,
    decode_heartbeat,
    decode_limit_report,
    decode_observation,
    encode_changes,
    encode_contact_query,
    encode_contact_report,
)
from cicadalever.peers._changes import MAX_BATCH_BYTES, MAX_CHANGES_BYTES

SOUND = Heartbeat("h", "dc-a", ("127.0.0.9", 9000), 100.0, 1.0, 7, True, False, True)
ODD_ADDRESSES = (
    ("shop.example", 80),
    ("\ufffd", 80),
    ("a\0b", 80),
    ("", 80),
    ("0.0.0.0", 80),
    ("127.0.0.1", 0),
    ("127.0.0.1", 70_000),
    ("127.0.0.1", -1),
    ("127.0.0.1", 2**63),
    ("x" * 300, 80),
)
VALUES = st.recursive(
    st.one_of(
        st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.floats(),
        st.text(max_size=20), st.sampled_from(ODD_ADDRESSES),
    ),
    lambda values: st.lists(values, max_size=4),
    max_leaves=6,
)  # fmt: skip
DECODERS = (
    decode_contact_query,
    decode_contact_report,
    decode_crash_news,
    decode_crash_report,
    decode_heartbeat,
    decode_limit_report,
    decode_observation,
)


class TestRelayedChanges(unittest.TestCase):
    """Answers to polls for the changes of the platform."""

    def test_times_are_bounded(self):
        """Guards against a grace period without end, which keeps gone replicas."""
        sound = [1, 5, 0.1, 0.0, []]
        self.assertEqual(decode_changes(msgspec.msgpack.encode(sound)).revision, 5)
        odd = (-1.0, 1e300, float("inf"), float("nan"), None, "1")
        for index in (2, 3):
            for value in odd:
                fields = [*sound]
                fields[index] = value
                changes = decode_changes(msgspec.msgpack.encode(fields))
                self.assertIsInstance(changes, Failure)

    def test_batches_are_bounded_together(self):
        """Guards against some kilobytes of batches that become gigabytes."""
        batch = zlib.compress(bytes(8 * 1024 * 1024))
        data = encode_changes(RelayedChanges(1, 5, 0.1, 0.0, [batch] * 20))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        is_failure = isinstance(decode_changes(data), Failure)
        # The message of ``assertIsInstance`` would show all the batches.
        self.assertTrue(is_failure)
        _, peak = tracemalloc.get_traced_memory()
        # The decompressor holds up to twice the bytes of a batch while it grows.
        self.assertLess(peak, MAX_CHANGES_BYTES + 2 * MAX_BATCH_BYTES)


class TestDatagrams(unittest.TestCase):
    """Datagrams of any content."""

    def setUp(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.addCleanup(self.socket.close)

    def check(self, heartbeat):
        """Use a heartbeat as a host does, and send to all addresses it names."""
        address, now = ("127.0.0.1", 9000), 100.0
        table = PeerTable(address, "dc-a", Capacity(100.0, 1.0), 0.0)
        table.set_seeds([address])
        table.record_heartbeat(heartbeat, now)
        table.refuges.record_report(heartbeat, now)
        table.count_hosts_for(heartbeat, now)
        table.reported_count(now)
        table.refuges.choose(7, now, Random(1))
        table.choose_gatherer(7, now, Random(1))
        targets = table.take_due_addresses(now) + table.advisers()
        targets += table.choose_witnesses(Random(1)) + table.known_hosts()
        targets += table.gatherers_for(heartbeat, now) + [heartbeat.address]
        targets += table.fellows_for(heartbeat, now, Random(1))
        for target in targets:
            try:
                self.socket.sendto(b"", target)
            except OSError:
                # Nobody listens, or there is no route.
                continue
        table.expire(now, now + 1.0)

    @settings(deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes(self, data):
        """Guards against a datagram that raises an exception."""
        for decode in DECODERS:
            decode(data)

    def test_nesting(self):
        """Guards against fields of a later version that exhaust the stack."""
        data = b"\xdc\xff\xff" + b"\x91" * 2000 + b"\xc0"
        for decode in DECODERS:
            self.assertIsInstance(decode(data), Failure)
            self.assertIsInstance(decode(b"?" + data), Failure)

    @settings(deadline=None, max_examples=300)
    @given(st.integers(0, 13), VALUES)
    def test_one_field_changed(self, index, value):
        """Guards against a value that breaks each later heartbeat of this host."""
        fields = [*msgspec.structs.astuple(SOUND)]
        fields[index] = value
        heartbeat = decode_heartbeat(msgspec.msgpack.encode(fields))
        if not isinstance(heartbeat, Failure):
            self.check(heartbeat)

    def test_addresses_that_are_none(self):
        """Guards against a listed name that a host resolves or cannot send to."""
        for address in ODD_ADDRESSES:
            changed = msgspec.structs.replace(SOUND, address=address)
            data = msgspec.msgpack.encode(changed)
            self.assertIsInstance(decode_heartbeat(data), Failure)
            query = encode_contact_query(ContactQuery(address, 1, []))
            self.assertIsInstance(decode_contact_query(query), Failure)
            report = encode_contact_report(ContactReport(changed, 1))
            self.assertIsInstance(decode_contact_report(report), Failure)
            lists = [address, ("127.0.0.8", 9000)]
            listing = msgspec.structs.replace(
                SOUND, peers=lists, fellows=lists, refuges=lists
            )
            heartbeat = decode_heartbeat(msgspec.msgpack.encode(listing))
            self.assertEqual(heartbeat.peers, lists[1:])
            self.assertEqual(heartbeat.fellows, lists[1:])
            self.assertEqual(heartbeat.refuges, lists[1:])
            self.check(heartbeat)
