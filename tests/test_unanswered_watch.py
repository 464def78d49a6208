"""Tests of hosts whose connections to the platform fall silent for good."""

import time
import unittest

import eventlet

from tests.platform_standins import (
    GatewayProcess,
    StoreStandIn,
    _Server,
    free_port,
    wait_for,
)
from tests.test_gateway_process import configuration
from tests.test_peers import TwoGatewaysTestCase

# Bounds of the settings of ``GatewayProcess``.
CONTACT_S = 4.0
APPLY_MS = 3000
# Time from a call of a host to the silence of its connections.
PHASES_S = (0.1, 0.9, 1.7, 2.6)
# Lengths of outages of the platform.
OUTAGES_S = (4.0, 4.4, 4.8, 5.2)
# Time from the silence to the next change.
CHANGE_AFTER_S = 0.3


class SilencingProxy(_Server):
    """Proxy of a store whose open connections fall silent for good.

    The silent ones are not closed. With ``is_half``, each still carries half of the
    next answer.
    """

    def __init__(self, store):
        self.store = store
        self.called_at = 0.0
        self.silent = set()
        self.halved = set()
        # Whether new connections are silent from the start.
        self.silences_new = False
        super().__init__()

    def silence(self, *, is_half):
        """Let all open connections fall silent."""
        self.silent |= self._sockets
        if is_half:
            self.halved |= self._sockets

    def _serve(self, sock):
        if self.silences_new:
            self.silent.add(sock)
        host, _, port = self.store.address.rpartition(":")
        upstream = eventlet.connect((host, int(port)))
        answers = eventlet.spawn(self._copy, upstream, sock, sock, is_answer=True)
        try:
            self._copy(sock, upstream, sock, is_answer=False)
        finally:
            answers.kill()
            sock.close()
            upstream.close()

    def _copy(self, source, target, key, *, is_answer):
        try:
            while data := source.recv(65536):
                if not is_answer:
                    self.called_at = time.monotonic()
                elif key in self.halved and key in self.silent:
                    self.halved.discard(key)
                    target.sendall(data[: len(data) // 2])
                if key not in self.silent:
                    target.sendall(data)
        except OSError:
            pass


def in_force_at(gateway, version):
    """Return since when a gateway uses a version, on the monotonic clock, or None."""
    offset_s = time.monotonic() - time.time()
    for event in gateway.events("configuration_in_force"):
        if event["version"] == version:
            return event["time"] + offset_s
    return None


class Host:
    """A host with a proxy of its own to a store, which may be shared."""

    def __init__(self, test, store=None, **options):
        self.store = store or StoreStandIn()
        if store is None:
            test.addCleanup(self.store.stop)
            self.store.put("op/config", configuration(7))
        self.proxy = SilencingProxy(self.store)
        test.addCleanup(self.proxy.stop)
        options = {"apply_ms": APPLY_MS} | options
        self.gateway = GatewayProcess(self.proxy, **options)
        test.addCleanup(self.gateway.stop)

    def in_force_at(self, version):
        """Return since when a version is in force, on the monotonic clock, or None."""
        return in_force_at(self.gateway, version)

    def measure_delay(self, phase_s, *, is_half):
        """Let the connections fall silent some time after the next call.

        Return the time from then until a version is in force that is written soon.
        """
        called_at = self.proxy.called_at
        wait_for(lambda: self.proxy.called_at > called_at, "a call")
        eventlet.sleep(phase_s)
        self.proxy.silence(is_half=is_half)
        silent_at = time.monotonic()
        eventlet.sleep(CHANGE_AFTER_S)
        self.store.put("op/config", configuration(8))
        eventlet.sleep(CONTACT_S)
        return (self.in_force_at(8) or float("inf")) - silent_at


class TestSilentConnections(unittest.TestCase):
    """All connections of a host fall silent while it waits for a change."""

    def check_bound(self, *, is_half):
        hosts = [Host(self) for _ in PHASES_S]
        wait_for(
            lambda: all(host.in_force_at(7) for host in hosts), "the first version"
        )
        # The last calls of the start are over.
        eventlet.sleep(3.0)
        delays = [
            eventlet.spawn(host.measure_delay, phase_s, is_half=is_half)
            for host, phase_s in zip(hosts, PHASES_S, strict=True)
        ]
        delays = [delay.wait() for delay in delays]
        self.assertLess(max(delays), CONTACT_S, delays)

    def test_silent_connection_is_replaced_within_the_contact_time(self):
        """Guards against a host that believes its copy current during a lost watch."""
        self.check_bound(is_half=False)

    def test_half_of_an_answer_does_not_extend_the_call(self):
        """Guards against a time-out that begins again with the body of an answer."""
        self.check_bound(is_half=True)


class TestOutage(unittest.TestCase):
    """The platform is away for a while, for old and for new connections."""

    # Time after the end in which a host must know what expired in the outage.
    RECOVERY_S = CONTACT_S - 2.5

    def measure_recovery(self, host, outage_s, begin, end):
        """Return the time from the end of an outage until a change is in force."""
        begin(host)
        eventlet.sleep(outage_s)
        host.store.put("op/config", configuration(8))
        end(host)
        ended_at = time.monotonic()
        wait_for(lambda: host.in_force_at(8), "the change")
        return host.in_force_at(8) - ended_at

    def check_recovery(self, begin, end):
        hosts = [Host(self) for _ in OUTAGES_S]
        wait_for(
            lambda: all(host.in_force_at(7) for host in hosts), "the first version"
        )
        eventlet.sleep(2.0)
        delays = [
            eventlet.spawn(self.measure_recovery, host, outage_s, begin, end)
            for host, outage_s in zip(hosts, OUTAGES_S, strict=True)
        ]
        delays = [delay.wait() for delay in delays]
        self.assertLess(max(delays), self.RECOVERY_S, delays)

    def test_silent_platform_is_called_again_soon(self):
        """Guards against long time-outs that outlast the return of the platform."""

        def begin(host):
            host.proxy.silences_new = True
            host.proxy.silence(is_half=False)

        def end(host):
            host.proxy.silences_new = False

        self.check_recovery(begin, end)

    def test_refusing_platform_is_called_again_soon(self):
        """Guards against pauses that outlast the return of the platform."""

        def begin(host):
            host.store.is_down = True

        def end(host):
            host.store.is_down = False

        self.check_recovery(begin, end)


class TestNewsOfPeers(unittest.TestCase):
    """A host whose call is lost hears of a newer version from another host."""

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.store.put("op/config", configuration(7))
        port = free_port()
        options = {"peer_port": port, "seeds": f"127.0.0.2:{port},127.0.0.3:{port}"}
        self.hosts = [
            Host(self, self.store, node=host, host=host, **options)
            for host in ("127.0.0.2", "127.0.0.3")
        ]
        wait_for(
            lambda: all(host.in_force_at(7) for host in self.hosts), "the first version"
        )
        # Each host knows the other one.
        eventlet.sleep(3.0)

    def test_newer_version_of_a_peer_ends_a_lost_call(self):
        """Guards against a lost call that goes on although a peer has its answer."""
        silent = self.hosts[1]
        called_at = silent.proxy.called_at
        wait_for(lambda: silent.proxy.called_at > called_at, "a call")
        silent.proxy.silence(is_half=False)
        self.store.put("op/config", configuration(8))
        changed_at = time.monotonic()
        wait_for(lambda: silent.in_force_at(8), "the version")
        # Half a second until the call counts as lost, and as much for the way.
        self.assertLess(silent.in_force_at(8) - changed_at, 1.2)
        (event,) = silent.gateway.events("call_given_up")
        self.assertEqual(event["version"], 8)


class TestSilentSource(TwoGatewaysTestCase):
    """The connections of a host that relays changes to another one fall silent."""

    def start(self, **options):
        """Start a host that reaches the store by a proxy of its own."""
        host = Host(self, self.store, **options)
        host.gateway.proxy = host.proxy
        wait_for(host.gateway.is_ready, "readiness")
        return host.gateway

    def follows_larger_host(self):
        events = self.small.events("source_changed")
        return [event["source"] for event in events][-1:] == ["large"]

    def test_follower_is_in_time_although_its_source_is_not(self):
        """Guards against a host that takes the data of its source for current."""
        wait_for(self.follows_larger_host, "the source")
        eventlet.sleep(2.0)
        self.assertTrue(self.follows_larger_host())
        self.large.proxy.silence(is_half=False)
        self.store.put("op/config", self.configuration(8))
        changed_at = time.monotonic()
        for gateway, bound_s in (
            (self.small, APPLY_MS / 1000),
            (self.large, CONTACT_S),
        ):
            wait_for(lambda each=gateway: in_force_at(each, 8), "the version")
            self.assertLess(in_force_at(gateway, 8) - changed_at, bound_s)
