"""Tests of the client of the platform's store against answers that never end."""

import json
import socket
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

import eventlet
from eventlet.green import socket as green_socket

from cicadalever.gateway import HistoryLost, PlatformUpdate
from cicadalever.outcomes import Failure, FailureCode
from tests.platform_standins import FaultProxy

PLATFORM = str(Path(__file__).parents[1] / "platform")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def load_store():
    """Return the module of the client; the folder ``platform`` is no package."""
    sys.path.insert(0, PLATFORM)
    try:
        from cicadalever_platform import _store
    finally:
        sys.path.remove(PLATFORM)
    return _store


class TestStoreClient(unittest.TestCase):
    """Calls that are answered whole, without end, byte by byte or not at all."""

    def setUp(self):
        self.store = load_store()
        # The gateway patches all sockets before it loads anything else.
        patch = mock.patch("urllib3.util.connection.socket", green_socket)
        patch.start()
        self.addCleanup(patch.stop)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.sent = 0
        self.connections = 0

    def serve(self, send):
        def accept():
            while True:
                sock, _ = self.listener.accept()
                self.connections += 1
                eventlet.spawn(self.answer, sock, send)

        thread = eventlet.spawn(accept)
        self.addCleanup(thread.kill)

    def answer(self, sock, send):
        try:
            while sock.recv(65536):
                send(sock)
        except OSError:
            pass

    def client(self, **options):
        client = self.store.StoreClient(self.listener.getsockname(), **options)
        self.addCleanup(client.close)
        return client

    def test_kept_connection_serves_again(self):
        """Guards against a new connection for each call."""
        body = json.dumps({"events": [], "AsOf": 9}).encode()
        self.serve(
            lambda sock: sock.sendall(
                HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
        )
        client = self.client()
        for _ in range(3):
            update = client.watch(5, 0.1, 1.6)
            self.assertIsInstance(update, PlatformUpdate)
            self.assertEqual(update.revision, 9)
        self.assertEqual(self.connections, 1)

    def test_endless_body_is_a_failure(self):
        """Guards against an answer that fills the memory of the host."""

        def send(sock):
            sock.sendall(HEAD + b"\r\n")
            while self.sent < 256 * 1024 * 1024:
                sock.sendall(b"[" * 65536)
                self.sent += 65536
                eventlet.sleep(0)

        self.serve(send)
        result = self.client(max_answer_bytes=1_000_000).watch(5, 0.1, 1.6)
        self.assertIsInstance(result, Failure)
        self.assertIn("exceeds 1000000 bytes", result.reason)
        self.assertLess(self.sent, 32 * 1024 * 1024)

    def test_drip_is_a_failure(self):
        """Guards against a call that waits for one byte after the other."""

        def send(sock):
            sock.sendall(HEAD + b"Content-Length: 100000\r\n\r\n")
            while True:
                sock.sendall(b" ")
                eventlet.sleep(0.05)

        self.serve(send)
        with eventlet.Timeout(2.1, AssertionError("the call outlasted its time-out")):
            result = self.client().watch(5, 0.1, 1.6)
        self.assertIs(result.code, FailureCode.TIMEOUT)

    def test_drip_in_the_head_is_a_failure(self):
        """Guards against a head that never ends."""

        def send(sock):
            sock.sendall(b"HTTP/1.1 200 OK\r\nX-F: ")
            while True:
                sock.sendall(b"a")
                eventlet.sleep(0.05)

        self.serve(send)
        with eventlet.Timeout(2.1, AssertionError("the call outlasted its time-out")):
            result = self.client().watch(5, 0.1, 1.6)
        self.assertIs(result.code, FailureCode.TIMEOUT)

    def test_time_out_covers_all_parts_of_a_call(self):
        """Guards against a time-out that begins again with each part of an answer."""

        def send(sock):
            for part in (HEAD, b"Content-Length: 9\r\n\r\n", b"{"):
                eventlet.sleep(0.15)
                sock.sendall(part)

        self.serve(send)
        begun_at = time.monotonic()
        result = self.client().watch(5, 0.1, 0.5)
        self.assertIs(result.code, FailureCode.TIMEOUT)
        self.assertAlmostEqual(time.monotonic() - begun_at, 0.5, delta=0.1)

    def test_time_out_covers_the_time_to_connect(self):
        """Guards against a call that waits for a connection without end."""
        proxy = FaultProxy("127.0.0.1:1")
        self.addCleanup(proxy.stop)
        proxy.mode = "cut"
        host, _, port = proxy.address.rpartition(":")
        client = self.store.StoreClient((host, int(port)))
        begun_at = time.monotonic()
        with eventlet.Timeout(5.0, AssertionError("the call never ended")):
            result = client.watch(5, 0.1, 0.4)
        self.assertIs(result.code, FailureCode.TIMEOUT)
        self.assertAlmostEqual(time.monotonic() - begun_at, 0.4, delta=0.1)

    def test_answer_that_came_while_the_host_was_busy_counts(self):
        """Guards against a lost contact whenever the event loop is late."""
        body = json.dumps({"events": [], "AsOf": 9}).encode()

        def send(sock):
            sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            # The event loop stands still.
            time.sleep(0.6)

        self.serve(send)
        self.assertIsInstance(self.client().watch(5, 0.1, 0.3), PlatformUpdate)

    def test_probes_are_not_cut_short(self):
        """Guards against a watch that is lost with a single keep-alive probe.

        Linux gives up at ``TCP_USER_TIMEOUT``, whatever the number of probes.
        """
        options = {option: value for _, option, value in self.store.KEEPALIVE_OPTIONS}
        planned_s = (
            options[socket.TCP_KEEPIDLE]
            + options[socket.TCP_KEEPCNT] * options[socket.TCP_KEEPINTVL]
        )
        self.assertGreaterEqual(options[socket.TCP_USER_TIMEOUT], 1000 * planned_s)

    def test_lost_history_is_told_apart(self):
        """Guards against treating lost history as an outage."""
        self.serve(
            lambda sock: sock.sendall(b"HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n")
        )
        self.assertIsInstance(self.client().watch(5, 0.1, 1.6), HistoryLost)
