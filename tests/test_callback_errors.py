"""Tests of what remains of a request or a loop when a callback raises an exception."""

import errno
import json
import os
import socket
import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet

from cicadalever.budgets import MemoryBudget
from cicadalever.gateway._call import Call
from cicadalever.gateway._events import EventLog
from cicadalever.gateway._relay import _parse_position
from cicadalever.gateway._service import parse_deadline
from cicadalever.gateway._upstream_contact import UpstreamContact
from cicadalever.wire import (
    AnswerFault,
    CallerResponse,
    CallerServer,
    EventLoop,
    Exchange,
    ReplicaConnection,
    ReplicaPool,
    ServerLimits,
)
from tests.platform_standins import ReplicaStandIn, read_message, wait_for
from tests.test_gateway import NAMES, gather_route
from tests.test_gateway_process import GatewayTestCase

ODD_ADDRESSES = (
    "\ufffd\ufffd.\ufffd.\ufffd:8104",
    "127.0.0.1\0:8104",
    "shop.example:8104",
    "[::1]:8104",
    "0.0.0.0:8104",
    "224.0.0.1:8104",
    "127.0.0.1:70000",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:\u0661\u0662",
    ":8104",
    "",
)


def fail(*_):
    """Raise an exception that no caller expects."""
    raise ArithmeticError


class TestUnreadableAddress(GatewayTestCase):
    """A gateway while the list has entries with addresses that are none."""

    def test_orders_are_answered(self):
        """Guards against orders that are accepted and never answered."""
        replica = self.replicas["i-onea"]
        ids = {f"w-{number}" for number, _ in enumerate(ODD_ADDRESSES)}
        for replica_id, address in zip(sorted(ids), ODD_ADDRESSES, strict=True):
            self.store.put(f"servers/{replica_id}", replica.entry(Address=address))
        wait_for(lambda: self.rejected() >= ids, "the rejections")
        for number in range(40):
            for path, method in (("order", "POST"), ("read", "GET")):
                status, _, _ = self.gateway.ask(
                    f"/{path}/x", request_id=f"{path}{number}", method=method
                )
                self.assertEqual(status, 200)
        self.assertEqual(self.gateway.events("message"), [])

    def rejected(self):
        rejected = self.gateway.events("entry_unreadable")
        return {event["replica"] for event in rejected}


class TestReplicaConnections(unittest.TestCase):
    """Connections and pools whose address or callbacks fail."""

    def setUp(self):
        self.loop = EventLoop()
        self.replica = ReplicaStandIn("s", "i-s")
        self.addCleanup(self.replica.stop)
        host, _, port = self.replica.address.rpartition(":")
        self.address = (host, int(port))
        self.answers = []

    def pool(self, address, max_connections=1):
        return ReplicaPool(self.loop, NAMES, address, max_connections)

    def send(self, pool, on_answer=None, encode=lambda: b"GET / HTTP/1.1\r\n\r\n"):
        exchange = Exchange(encode, b"", 0, on_answer or self.answers.append)
        pool.send(exchange)
        return exchange

    def test_address_that_is_none_is_unreachable(self):
        """Guards against a request that is forgotten when the socket refuses it."""
        for host in ("\ufffd.\ufffd", "a\0b", None, "x" * 300 + ".example"):
            pool = self.pool((host, 80))
            self.send(pool)
            wait_for(lambda: self.answers, "the end of the request")
            self.assertEqual(self.answers.pop().fault, AnswerFault.UNREACHABLE)
            self.assertEqual(pool.open_connections, 0)

    def test_used_up_descriptors_are_unreachable(self):
        """Guards against a request that is forgotten when no socket can be had."""
        error = OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        with mock.patch.object(socket, "socket", side_effect=error):
            self.send(self.pool(self.address))
            wait_for(lambda: self.answers, "the end of the request")
        self.assertEqual(self.answers[0].fault, AnswerFault.UNREACHABLE)

    def test_failed_probe_ends(self):
        """Guards against a probe that counts as in progress for good."""
        ended = []
        connection = ReplicaConnection(
            self.loop, NAMES, ("a\0b", 80), fail,
            lambda connection, detail: ended.append(connection.is_connected),
            MemoryBudget(),
        )  # fmt: skip
        connection.connect()
        wait_for(lambda: ended, "the end of the probe")
        self.assertEqual(ended, [False])

    def test_request_that_cannot_be_encoded_ends(self):
        """Guards against a pool that loses a connection with each such request."""
        pool = self.pool(self.address)
        self.send(pool, encode=fail)
        wait_for(lambda: self.answers, "the end of the request")
        self.assertEqual(self.answers.pop().fault, AnswerFault.UNREACHABLE)
        self.send(pool, encode=self.request)
        wait_for(lambda: self.answers, "the answer")
        self.assertIsNone(self.answers[0].fault)

    def test_connection_survives_a_failing_receiver(self):
        """Guards against a connection that is busy for good after one exception."""
        pool = self.pool(self.address)
        self.send(pool, on_answer=fail, encode=self.request)
        wait_for(lambda: self.loop.failures, "the failure")
        self.send(pool, encode=self.request)
        wait_for(lambda: self.answers, "the answer")
        self.assertEqual(self.replica.connections, 1)

    def request(self):
        return (
            b"GET /x HTTP/1.1\r\nX-Request-Id: 1\r\nX-Expect-Instance: i-s\r\n"
            b"Content-Length: 0\r\n\r\n"
        )


