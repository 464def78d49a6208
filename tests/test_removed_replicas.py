"""Tests of how long a gateway uses a replica whose entry was removed."""

import time
import unittest
from random import Random
from unittest import mock

import eventlet

from cicadalever.discovery import ReplicaState, UpstreamDirectory
from cicadalever.gateway import PlatformUpdate
from cicadalever.gateway._daemon import GatewayDaemon
from cicadalever.gateway._reads import ReadRunner
from cicadalever.placement import LeastCostSelector
from cicadalever.wire import EventLoop
from tests.platform_standins import (
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_discovery import entry
from tests.test_gateway import NAMES, gather_route
from tests.test_gateway_process import configuration

CONTACT_S = 4.0
# Time for a request to get from this process to a replica.
TRANSIT_S = 0.1
# Callers of each gateway.
CLIENTS = 3


class SilencingProxy(FaultProxy):
    """Proxy that can silence its open connections for good while new ones work."""

    def __init__(self, target):
        self._silenced = set()
        self._half_answers = set()
        super().__init__(target)

    def silence_open(self, *, after_half=False):
        """Drop all further bytes; with ``after_half`` after half of the next answer."""
        self._silenced.update(self._sockets)
        if after_half:
            self._half_answers.update(self._sockets)

    def _copy(self, source, target, *, is_answer):
        while data := source.recv(65536):
            if source not in self._silenced:
                while self._mode == "silence":
                    eventlet.sleep(0.01)
                target.sendall(data)
            elif is_answer and source in self._half_answers:
                self._half_answers.discard(source)
                target.sendall(data[: len(data) // 2])


class RemovedReplicaTestCase(unittest.TestCase):
    """Starts a store, replicas of one service and gateways with links of their own."""

    APPLY_MS = 800
    DRAIN_MS = 3000
    # Bandwidth of the link of each gateway.
    LINKS = (100,)

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.replicas = [self.add_replica(name) for name in ("leaving", "staying")]
        self.leaving = self.replicas[0]
        self.store.put("op/config", self.configuration(7))
        peer_port = free_port()
        self.proxies, self.gateways = [], []
        for number, link_mbps in enumerate(self.LINKS, start=2):
            proxy = SilencingProxy(self.store.address)
            self.addCleanup(proxy.stop)
            gateway = GatewayProcess(
                proxy,
                node=f"host-{number}",
                host=f"127.0.0.{number}",
                peer_port=peer_port,
                seeds=f"127.0.0.2:{peer_port}" if len(self.LINKS) > 1 else "",
                link_mbps=link_mbps,
                apply_ms=self.APPLY_MS,
                drain_ms=self.DRAIN_MS,
            )
            self.addCleanup(gateway.stop)
            self.proxies.append(proxy)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            wait_for(gateway.is_ready, "readiness")
        (self.proxy, *_), (self.gateway, *_) = self.proxies, self.gateways

    def configuration(self, version):
        document = configuration(version)
        routes = [each for each in document["Routes"] if "Service" in each]
        services = [each for each in document["Services"] if each["Name"] == "one"]
        return document | {"Routes": routes, "Services": services}

    def add_replica(self, name):
        replica = ReplicaStandIn("one", f"i-{name}", b"one".ljust(16, b"."))
        replica.delay_s = 0.05
        self.addCleanup(replica.stop)
        self.store.put(f"servers/{replica.id}", replica.entry())
        return replica

    def wait_for_watch(self):
        """Wait until a watch call has just begun."""
        wait_for(lambda: self.store.calls["kv-watch"] > 1, "the first watches")
        calls = self.store.calls["kv-watch"]
        wait_for(lambda: self.store.calls["kv-watch"] > calls, "a watch")
        eventlet.sleep(0.05)

    def remove(self, replica):
        """Remove the entry of a replica and return the time of that."""
        self.store.delete(f"servers/{replica.id}")
        return time.monotonic()

    def ask_until(self, end, gateways=None):
        """Send requests to gateways until a monotonic time; return the statuses.

        As many are in progress at a time as one replica alone has no slots for.
        """
        statuses = []

        def ask_repeatedly(gateway, client):
            while time.monotonic() < end:
                request_id = f"{gateway.caller_address[0]}-{client}-{len(statuses)}"
                statuses.append(gateway.ask("/read/x", request_id=request_id)[0])

        clients = [
            eventlet.spawn(ask_repeatedly, gateway, client)
            for gateway in gateways or self.gateways
            for client in range(CLIENTS)
        ]
        for client in clients:
            client.wait()
        return statuses

    def check_not_used_from(self, bound, gateways=None):
        """Check that no request reaches the leaving replica after a bound."""
        first = bound + TRANSIT_S
        eventlet.sleep(max(0.0, first - time.monotonic()))
        statuses = self.ask_until(first + 1.0, gateways)
        late = [round(at - bound, 2) for at in self.leaving.arrivals if at >= first]
        self.assertEqual((len(late), late[-1:]), (0, []))
        self.assertEqual(set(statuses), {200})

    def lose_answer(self):
        """Silence the connection of a watch; return when, and when an entry went."""
        self.wait_for_watch()
        self.proxy.silence_open()
        lost_at = time.monotonic()
        eventlet.sleep(0.3)
        return lost_at, self.remove(self.leaving)

    def check_lost_answer(self):
        """Check the bounds after a connection that went silent for good."""
        lost_at, removed_at = self.lose_answer()
        drain_s = self.DRAIN_MS / 1000.0
        self.check_not_used_from(max(lost_at + CONTACT_S, removed_at + drain_s))


class TestRemovalDuringOutage(RemovedReplicaTestCase):
    """One host, whose calls to the platform are lost or refused."""

    def test_grace_counts_from_the_loss_of_a_connection(self):
        """Guards against a removed replica in use since a lost call was found late."""
        self.check_lost_answer()

    def test_removal_behind_half_an_answer(self):
        """Guards against a grace that begins when a broken answer is given up."""
        self.wait_for_watch()
        self.proxy.silence_open(after_half=True)
        eventlet.sleep(0.3)
        removed_at = self.remove(self.leaving)
        eventlet.sleep(1.2)
        self.proxy.silence_open()
        bound = max(time.monotonic() + CONTACT_S, removed_at + 3.0)
        self.check_not_used_from(bound)

    def test_expired_entries_are_kept_after_an_outage(self):
        """Guards against a service without replicas until these publish again."""
        self.wait_for_watch()
        self.proxy.mode = "sever"
        eventlet.sleep(2.0)
        for replica in self.replicas:
            self.remove(replica)
        eventlet.sleep(1.0)
        self.proxy.mode = "pass"
        back_at = time.monotonic()
        statuses = self.ask_until(back_at + 1.9)
        for replica in self.replicas:
            self.store.put(f"servers/{replica.id}", replica.entry(Seq=2))
        statuses += self.ask_until(back_at + 4.5)
        self.assertEqual(set(statuses), {200})
        self.assertTrue(self.gateway.events("removal_held"))
        reasons = {e["reason"] for e in self.gateway.events("replica_changed")}
        self.assertEqual(reasons, {"published ready"})


class TestShortDrain(RemovedReplicaTestCase):
    """One host of a deployment whose replicas leave sooner than the grace ends."""

    DRAIN_MS = 1000

    def test_removal_behind_a_lost_answer(self):
        """Guards against a grace that outlasts the time for which replicas drain."""
        self.check_lost_answer()

    def test_removal_while_the_grace_runs(self):
        """Guards against a grace for what was removed long after the outage."""
        self.wait_for_watch()
        returns = len(self.gateway.events("platform_back"))
        self.proxy.silence_open()
        lost_at = time.monotonic()
        wait_for(lambda: len(self.gateway.events("platform_back")) > returns, "contact")
        removed_at = self.remove(self.leaving)
        bound = max(lost_at + CONTACT_S, removed_at + 1.0)
        self.check_not_used_from(bound)


class TestLongWatch(RemovedReplicaTestCase):
    """One host whose watch calls wait as long as the bounds allow."""

    APPLY_MS = 3000

    def test_removal_behind_a_lost_answer(self):
        """Guards against a loss and a grace that together exceed the contact time."""
        self.check_lost_answer()


class TestOneOfTwoHosts(RemovedReplicaTestCase):
    """Two hosts, of which the smaller one follows the larger one."""

    APPLY_MS = 3000
    LINKS = (100, 10)

    def setUp(self):
        super().setUp()
        self.large, self.small = self.gateways

        def follows():
            changes = self.small.events("source_changed")
            return [e["source"] for e in changes][-1:] == ["host-2"]

        wait_for(follows, "the source")

    def test_only_the_larger_host_loses_an_answer(self):
        """Guards against a grace on a host that has missed nothing."""
        lost_at, removed_at = self.lose_answer()
        self.check_not_used_from(removed_at + 3.0, [self.small])
        self.check_not_used_from(lost_at + CONTACT_S)


class TestWaitingRequests(RemovedReplicaTestCase):
    """Requests that wait for the only connection to a replica that leaves."""

    DRAIN_MS = 1000

    def configuration(self, version):
        document = super().configuration(version)
        for route in document["Routes"]:
            route["TimeoutMs"] = 9000
        document["Services"][0]["MaxConns"] = 1
        return document

    def check_waiting(self, leave):
        for replica in self.replicas:
            replica.delay_s = 0.7

        def ask(number):
            request_id = f"w{number}"
            return self.gateway.ask(
                "/order/x", request_id=request_id, deadline_ms=9000
            )[0]

        callers = [eventlet.spawn(ask, number) for number in range(8)]
        wait_for(lambda: self.leaving.arrivals, "the first request")
        leave()
        bound = time.monotonic() + 1.0 + TRANSIT_S
        self.assertEqual({caller.wait() for caller in callers}, {200})
        self.assertEqual([at for at in self.leaving.arrivals if at >= bound], [])

    def test_replica_is_removed(self):
        """Guards against requests that still wait for a replica that has left."""
        self.check_waiting(lambda: self.remove(self.leaving))

    def test_replica_drains(self):
        """Guards against requests that still wait for a replica that will leave."""
        entry = self.leaving.entry(State="draining", Seq=2)
        key = f"servers/{self.leaving.id}"
        self.check_waiting(lambda: self.store.put(key, entry))


class TestEndOfGrace(unittest.TestCase):
    """Removals that were held back until the grace period ends."""

    def test_removal_does_not_wait_for_the_next_tick(self):
        """Guards against a removed replica in use until periodic work is due."""
        loop, directory = EventLoop(), UpstreamDirectory()
        daemon = GatewayDaemon(mock.Mock(loop=loop, directory=directory))
        published = PlatformUpdate(None, [entry()], [], {}, 1, is_complete=False)
        daemon.apply_update(published)
        directory.start_grace_period(loop.now() + 0.1)
        daemon.apply_update(published._replace(entries=[], removed=[entry().id]))
        eventlet.sleep(0.05)
        self.assertIn(entry().id, directory)
        eventlet.sleep(0.1)
        self.assertNotIn(entry().id, directory)


class TestHeldReads(unittest.TestCase):
    """Reads whose replica was chosen a while before they are sent."""

    def test_chosen_replica_is_not_read_once_it_leaves(self):
        """Guards against a held read that is sent to a replica that has left."""
        directory = UpstreamDirectory()
        runner = ReadRunner(
            mock.Mock(now=lambda: 0.0), NAMES, directory,
            LeastCostSelector("a", Random(1)), mock.Mock(), mock.Mock(), mock.Mock(),
        )  # fmt: skip
        chosen, route = entry(), gather_route(["s"])
        leave = (
            lambda: directory.remove(chosen.id, now=0.0),
            lambda: directory.apply(entry(state=ReplicaState.DRAINING, sequence=9)),
            lambda: directory.apply(entry(started_at_ms=200, sequence=1)),
        )
        for step in leave:
            directory.replace_all([], set(), now=0.0)
            directory.apply(entry(sequence=8))
            self.assertTrue(runner.may_still_read(chosen, route))
            step()
            self.assertFalse(runner.may_still_read(chosen, route))
