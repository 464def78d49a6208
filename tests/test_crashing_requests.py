"""Tests of requests that crash replicas, over all hosts that get copies of them."""

import time
import unittest
from itertools import count, cycle
from pathlib import Path
from typing import NamedTuple

import eventlet

from tests.platform_standins import (
    ROOT,
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    StoreView,
    free_port,
    wait_for,
)
from tests.test_gateway_process import configuration

# Bounds of the rule: arrivals in all that may come later than this after the third
# crash.
MAX_LATE_ARRIVALS = 3
CONTACT_S = 4.0
DOWN_S = 3.0
INNOCENT_PERIOD_S = 0.05
POISON = "/search/poison"
POPULAR = "/search/popular"
# Services whose replicas survive the request in some plays.
SURVIVING = ("s00", "s01")


class Host(NamedTuple):
    """Place, link and build of a gateway of a play.

    One that ``has_own_links`` reaches the replicas by links that can be cut. ``root``
    is the folder of its build.
    """

    data_centre: str = "dc-a"
    link_mbps: int = 100
    has_own_links: bool = False
    root: Path = ROOT


TWO_HOSTS = (Host(), Host())


class CrashPlay:
    """Gateways and replicas to which a request comes that crashes replicas.

    Replicas of the ``surviving`` services survive it. Beside its copies, other requests
    come all the time, half of them for one popular path.
    """

    def __init__(
        self, test, *, shards, copies, hosts=TWO_HOSTS, surviving=(), single=0
    ):
        self.services = [f"s{number:02d}" for number in range(shards)]
        self.store = StoreStandIn()
        test.addCleanup(self.store.stop)
        self.replicas = []
        places = sorted({host.data_centre for host in hosts})
        for service in [*self.services, "one"]:
            for copy in range(single if service == "one" else copies):
                replica = ReplicaStandIn(
                    service, f"i-{service}-{copy}", service.encode().ljust(16, b".")
                )
                replica.down_s = DOWN_S
                if service not in surviving:
                    replica.poison_path = POISON
                test.addCleanup(replica.stop)
                self.replicas.append(replica)
                zone = places[copy % len(places)]
                self.store.put(f"servers/{replica.id}", replica.entry(Zone=zone))
        # Links of the gateways that have links of their own.
        self.links = []
        document = configuration(7)
        document["Routes"][0]["Gather"] = self.services
        document["Services"] = [
            document["Services"][0] | {"Name": name} for name in [*self.services, "one"]
        ]
        self.store.put("op/config", document)
        port = free_port()
        addresses = [f"127.0.0.{number + 2}" for number in range(len(hosts))]
        seeds = ",".join(f"{address}:{port}" for address in addresses[:3])
        self.gateways = [
            GatewayProcess(
                self._open_links(test) if host.has_own_links else self.store,
                node=f"host-{number}",
                host=address,
                peer_port=port,
                seeds=seeds,
                data_centre=host.data_centre,
                link_mbps=host.link_mbps,
                root=host.root,
            )
            for number, (address, host) in enumerate(zip(addresses, hosts, strict=True))
        ]
        for gateway in self.gateways:
            test.addCleanup(gateway.stop)
        for gateway in self.gateways:
            wait_for(gateway.is_ready, "readiness")
            wait_for(lambda gateway=gateway: self.is_served(gateway), "an answer")
        self._request_numbers = count()
        # Statuses of the other requests after the time at which they were sent.
        self.innocent = []
        self.statuses = []

    def _open_links(self, test):
        """Return a view of the store for a gateway with links of its own."""
        links = {each.id: FaultProxy(each.address) for each in self.replicas}
        self.links += links.values()
        addresses = {replica_id: link.address for replica_id, link in links.items()}
        view = StoreView(self.store, addresses)
        for part in (*links.values(), view):
            test.addCleanup(part.stop)
        return view

    def set_links(self, mode):
        """Set the fault of all links that can be cut."""
        for link in self.links:
            link.mode = mode

    def is_served(self, gateway):
        status, headers, _ = gateway.ask("/search/first", request_id="first")
        return status == 200 and headers["x-missing-parts"] == "0"

    @property
    def crash_times(self):
        """Times at which replicas crashed, in order."""
        return sorted(at for replica in self.replicas for at in replica.crash_times)

    @property
    def arrivals(self):
        """Times at which copies of the request reached replicas, in order."""
        return sorted(
            at
            for replica in self.replicas
            for at, (line, _, _) in zip(replica.arrivals, replica.requests, strict=True)
            if line.split()[1] == replica.poison_path or line.split()[1] == POISON
        )

    @property
    def late_arrivals(self):
        """Number of arrivals later than ``CONTACT_S`` after the third crash."""
        third = self.crash_times[2]
        return sum(at > third + CONTACT_S for at in self.arrivals)

    def refused_paths(self):
        """Return the paths that gateways refused because of crashes."""
        return {
            event["target"]
            for gateway in self.gateways
            for event in gateway.events("request_refused")
            if event["reason"] == "crashes_replicas"
        }

    def ask(self, gateway, path, results):
        """Send a request and add when it was sent, its path and its status."""
        sent_at = time.monotonic()
        request_id = f"q{next(self._request_numbers)}"
        try:
            status, *_ = gateway.ask(path, request_id=request_id)
        except OSError:
            # The gateway is being restarted.
            status = None
        results.append((sent_at, path, status))

    def run(self, *, period_s, seconds, gateways=None, with_innocent=True):
        """Send a copy of the request each ``period_s`` to the gateways in turn."""
        gateways = gateways or self.gateways
        innocent = with_innocent and eventlet.spawn(self._send_innocent, gateways)
        ends_at = time.monotonic() + seconds
        for gateway in cycle(gateways):
            if time.monotonic() >= ends_at:
                break
            eventlet.spawn(self.ask, gateway, POISON, self.statuses)
            eventlet.sleep(period_s)
        if innocent:
            innocent.kill()

    def _send_innocent(self, gateways):
        for number, gateway in enumerate(cycle(gateways)):
            path = POPULAR if number % 2 else f"/search/{number}"
            eventlet.spawn(self.ask, gateway, path, self.innocent)
            eventlet.sleep(INNOCENT_PERIOD_S)