class TestCallerServer(unittest.TestCase):
    """Requests whose processing raises an exception."""

    def test_request_is_answered(self):
        """Guards against a caller that waits although nobody works on its request."""
        loop = EventLoop()
        cancelled = []

        def handle(connection, request):
            connection.on_disconnect = lambda: cancelled.append(request)
            if request.target == b"/fail":
                fail()
            connection.respond(CallerResponse(204, []))

        server = CallerServer(
            loop, ("127.0.0.1", 0), handle, ServerLimits(4096, 4096, 3.0, 3.0)
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        sock = eventlet.connect(server._socket.getsockname())
        self.addCleanup(sock.close)
        for path, expected in ((b"/fail", "500"), (b"/", "204")):
            sock.sendall(b"GET %s HTTP/1.1\r\n\r\n" % path)
            with eventlet.Timeout(5.0, AssertionError("no answer")):
                start_line, _, _, _ = read_message(sock)
            self.assertEqual(start_line.split()[1], expected)
        self.assertEqual([each.target for each in cancelled], [b"/fail"])


class TestCalls(unittest.TestCase):
    """Callbacks of a request in progress."""

    def test_failed_timer_ends_the_request(self):
        """Guards against a request without a timer after its last one has failed."""
        loop, ended = EventLoop(), []
        runner = SimpleNamespace(loop=loop)
        call = Call(None, gather_route("a"), None, runner, None, None)
        call.on_error = lambda: ended.append(True)
        call._on_timer = fail
        call._set_timer(loop.now())
        wait_for(lambda: ended, "the end of the request")
        self.assertEqual(loop.failures, 1)


class TestUpstreamContact(unittest.TestCase):
    """The loop that probes replicas."""

    def test_failed_check_is_followed_by_another(self):
        """Guards against probes that end for good with one exception."""
        loop = EventLoop()
        runner = SimpleNamespace(loop=loop, selector=SimpleNamespace(data_centre="a"))
        contact = UpstreamContact(runner, SimpleNamespace(), None)
        with mock.patch.object(contact, "_act", side_effect=ArithmeticError) as act:
            contact.start()
            wait_for(lambda: act.call_count >= 3, "further checks")


class TestEventLog(unittest.TestCase):
    """Lines with values that JSON cannot hold."""

    def test_odd_values_are_written_as_text(self):
        """Guards against an exception in the code that logs a value of others."""
        log = EventLog("host")
        with mock.patch("os.write", return_value=0) as write:
            for value in (2**70, "\ud800", b"\xff"):
                record = {
                    "time": SimpleNamespace(timestamp=lambda: 1.0),
                    "extra": {"event": "e", "fields": {"value": value}},
                }
                log._partial_line = b""
                log._write(SimpleNamespace(record=record))
                self.assertIn("value", json.loads(write.call_args.args[1]))


class TestLongNumbers(GatewayTestCase):
    """Numbers of many digits in headers of callers and hosts."""

    def test_request_is_answered(self):
        """Guards against a request without an answer because of its deadline."""
        for digits in (18, 400, 5000):
            for path in ("/read/x", "/search/q"):
                status, _, _ = self.gateway.ask(
                    path, request_id=f"d{digits}", deadline_ms="9" * digits
                )
                self.assertEqual(status, 200)

    def test_numbers_are_bounded(self):
        """Guards against a number that no float can hold."""
        self.assertLess(parse_deadline(b"9" * 400), 1e13)
        self.assertEqual(parse_deadline(b"0" * 400 + b"250"), 0.25)
        self.assertIsNone(_parse_position(b"1-" + b"9" * 5000))
