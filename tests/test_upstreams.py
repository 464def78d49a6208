"""Tests of the HTTP calls to upstreams."""

import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from cicadalever.upstreams import UpstreamAnswer, UpstreamCall, UpstreamConnection
from cicadalever.upstreams._connection import CONNECT_TIMEOUT_S


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
