"""Tests of all HTTP clients with answers whose head breaks off."""

import socket
import sys
import threading
import unittest
from pathlib import Path

from cicadalever.cli._client import Client, NoReply
from cicadalever.cli._gateway_status import _read as read_row
from cicadalever.configuration import HttpPlatformReader
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.upstreams import UpstreamCall, UpstreamConnection

PLATFORM = str(Path(__file__).parents[1] / "platform")


class CutServer:
    """Answers each connection with the same bytes and closes it."""

    def __init__(self, answer):
        self.answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def name(self):
        """Address as ``ip:port``."""
        return "{}:{}".format(*self.address)

    def stop(self):
        """Close the listener."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _serve(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with sock:
                sock.settimeout(5.0)
                sock.recv(65536)
                sock.sendall(self.answer)
                # A reset would discard what the client has not read yet.
                sock.shutdown(socket.SHUT_WR)
                sock.recv(65536)


def cut_heads(fields, body):
    """Yield each proper prefix of a head, of answers with and without a length."""
    lengths = (b"Content-Length: %d\r\n" % len(body), b"")
    for length in (*lengths, b"Transfer-Encoding: chunked\r\n"):
        for informational in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
            head = informational + b"HTTP/1.1 200 OK\r\n" + length + fields + b"\r\n"
            for end in range(1, len(head)):
                yield head[:end]


class TestCutHeads(unittest.TestCase):
    """Each client with each place at which a head can break off."""

    def check(self, fields, body, ask, is_failure):
        for data in cut_heads(fields, body):
            server = CutServer(data)
            try:
                with self.subTest(data):
                    self.assertTrue(is_failure(ask(server)))
            finally:
                server.stop()

    def test_upstream_answer(self):
        """Guards against a success with an empty body or a shortened snapshot."""
        call = UpstreamCall("lookup", "r1", "s1", 41, b"{}", 5.0)

        def ask(server):
            connection = UpstreamConnection(server.name)
            try:
                return connection.call(call)
            finally:
                connection.close()

        def is_lost(answer):
            return isinstance(answer, Failure) and answer.code is FailureCode.LOST

        self.check(b"X-Snapshot: 41\r\n", b"[]", ask, is_lost)

    def test_health_of_an_upstream(self):
        """Guards against a state that the upstream has not named."""

        def ask(server):
            connection = UpstreamConnection(server.name)
            try:
                return connection.probe()
            finally:
                connection.close()

        self.check(
            b"X-A: 1\r\n", b'{"state":"ready"}', ask, lambda state: state is None
        )

    def test_store_answer(self):
        """Guards against an era or a revision that the store has not named."""
        sys.path.insert(0, PLATFORM)
        self.addCleanup(sys.path.remove, PLATFORM)
        from cicadalever_platform._store import StoreClient

        def ask(server):
            client = StoreClient(server.address)
            try:
                read = client.read_all(allow_stale=False, timeout_s=2.5)
                return [read, client.watch(5, 0.0, 1.5)]
            finally:
                client.close()

        def have_failed(results):
            return all(isinstance(result, Failure) for result in results)

        body = b'{"items":[],"events":[],"AsOf":41}'
        self.check(b"Store-Era: 12\r\n", body, ask, have_failed)

    def test_configuration_reply(self):
        """Guards against a configuration status that nobody has sent."""

        def ask(server):
            reader = HttpPlatformReader(f"http://{server.name}", timeout_s=5.0)
            try:
                return reader.fetch_hosts(0, 0.0)
            finally:
                reader.close()

        def is_lost(result):
            return isinstance(result, Failure) and result.code is FailureCode.LOST

        self.check(b"X-A: 1\r\n", b'{"hosts":[]}', ask, is_lost)

    def test_reply_to_the_tool(self):
        """Guards against an answer of a host that the tool makes up."""

        def ask(server):
            return Client(read_timeout_s=5.0).get(server.name, "/v1/status")

        def is_lost(reply):
            return isinstance(reply, NoReply) and "with a body" not in reply.reason

        self.check(b"X-A: 1\r\n", b"{}", ask, is_lost)

    def test_metrics_of_a_gateway(self):
        """Guards against a row of zeros for a gateway that has not answered."""

        def ask(server):
            return read_row(server.name)

        self.check(b"X-A: 1\r\n", b"", ask, lambda row: "error" in row)
