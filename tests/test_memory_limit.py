"""Tests of a gateway process whose memory and descriptors are limited, under floods."""

import contextlib
import resource
import time
import unittest

import eventlet

from tests.floods import Flood, MemoryLimit
from tests.platform_standins import (
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_gateway_process import configuration

# ``Limits.MemoryMb`` and ``Limits.MaxFds`` of the stand-in settings.
MEMORY_BYTES = 300_000_000
MAX_DESCRIPTORS = 4100
FLOOD_S = 8.0
ENDLESS_REPLICAS = 30
REQUESTS_PER_S = 20


class FloodTestCase(unittest.TestCase):
    """Starts a gateway with a limit, four sound replicas and room for faulty ones."""

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 10000,
            "IdleTimeoutMs": 15000,
        }
        value = configuration(7)
        service = value["Services"][0]
        names = ("one", "bad")
        value["Services"] = [{**service, "Name": name} for name in names]
        route = next(each for each in value["Routes"] if each["Name"] == "read")
        bad = {"Name": "bad", "Prefix": "/bad/", "Service": "bad", "TimeoutMs": 4000}
        value["Routes"] = [route, {**route, **bad}]
        self.store.put("op/config", {**value, "Limits": limits})
        self.replicas = []
        for number in range(4):
            replica = ReplicaStandIn("one", f"i-one{number}", b"1" * 16)
            self.addCleanup(replica.stop)
            self.replicas.append(replica)
            self.store.put(f"servers/{replica.id}", replica.entry())
        self.gateway = GatewayProcess(self.store)
        self.addCleanup(self.gateway.stop)
        wait_for(self.gateway.is_ready, "readiness")
        wait_for(
            lambda: len(self.gateway.events("replica_changed")) >= 4, "the replicas"
        )
        resource.prlimit(
            self.gateway.process.pid,
            resource.RLIMIT_NOFILE,
            (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
        )
        self.limit = MemoryLimit(self.gateway.process.pid, MEMORY_BYTES)
        self.addCleanup(self.limit.stop)

    def start_faulty_replicas(self, kind):
        """Publish replicas of the service ``bad`` that answer without end."""
        ports = [free_port() for _ in range(ENDLESS_REPLICAS)]
        self.flood(kind, [("127.0.0.1", port) for port in ports])
        entry = self.replicas[0].entry()
        for number, port in enumerate(ports):
            address = f"127.0.0.1:{port}"
            changes = {"Service": "bad", "Address": address}
            self.store.put(f"servers/i-bad{number}", {**entry, **changes})
        known = len(self.replicas) + ENDLESS_REPLICAS
        wait_for(
            lambda: len(self.gateway.events("replica_changed")) >= known, "replicas"
        )

    def flood(self, kind, addresses=None, **options):
        """Start a flood, by default of callers of the gateway."""
        addresses = addresses or [self.gateway.caller_address]
        flood = Flood(kind, addresses, **options)
        self.addCleanup(flood.stop)
        return flood

    def request_endless(self, per_s=100):
        """Send requests to the faulty replicas, beside the test."""

        def send():
            number = 0
            while True:
                number += 1
                eventlet.spawn_n(self.ask_quietly, f"/bad/{number}", f"bad{number}")
                eventlet.sleep(1.0 / per_s)

        thread = eventlet.spawn(send)
        self.addCleanup(thread.kill)

    def ask_quietly(self, path, request_id):
        """Send a request whose answer does not matter."""
        with contextlib.suppress(OSError, AssertionError, IndexError):
            self.gateway.ask(path, request_id=request_id, deadline_ms=4000)

    def serve_innocent_requests(self, seconds=FLOOD_S):
        """Return the statuses of requests on new connections, with 0 for failures."""
        statuses = []

        def ask(number):
            try:
                with eventlet.Timeout(2.0):
                    status, _, _ = self.gateway.ask(
                        f"/read/{number}", request_id=f"good{number}"
                    )
            except (OSError, AssertionError, IndexError, eventlet.Timeout):
                status = 0
            statuses.append(status)

        ends_at = time.monotonic() + seconds
        threads = []
        while time.monotonic() < ends_at:
            threads.append(eventlet.spawn(ask, len(threads)))
            eventlet.sleep(1.0 / REQUESTS_PER_S)
        for thread in threads:
            thread.wait()
        return statuses

    def assert_innocent_requests_served(self, seconds=FLOOD_S):
        """Check that the process lives within its limit and serves other callers."""
        statuses = self.serve_innocent_requests(seconds)
        served = statuses.count(200)
        peak_mb = self.limit.peak_bytes / 1e6
        detail = f"{served} of {len(statuses)} served, peak {peak_mb:.0f} MB"
        print(f"{self.id()}: {detail}")
        self.assertFalse(self.limit.was_exceeded, detail)
        self.assertIsNone(self.gateway.process.poll(), detail)
        self.assertEqual(served, len(statuses), detail)


class TestEndlessReplicas(FloodTestCase):
    """Replicas that answer without end cost neither the process nor other callers."""

    def play(self, kind):
        self.start_faulty_replicas(kind)
        self.request_endless()
        self.assert_innocent_requests_served()

    def test_body_until_close(self):
        """Guards against answers that are held after they were given up."""
        self.play("replica-body")

    def test_chunks_of_one_byte(self):
        """Guards against pieces that take more memory than their bytes."""
        self.play("replica-small-chunks")

    def test_header_line(self):
        """Guards against copies of a header line that grows."""
        self.play("replica-header")


class TestHostileCallers(FloodTestCase):
    """Callers that pause, do not read or stay idle do not cost others theirs."""

    def test_unfinished_uploads(self):
        """Guards against request bodies that are bounded for each connection only."""
        self.flood("uploads", count=1500)
        self.assert_innocent_requests_served()

    def test_unread_responses(self):
        """Guards against responses that wait in memory for callers who do not read."""
        large = ReplicaStandIn("bad", "i-large", b"1" * 8_000_000)
        self.addCleanup(large.stop)
        self.store.put(f"servers/{large.id}", large.entry())
        wait_for(
            lambda: len(self.gateway.events("replica_changed")) >= 5, "the replica"
        )
        self.flood("unread", count=60, path="/bad/x")
        self.assert_innocent_requests_served()

    def test_silent_connections(self):
        """Guards against idle callers who take all descriptors."""
        self.flood("silent", count=4500)
        eventlet.sleep(2.0)
        self.assert_innocent_requests_served()

    def test_unfinished_heads(self):
        """Guards against callers in the middle of a head who take all descriptors."""
        self.flood("heads", count=4500)
        eventlet.sleep(2.0)
        self.assert_innocent_requests_served()

    def test_bodies_in_chunks_of_one_byte(self):
        """Guards against connections that take the processor from all others."""
        self.flood("small-chunks", count=200)
        self.assert_innocent_requests_served()

    def test_all_at_once(self):
        """Guards against floods that each stay within bounds, and not together."""
        self.flood("silent", count=2000)
        self.flood("small-chunks", count=200)
        self.flood("uploads", count=1500)
        eventlet.sleep(2.0)
        self.assert_innocent_requests_served()
        events = self.gateway.events("connections_dropped")
        self.assertLess(len(events), 100)
        dropped = sum(event["connections"] for event in events)
        self.assertGreater(dropped, 0)


class TestLargeMessages(FloodTestCase):
    """Sound callers and replicas with large messages, at a high rate."""

    def test_requests_and_answers_are_freed_when_they_have_ended(self):
        """Guards against bodies that stay until reference cycles are collected."""
        for replica in self.replicas:
            replica.record = b"1" * 400_000
        body = b"b" * 200_000
        for number in range(400):
            self.gateway.ask(
                f"/read/{number}", request_id=f"r{number}", method="POST", body=body
            )
        # Both bodies of 400 requests take 240 MB.
        self.assertLess(self.limit.peak_bytes, 120e6)
