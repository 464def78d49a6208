"""Tests of the client of the platform's store against answers that never end."""

import contextlib
import json
import socket
import sys
import threading
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
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Each is sent once, and then its second part without end.
ENDLESS_ANSWERS = {
    "trailer": (CHUNKED + b"0\r\n", b"X: 1\r\n"),
    "short_trailer_lines": (CHUNKED + b"0\r\n", b"a\n"),
    "chunk_extensions": (CHUNKED, b"1;%s\r\n \r\n" % (b"e" * 8000)),
    "chunks_of_one_byte": (CHUNKED, b"1\r\n \r\n"),
    "header_lines": (HEAD, b"X: %s\r\n" % (b"a" * 60_000)),
    "interim_answers": (b"", b"HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"),
}
# Most bytes that an endless server sends, so that an unbounded client ends too.
MAX_ENDLESS_BYTES = 128 * 1024 * 1024
# Time for which a call may keep other green threads from running.
MAX_GAP_S = 0.25


class EndlessServer:
    """Answers the first request from a thread of its own, as fast as it can."""

    def __init__(self, first: bytes, repeated: bytes):
        self.sent = 0
        self._first = first
        self._block = repeated * (65_536 // len(repeated) + 1)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Wait until the client has closed the connection."""
        self._thread.join(10.0)
        self._listener.close()

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        with sock, contextlib.suppress(OSError):
            sock.recv(65_536)
            sock.sendall(self._first)
            while self.sent < MAX_ENDLESS_BYTES:
                sock.sendall(self._block)
                self.sent += len(self._block)


class Ticker:
    """Measures the longest time for which its green thread could not run."""

    def __init__(self):
        self.longest_gap_s = 0.0
        self._thread = eventlet.spawn(self._run)
        eventlet.sleep(0.0)

    def close(self) -> None:
        """Stop after one more turn, which ends the last gap."""
        eventlet.sleep(0.02)
        self._thread.kill()

    def _run(self) -> None:
        last = time.monotonic()
        while True:
            eventlet.sleep(0.005)
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - last)
            last = now


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

    def test_endless_framing_is_a_failure(self):
        """Guards against framing without end that keeps other calls from running."""
        for name, (first, repeated) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                server = EndlessServer(first, repeated)
                self.addCleanup(server.close)
                client = self.store.StoreClient(server.address)
                ticker = Ticker()
                result = client.watch(5, 0.1, 1.6)
                ticker.close()
                client.close()
                self.assertIsInstance(result, Failure)
                codes = (FailureCode.UNREACHABLE, FailureCode.TIMEOUT)
                self.assertIn(result.code, codes)
                self.assertLess(ticker.longest_gap_s, MAX_GAP_S)
                self.assertLess(server.sent, self.store.MAX_ANSWER_BYTES * 2)

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