class CrashPlayTestCase(unittest.TestCase):
    """Checks the bounds of the rule on plays."""

    def check(self, play):
        """Check that copies came late only thrice, and that no others were refused."""
        self.assertGreaterEqual(len(play.crash_times), 3)
        self.assertLessEqual(
            play.late_arrivals, MAX_LATE_ARRIVALS, f"{len(play.crash_times)} crashes"
        )
        self.assertLessEqual(play.refused_paths(), {POISON, "/read/poison"})


class TestGatheredRequest(CrashPlayTestCase):
    """A query over shards that crashes the replicas of all or of some of them."""

    def test_ended_refusal_lets_no_whole_query_through(self):
        """Guards against a query that is sent to all shards after its refusal."""
        play = CrashPlay(self, shards=8, copies=4)
        play.run(period_s=2.6, seconds=27.0)
        self.check(play)

    def test_answers_of_surviving_shards_do_not_clear_the_query(self):
        """Guards against a query that some shards survive and others do not."""
        play = CrashPlay(self, shards=8, copies=4, surviving=SURVIVING)
        play.run(period_s=2.6, seconds=14.0)
        self.check(play)

    def test_restarted_host_does_not_send_the_query_again(self):
        """Guards against a host that starts and knows nothing of the crashes."""
        play = CrashPlay(self, shards=8, copies=2, hosts=[Host()] * 3)
        restarts = eventlet.spawn(self._restart, play.gateways[1])
        play.run(period_s=1.0, seconds=20.0)
        restarts.kill()
        self.check(play)

    def test_hosts_that_all_restart_do_not_send_the_query_whole(self):
        """Guards against a fleet that has forgotten the crashes altogether."""
        play = CrashPlay(self, shards=8, copies=4)
        play.run(period_s=1.5, seconds=6.0)
        for gateway in play.gateways:
            gateway.kill()
            settings = gateway.settings_path.read_text()
            gateway.settings_path.write_text(settings + "Bootstrap=false\n")
            gateway.start()
        for gateway in play.gateways:
            wait_for(gateway.is_ready, "readiness")
            wait_for(lambda gateway=gateway: play.is_served(gateway), "an answer")
        play.run(period_s=1.5, seconds=12.0)
        self.check(play)

    @staticmethod
    def _restart(gateway):
        while True:
            eventlet.sleep(6.0)
            gateway.process.terminate()
            while gateway.process.poll() is None:
                eventlet.sleep(0.02)
            gateway.start()


