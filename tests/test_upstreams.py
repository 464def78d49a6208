"""Tests of the HTTP calls to upstreams."""

import subprocess
import sys
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from cicadalever.upstreams import UpstreamAnswer, UpstreamCall, UpstreamConnection
from cicadalever.upstreams._connection import CONNECT_TIMEOUT_S

# Calls an upstream that sends a byte of a long body every 50 ms.
TRICKLING_UPSTREAM = """
import eventlet
eventlet.monkey_patch()
import time
from cicadalever.upstreams import UpstreamCall, UpstreamConnection

def serve(sock, address):
    sock.recv(65536)
    sock.sendall(b"HTTP/1.1 200 OK\\r\\nX-Snapshot: 41\\r\\n")
    sock.sendall(b"Content-Length: 60\\r\\n\\r\\n")
    for _ in range(60):
        sock.sendall(b" ")
        time.sleep(0.05)

listener = eventlet.listen(("127.0.0.1", 0))
eventlet.spawn(eventlet.serve, listener, serve)
connection = UpstreamConnection("127.0.0.1:%d" % listener.getsockname()[1])
started_at = time.monotonic()
call = UpstreamCall("read", "r1", "s/s00", 41, b"{}", 0.2)
result = connection.REQUEST
seconds = time.monotonic() - started_at
print(getattr(result, "code", result), seconds)
"""

# Calls upstreams that stop in the middle of long bodies, and one that answers at once.
STOPPING_UPSTREAMS = """
import eventlet
eventlet.monkey_patch()
import resource
from collections import Counter
from cicadalever.budgets import MemoryBudget
from cicadalever.upstreams import UpstreamCall, UpstreamConnection

HEAD = b"HTTP/1.1 200 OK\\r\\nX-Snapshot: 41\\r\\nContent-Length: %d\\r\\n\\r\\n"
PIECE = b" " * 100_000

def stop(sock, address):
    sock.recv(65536)
    try:
        sock.sendall(HEAD % 8_000_000)
        for _ in range(70):
            sock.sendall(PIECE)
        eventlet.sleep(10)
    except OSError:
        pass

def answer(sock, address):
    while sock.recv(65536):
        sock.sendall(HEAD % 2 + b"[]")

def connect(handler):
    listener = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn(eventlet.serve, listener, handler)
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    return UpstreamConnection(address, memory=memory)

def call(connection):
    result = connection.call(UpstreamCall("read", "r1", "s/s00", 41, b"{}", 2.0))
    return str(getattr(result, "code", "answered"))

def peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000

memory = MemoryBudget(20_000_000)
sound = connect(answer)
calls = Counter([call(sound)])
before = peak_mb()
stopping = [eventlet.spawn(call, connect(stop)) for _ in range(16)]
for _ in range(15):
    eventlet.sleep(0.1)
    calls[call(sound)] += 1
ends = Counter(thread.wait() for thread in stopping)
print(calls["answered"], ends["unknown"], ends["timeout"], memory.held_bytes,
      peak_mb() - before)
"""


class SlowHandler(BaseHTTPRequestHandler):
    """Answers later than the connect timeout."""

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(CONNECT_TIMEOUT_S + 0.3)
        self.send_response(200)
        self.send_header("X-Snapshot", self.headers["X-Snapshot"])
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"[]")

    def log_message(self, *args):
        pass


class TestUpstreamConnection(unittest.TestCase):
    """One call over one connection."""

    def test_answer_slower_than_the_connect_timeout(self):
        """Guards against applying the connect timeout to the answer of a slow call."""
        server = HTTPServer(("127.0.0.1", 0), SlowHandler)
        self.addCleanup(server.server_close)
        thread = threading.Thread(target=server.handle_request)
        thread.start()
        self.addCleanup(thread.join)
        connection = UpstreamConnection(f"127.0.0.1:{server.server_address[1]}")
        self.addCleanup(connection.close)
        call = UpstreamCall("read", "r1", "reports/s00", 41, b"{}", 60.0)
        self.assertEqual(connection.call(call), UpstreamAnswer(b"[]", 41, False))

    def test_answer_that_trickles_ends_with_the_deadline(self):
        """Guards against a slot that is held while bytes arrive now and then."""
        for request, end, limit_s in (
            ("call(call)", "timeout", 1.0),
            ("probe()", "None", 1.0),
            ("cancel('r1')", "None", 2.0),
        ):
            with self.subTest(request):
                source = TRICKLING_UPSTREAM.replace("REQUEST", request)
                script = subprocess.run(
                    [sys.executable, "-W", "ignore", "-c", source],
                    capture_output=True, text=True, timeout=30.0, check=True,
                )  # fmt: skip
                code, seconds = script.stdout.split()
                self.assertEqual(code, end)
                self.assertLess(float(seconds), limit_s)

    def test_unfinished_answers_have_a_common_limit(self):
        """Guards against memory that grows with the number of unfinished answers."""
        script = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", STOPPING_UPSTREAMS],
            capture_output=True, text=True, timeout=30.0, check=True,
        )  # fmt: skip
        answered, dropped, timed_out, held, growth_mb = script.stdout.split()
        self.assertEqual(int(answered), 16)
        self.assertGreater(int(dropped), 8)
        self.assertEqual(int(dropped) + int(timed_out), 16)
        self.assertEqual(int(held), 0)
        self.assertLess(float(growth_mb), 45.0)
