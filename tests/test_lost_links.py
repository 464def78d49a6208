"""Tests of gateways that lose their links to all replicas."""

import unittest

import eventlet

from tests.platform_standins import (
    ROOT,
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_gateway_process import SHARDS, configuration

WIDE_SHARDS = [f"s{number:02d}" for number in range(32)]
NOT_RUN_STATUSES = (408, 421, 429, 503)


class LostLinksTestCase(unittest.TestCase):
    """Starts two gateways, of which each reaches the replicas by links of its own."""

    shards = SHARDS
    # Link of the gateway whose links are cut; the other one has 100 Mbit/s.
    link_mbps = 100
    # Data centre of the gateway that keeps its links; the other one is in dc-a.
    sound_data_centre = "dc-a"
    # Folders of their builds, first that of the gateway whose links are cut.
    roots = (ROOT, ROOT)

    def setUp(self):
        stores = [StoreStandIn(), StoreStandIn()]
        self.replicas, self.links = [], []
        for service in [*self.shards, "one"]:
            for copy in "ab":
                record = service.encode().ljust(16, b".")
                replica = ReplicaStandIn(service, f"i-{service}{copy}", record)
                link = FaultProxy(replica.address)
                self.replicas.append(replica)
                self.links.append(link)
                key = f"servers/{replica.id}"
                stores[0].put(key, replica.entry(Address=link.address))
                stores[1].put(key, replica.entry())
        document = configuration(7)
        document["Routes"][0]["Gather"] = self.shards
        for store in stores:
            store.put("op/config", document)
        for part in (*stores, *self.replicas, *self.links):
            self.addCleanup(part.stop)
        port = free_port()
        options = {"peer_port": port, "seeds": f"127.0.0.2:{port},127.0.0.3:{port}"}
        self.cut, self.sound = (
            GatewayProcess(
                store, node=f"host-{number}", host=f"127.0.0.{number}", **options, **own
            )
            for number, store, own in (
                (
                    2,
                    stores[0],
                    {"link_mbps": self.link_mbps, "root": self.roots[0]},
                ),
                (
                    3,
                    stores[1],
                    {"data_centre": self.sound_data_centre, "root": self.roots[1]},
                ),
            )
        )
        for gateway in (self.cut, self.sound):
            self.addCleanup(gateway.stop)
            wait_for(gateway.is_ready, "readiness")
            wait_for(lambda gateway=gateway: self.is_served(gateway), "an answer")

    def is_served(self, gateway):
        status, headers, _ = gateway.ask("/search/q", request_id="warm")
        return status == 200 and headers["x-missing-parts"] == "0"

    def set_links(self, mode):
        for link in self.links:
            link.mode = mode

    def cut_links(self, mode):
        self.set_links(mode)
        wait_for(lambda: not self.cut.is_ready(), "the host to be taken out")

    def count_runs(self, request_id):
        return sum(r.executed_ids.count(request_id) for r in self.replicas)

    def check_served(self, name):
        """Check the answers to a query, a read and an order at the cut-off host."""
        status, headers, body = self.cut.ask("/search/q", request_id=f"{name}q")
        self.assertEqual((status, headers["x-missing-parts"]), (200, "0"))
        self.assertEqual(len(body), 48)
        for path, method in (("read", "GET"), ("order", "POST")):
            request_id = f"{name}{path}"
            status, headers, body = self.cut.ask(
                f"/{path}/x", request_id=request_id, method=method
            )
            self.assertEqual((status, body), (200, b"one".ljust(16, b".")))
            self.assertTrue(headers["x-server-stamp"].endswith(f".{request_id}"))
            self.assertEqual(self.count_runs(request_id), 1)


class TestCutLinks(LostLinksTestCase):
    """A host without links to the replicas beside one that has them."""

    def test_host_without_requests_notices_hanging_links(self):
        """Guards against a host that learns of a cut only from its own reads."""
        self.cut_links("cut")
        self.assertEqual(len(self.cut.events("cut_off")), 1)
        self.assertTrue(self.sound.is_ready())

    def test_requests_are_handed_to_a_host_that_can_serve_them(self):
        """Guards against requests that fail at a host which could hand them over."""
        for mode in ("cut", "refuse", "sever"):
            with self.subTest(mode):
                self.cut_links(mode)
                self.check_served(mode)
                self.set_links("pass")
                wait_for(self.cut.is_ready, "the host to be back")
                self.check_served(f"{mode}back")

    def test_requests_in_progress_are_handed_over(self):
        """Guards against requests that hang because they came before the verdict."""
        self.set_links("cut")
        paths = ("/search/q", "/read/x")
        answers = [
            eventlet.spawn(self.cut.ask, path, request_id=f"p{number}")
            for number, path in enumerate(paths)
        ]
        for answer in answers:
            status, _, _ = answer.wait()
            self.assertEqual(status, 200)

    def test_reset_links_do_not_accuse_a_request(self):
        """Guards against refusing requests whose connections ended with the links."""
        for replica in self.replicas:
            replica.delay_s = 0.3
        for round_number in range(2):
            asked = [
                eventlet.spawn(
                    self.cut.ask, "/read/same", request_id=f"a{round_number}{number}"
                )
                for number in range(3)
            ]
            wait_for(
                lambda n=round_number: all(self.count_runs(f"a{n}{k}") for k in (0, 2)),
                "the reads",
            )
            self.cut_links("sever")
            for each in asked:
                each.wait()
            self.set_links("pass")
            wait_for(self.cut.is_ready, "the host to be back")
        for gateway in (self.cut, self.sound):
            status, _, _ = gateway.ask("/read/same", request_id="innocent")
            self.assertEqual(status, 200)

    def test_order_that_may_have_run_is_not_handed_over(self):
        """Guards against orders that run twice because an answer did not arrive."""
        self.set_links("one_way")
        order = eventlet.spawn(
            self.cut.ask, "/order/x", request_id="once", method="POST"
        )
        wait_for(lambda: self.count_runs("once") == 1, "the order to run")
        self.set_links("cut")
        status, _, _ = order.wait()
        self.assertIn(status, (502, 504))
        self.assertEqual(self.count_runs("once"), 1)

    def test_request_is_refused_when_no_host_can_serve_it(self):
        """Guards against requests that wait although no host can serve them."""
        self.cut_links("cut")
        self.sound.process.kill()
        self.sound.process.wait()
        wait_for(self.is_refused, "a refusal")

    def is_refused(self):
        status, headers, _ = self.cut.ask("/order/x", request_id="late", method="POST")
        self.assertEqual(self.count_runs("late"), 0)
        return status in NOT_RUN_STATUSES and "retry-after" in headers


class TestDeadReplicas(LostLinksTestCase):
    """Replicas that no host of any data centre reaches."""

    sound_data_centre = "dc-b"

    def test_hosts_stay_ready_and_refuse_at_once(self):
        """Guards against taking out sound hosts because their upstreams are dead."""
        for replica in self.replicas:
            replica.stop()
        for link in self.links:
            link.mode = "refuse"
        wait_for(self.is_refused, "a refusal")
        self.assertTrue(self.cut.is_ready())
        self.assertTrue(self.sound.is_ready())
        self.assertEqual(self.sound.events("cut_off")[1:], [])

    def is_refused(self):
        for gateway in (self.cut, self.sound):
            gateway.ask("/search/q", request_id="dead")
        refused = self.sound.events("request_refused")
        return "no_upstreams" in {each["reason"] for each in refused}


class TestPartitionedDataCentre(LostLinksTestCase):
    """Replicas that no host of the own data centre reaches."""

    def test_hosts_are_taken_out(self):
        """Guards against callers that stay in a data centre which is cut off.

        Its hosts cannot tell such a partition from replicas that are all dead.
        """
        for replica in self.replicas:
            replica.stop()
        for link in self.links:
            link.mode = "refuse"
        for gateway in (self.cut, self.sound):
            wait_for(
                lambda gateway=gateway: self.is_taken_out(gateway), "the host to leave"
            )

    def is_taken_out(self, gateway):
        gateway.ask("/search/q", request_id="gone")
        return not gateway.is_ready()


class TestDelegatingHost(LostLinksTestCase):
    """A small host without links, whose queries a sound larger host gathers."""

    shards = WIDE_SHARDS
    link_mbps = 10

    def test_direct_requests_do_not_hang(self):
        """Guards against a host that delegates queries and never learns of a cut."""
        self.cut_links("cut")
        self.check_served("small")


class TestFaultProxy(unittest.TestCase):
    """The stand-in of a link."""

    def test_stopped_proxy_waits_for_no_descriptor(self):
        """Guards against a later test whose socket gets the number of a waiting one."""
        replica = ReplicaStandIn("s", "i-s")
        self.addCleanup(replica.stop)
        proxy = FaultProxy(replica.address)
        host, _, port = proxy.address.rpartition(":")
        caller = eventlet.connect((host, int(port)))
        self.addCleanup(caller.close)
        wait_for(lambda: len(proxy._sockets) == 2, "the connection to the replica")
        eventlet.sleep(0.05)
        numbers = {sock.fileno() for sock in proxy._sockets}
        readers = eventlet.hubs.get_hub().listeners["read"]
        self.assertTrue(numbers & set(readers))
        proxy.stop()
        eventlet.sleep(0)
        self.assertFalse(numbers & set(readers))