class TestInnocentRequests(CrashPlayTestCase):
    """Queries that ran on the same replicas as one that crashes them."""

    def test_queries_that_lost_replicas_are_served_again(self):
        """Guards against refusing queries beside which another one crashed replicas."""
        play = CrashPlay(self, shards=8, copies=2)
        for replica in play.replicas:
            replica.delay_s = 0.04
        play.run(period_s=1.5, seconds=12.0)
        self.check(play)
        lost = {
            event["fingerprint"]
            for gateway in play.gateways
            for event in gateway.events("replica_lost")
        }
        self.assertGreater(len(lost), 1)
        cleared_at = play.crash_times[0] + DOWN_S + CONTACT_S
        later = [each for each in play.innocent if each[0] > cleared_at]
        self.assertGreater(len(later), 50)
        self.assertEqual({status for _, _, status in later}, {200})


class TestForwardedRequest(CrashPlayTestCase):
    """A request to a single replica that crashes it."""

    def test_failures_do_not_clear_the_request(self):
        """Guards against answers of replicas that may not have run the request."""
        play = CrashPlay(self, shards=2, copies=2, single=6)
        for replica in play.replicas:
            replica.poison_path = "/read/poison"
        singles = [each for each in play.replicas if each.service == "one"]
        for replica in singles[:2]:
            replica.behaviour = "error"
            replica.poison_path = None
        for number in range(14):
            gateway = play.gateways[number % 2]
            eventlet.spawn(play.ask, gateway, "/read/poison", play.statuses)
            eventlet.sleep(1.0)
        self.check(play)
        status, headers, _ = play.gateways[0].ask("/read/poison", request_id="last")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 30.0)


class TestDelegatedRequest(CrashPlayTestCase):
    """A query that hosts gather and read for each other."""

    def test_gathered_by_a_larger_host(self):
        """Guards against a host that is told nothing of what it had others send."""
        hosts = [Host(link_mbps=40), Host(link_mbps=40), Host(), Host()]
        play = CrashPlay(self, shards=32, copies=2, hosts=hosts, surviving=SURVIVING)
        play.run(period_s=1.5, seconds=14.0, gateways=play.gateways[:2])
        self.check(play)

    def test_read_by_a_host_of_another_data_centre(self):
        """Guards against shards that each data centre reads again by itself."""
        hosts = [Host(), Host("dc-b"), Host()]
        play = CrashPlay(self, shards=32, copies=2, hosts=hosts, surviving=SURVIVING)
        play.run(period_s=1.5, seconds=14.0)
        self.check(play)

    def test_handed_over_by_a_host_without_upstreams(self):
        """Guards against a query that is handed from host to host as it crashes."""
        hosts = [Host(has_own_links=True), Host(), Host()]
        play = CrashPlay(self, shards=8, copies=2, hosts=hosts, surviving=SURVIVING)
        cut = play.gateways[0]
        play.set_links("refuse")
        wait_for(lambda: not cut.is_ready(), "the host to be taken out")
        play.run(period_s=1.5, seconds=8.0, gateways=[cut])
        play.set_links("pass")
        play.run(period_s=1.5, seconds=8.0)
        self.check(play)
