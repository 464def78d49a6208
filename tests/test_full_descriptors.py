"""Tests of connections when the descriptors of the process are used up."""

import errno
import socket
import unittest
from unittest import mock

import eventlet

from cicadalever.budgets import DescriptorBudget, DescriptorKind, DescriptorShare
from cicadalever.wire import (
    AnswerFault,
    CallerResponse,
    CallerServer,
    EventLoop,
    Exchange,
    ReplicaPool,
)
from tests.test_wire import LIMITS, NAMES, WAIT_S, ScriptedReplica, answer, wait_for

# So few that each kind has one connection.
FEW = 250


class TestFullServer(unittest.TestCase):
    """Connections of callers beyond what the server may have."""

    def setUp(self):
        self.connections = []
        self.holds_responses = False
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        self.address = sock.getsockname()
        sock.close()
        share = DescriptorShare(DescriptorBudget(FEW), DescriptorKind.CALLER)
        self.server = CallerServer(
            EventLoop(), self.address, self.handle, LIMITS, None, share
        )
        self.server.start()
        self.addCleanup(self.server.stop_accepting)

    def handle(self, connection, request):
        self.connections.append(connection)
        if not self.holds_responses:
            connection.respond(CallerResponse(200, [], request.target))

    def connect(self):
        sock = eventlet.connect(self.address)
        self.addCleanup(sock.close)
        return sock

    def ask(self, sock):
        with eventlet.Timeout(WAIT_S, AssertionError("no answer")):
            sock.sendall(b"GET /a HTTP/1.1\r\n\r\n")
            return sock.recv(65536)

    def is_closed(self, sock):
        with eventlet.Timeout(WAIT_S, AssertionError("not closed")):
            try:
                return sock.recv(1) == b""
            except ConnectionResetError:
                return True

    def test_silent_connection_gives_way(self):
        """Guards against idle callers who keep new ones out."""
        silent = self.connect()
        wait_for(lambda: self.server.connections)
        self.assertIn(b"200 OK", self.ask(self.connect()))
        self.assertTrue(self.is_closed(silent))

    def test_connection_in_use_stays(self):
        """Guards against a request that ends because others connect."""
        self.holds_responses = True
        busy = self.connect()
        busy.sendall(b"GET /a HTTP/1.1\r\n\r\n")
        wait_for(lambda: self.connections)
        self.assertTrue(self.is_closed(self.connect()))
        self.connections[0].respond(CallerResponse(200, [], b"late"))
        self.assertIn(b"late", busy.recv(65536))

    def test_idle_again_connection_gives_way(self):
        """Guards against connections that keep their place after their request."""
        used = self.connect()
        self.ask(used)
        self.assertIn(b"200 OK", self.ask(self.connect()))
        self.assertTrue(self.is_closed(used))

    def test_listener_rests_and_goes_on_when_the_kernel_has_none(self):
        """Guards against a loop that spins, and against a host that accepts no more."""
        error = OSError(errno.EMFILE, "too many open files")
        failing = mock.Mock(
            accept=mock.Mock(side_effect=error), fileno=self.server._socket.fileno
        )
        sound, self.server._socket = self.server._socket, failing
        sock = self.connect()
        eventlet.sleep(0.12)
        self.assertIn(failing.accept.call_count, range(1, 5))
        self.server._socket = sound
        self.assertIn(b"200 OK", self.ask(sock))


class TestFullPools(unittest.TestCase):
    """Connections to replicas beyond what all pools together may have."""

    def setUp(self):
        share = DescriptorShare(DescriptorBudget(FEW), DescriptorKind.REPLICA)
        self.pools = []
        for _ in range(2):
            replica = ScriptedReplica(answer())
            self.addCleanup(replica.stop)
            pool = ReplicaPool(
                EventLoop(), NAMES, replica.address, 4, descriptors=share
            )
            self.addCleanup(pool.close)
            self.pools.append(pool)

    def read(self, pool):
        answers = []
        request = b"GET / HTTP/1.1\r\n\r\n"
        pool.send(Exchange(lambda: request, b"1", 0, answers.append))
        return answers

    def test_idle_connection_of_another_pool_gives_way(self):
        """Guards against replicas out of reach because of idle connections."""
        for pool in self.pools:
            answers = self.read(pool)
            wait_for(lambda got=answers: got)
            self.assertIsNone(answers[0].fault)
        self.assertEqual([pool.open_connections for pool in self.pools], [0, 1])

    def test_read_without_a_connection_ends_at_once(self):
        """Guards against reads that wait for a connection of another replica."""
        first = self.read(self.pools[0])
        second = self.read(self.pools[1])
        wait_for(lambda: first and second)
        self.assertIsNone(first[0].fault)
        self.assertIs(second[0].fault, AnswerFault.UNREACHABLE)

    def test_connections_in_advance_close_no_others(self):
        """Guards against pools that close each other's connections in turn."""
        self.pools[0].warm_up()
        wait_for(lambda: self.pools[0].has_idle)
        self.pools[1].warm_up()
        self.assertEqual([pool.open_connections for pool in self.pools], [1, 0])
