"""Tests of the stand-ins that silence connections for good."""

import unittest

import eventlet

from tests.platform_standins import FaultProxy, StoreStandIn, wait_for


class TestSilencedConnections(unittest.TestCase):
    """Connections of the proxy and the store on which nothing follows."""

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.store.put("a", {})
        self.proxy = FaultProxy(self.store.address)
        self.addCleanup(self.proxy.stop)

    def connect(self):
        host, _, port = self.proxy.address.rpartition(":")
        sock = eventlet.connect((host, int(port)))
        self.addCleanup(sock.close)
        return sock

    def ask(self, sock):
        """Return the bytes that follow within a moment, or None if none do."""
        sock.sendall(b"GET /kv-range HTTP/1.1\r\n\r\n")
        with eventlet.Timeout(0.2, False):
            return sock.recv(65536)
        return None

    def test_muted_connections(self):
        """Guards against connections that are closed instead of silent."""
        muted, halved = self.connect(), self.connect()
        whole = self.ask(muted)
        self.assertEqual(self.ask(halved), whole)
        self.proxy.mute(1.0)
        self.assertIsNone(self.ask(muted))
        halved = self.connect()
        self.assertEqual(self.ask(halved), whole)
        self.proxy.mute(is_after_half=True)
        self.assertEqual(self.ask(halved), whole[: len(whole) // 2])
        self.assertIsNone(self.ask(halved))
        self.assertEqual(len(self.proxy.muted_at), 3)
        self.proxy.mutes_new = True
        late = self.connect()
        self.assertIsNone(self.ask(late))
        self.proxy.mutes_new = False
        self.assertIsNone(self.ask(late))
        self.assertEqual(self.ask(self.connect()), whole)

    def test_lost_answers(self):
        """Guards against lost answers of the store after which others follow."""
        sock = self.connect()
        self.store.loses_answers = True
        self.assertIsNone(self.ask(sock))
        self.store.loses_answers = False
        self.assertIsNone(self.ask(sock))
        waiting = self.connect()
        waiting.sendall(b"GET /kv-watch?after=2&WaitMs=5000 HTTP/1.1\r\n\r\n")
        wait_for(lambda: self.store.calls["kv-watch"] == 1, "the watch")
        self.store.loses_answers = True
        eventlet.sleep(0.05)
        self.store.loses_answers = False
        self.store.put("b", {})
        with eventlet.Timeout(0.2, False):
            self.fail(f"received {waiting.recv(65536)}")
