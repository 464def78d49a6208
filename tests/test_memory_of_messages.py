"""Tests of memory that messages take after their end or beside their bodies."""

import contextlib
import gc
import tracemalloc
import unittest
import weakref

import eventlet

from cicadalever.budgets import HeldKind, MemoryBudget
from cicadalever.wire import EventLoop, Exchange, ReplicaPool
from cicadalever.wire._answer_parser import AnswerParser
from tests.platform_standins import ReplicaStandIn, wait_for
from tests.test_memory_limit import FloodTestCase

from .test_endless_bytes import HEAD
from .test_wire import NAMES

MIB = 1024 * 1024
# Memory that an idle connection may take beside its buffers.
IDLE_BYTES = 256 * 1024
# Short fields with names of their own, within the limit of 16,384 bytes for a head.
SMALL_FIELDS = b"".join(b"b%c:\r\n" % (97 + i % 26) for i in range(3100))


class TestIdleReplicaConnections(unittest.TestCase):
    """A connection without an exchange holds nothing of the one before."""

    def exchange(self, request, answer, on_interim=None):
        """Return the memory in use after an exchange, on an idle connection."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            sock, _ = listener.accept()
            left = len(request)
            while left > 0:
                left -= len(sock.recv(65536))
            sock.sendall(answer)
            eventlet.sleep(5.0)

        thread = eventlet.spawn(serve)
        self.addCleanup(thread.kill)
        pool = ReplicaPool(EventLoop(), NAMES, listener.getsockname(), 1)
        statuses = []
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        encode = lambda: request[:-1] + request[-1:]  # noqa: E731
        pool.send(
            Exchange(
                encode,
                b"1",
                0,
                lambda answer: statuses.append(answer.status),
                on_interim,
            )
        )
        wait_for(lambda: statuses)
        eventlet.sleep(0.05)
        self.assertEqual(statuses, [200])
        self.assertTrue(pool.has_idle)
        self.assertEqual(pool.memory.held_bytes, 0)
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before

    def test_answer_is_freed(self):
        """Guards against idle connections that keep the answer before."""
        body = b"a" * (4 * MIB)
        answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        request = b"GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n"
        self.assertLess(self.exchange(request, answer), IDLE_BYTES)

    def test_request_is_freed(self):
        """Guards against idle connections that keep the request before."""
        body = b"a" * (2 * MIB)
        request = b"POST / HTTP/1.1\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s"
        answer = HEAD + b"Content-Length: 0\r\n\r\n"
        self.assertLess(self.exchange(request % (len(body), body), answer), IDLE_BYTES)

    def test_receiver_of_acknowledgements_is_freed(self):
        """Guards against connections to peers that keep the last query."""

        def ignore(headers):
            pass

        freed = weakref.ref(ignore)
        request = b"GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n"
        self.exchange(request, HEAD + b"Content-Length: 0\r\n\r\n", ignore)
        del ignore
        self.assertIsNone(freed())


class TestAnswerHeads(unittest.TestCase):
    """The head of an unfinished answer is counted with what its fields take."""

    def test_small_fields_are_counted(self):
        """Guards against heads that take many times the memory of their bytes."""
        memory = MemoryBudget(64 * MIB)
        parsers = [AnswerParser(NAMES, memory) for _ in range(20)]
        head = HEAD + SMALL_FIELDS[: 5 * 1900]
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for parser in parsers:
            parser.begin(b"1")
            parser.feed(head)
        used = tracemalloc.get_traced_memory()[0] - before
        self.assertLess(used, 2 * memory.held_bytes + 20 * 64 * 1024)


class TestFailingDrops(unittest.TestCase):
    """A holder that fails to free its bytes affects no other one."""

    def test_other_holder_is_not_affected(self):
        """Guards against an error of one connection that reaches another's reader."""
        memory = MemoryBudget(1000)

        def fail():
            raise RuntimeError("cannot free")

        dropped = []
        memory.on_dropped = dropped.append
        memory.hold("a", HeldKind.ANSWER, 900, fail)
        memory.hold("b", HeldKind.UPLOAD, 200, lambda: None)
        self.assertEqual(len(dropped), 1)


class TestCallers(FloodTestCase):
    """Callers that keep to the limits of a connection do not end the process."""

    def setUp(self):
        super().setUp()
        # A socket of eventlet closes when nothing refers to it.
        self.socks = []

    def connect(self):
        sock = eventlet.connect(self.gateway.caller_address)
        self.socks.append(sock)
        self.addCleanup(sock.close)
        return sock

    def head(self, method, path, number):
        lines = b"%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r%d\r\n"
        deadline = b"X-Request-Deadline: 8000\r\n"
        return lines % (method, path, number) + deadline

    def receive_all(self, sock, path, number):
        """Send a request and read all of its response."""
        sock.sendall(self.head(b"GET", path, number) + b"\r\n")
        received = b""
        with eventlet.Timeout(5.0, OSError("no response")):
            while b"\r\n\r\n" not in received:
                data = sock.recv(65536)
                if not data:
                    return
                received += data
            head, _, body = received.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            left = length - len(body)
            while left > 0:
                data = sock.recv(min(left, 65536))
                if not data:
                    return
                left -= len(data)

    def assert_alive(self):
        peak_mb = self.limit.peak_bytes / 1e6
        print(f"{self.id()}: peak {peak_mb:.0f} MB")
        self.assertFalse(self.limit.was_exceeded, f"peak {peak_mb:.0f} MB")
        self.assertIsNone(self.gateway.process.poll())

    def start_bad_replicas(self, count, record, behaviour="answer"):
        """Publish further replicas, of the service ``bad``."""
        for number in range(count):
            replica = ReplicaStandIn("bad", f"i-bad{number}", record)
            self.addCleanup(replica.stop)
            replica.behaviour = behaviour
            self.store.put(f"servers/{replica.id}", replica.entry())
        known = len(self.replicas) + count
        wait_for(
            lambda: len(self.gateway.events("replica_changed")) >= known, "replicas"
        )

    def test_idle_connections_after_large_responses(self):
        """Guards against idle connections that keep their last response."""
        for replica in self.replicas:
            replica.record = b"1" * 1_000_000
        for number in range(300):
            if self.limit.was_exceeded:
                break
            with contextlib.suppress(OSError):
                self.receive_all(self.connect(), b"/read/x", number)
        self.assert_alive()

    def test_idle_replica_connections_after_large_answers(self):
        """Guards against idle connections to replicas that keep the last answer."""
        self.start_bad_replicas(24, b"1" * 8_000_000)

        def ask(number):
            with contextlib.suppress(OSError):
                sock = self.connect()
                self.receive_all(sock, b"/bad/x", number)
                sock.close()

        for start in range(0, 90, 3):
            threads = [eventlet.spawn(ask, start + each) for each in range(3)]
            for thread in threads:
                thread.wait()
        self.assert_alive()

    def test_bodies_of_callers_who_leave(self):
        """Guards against requests that stay in queues when their callers have gone."""
        self.start_bad_replicas(20, b"1" * 16, "hang")
        body = b"b" * 260_000

        def ask(number):
            with contextlib.suppress(OSError):
                sock = self.connect()
                head = self.head(b"GET", b"/bad/x", number)
                sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                eventlet.sleep(0.1)
                sock.close()

        callers = eventlet.GreenPool(60)
        for number in range(6000):
            callers.spawn(ask, number)
        callers.waitall()
        self.assert_alive()

    def test_small_fields_of_pipelined_requests(self):
        """Guards against heads of waiting requests that are not counted."""
        self.start_bad_replicas(8, b"1" * 16, "hang")
        for number in range(100):
            sock = self.connect()
            sock.sendall(self.head(b"GET", b"/bad/x", number) + b"\r\n")
            head = self.head(b"GET", b"/bad/x", number) + SMALL_FIELDS + b"\r\n"
            eventlet.sleep(0.01)
            sock.sendall(head * 15)
        eventlet.sleep(2.0)
        self.assert_alive()

    def test_bytes_after_a_request_do_not_answer_it(self):
        """Guards against a refusal of later bytes that answers an earlier request."""
        for replica in self.replicas:
            replica.delay_s = 0.5
        sock = self.connect()
        sock.sendall(self.head(b"GET", b"/read/x", 1) + b"\r\n")
        eventlet.sleep(0.1)
        sock.sendall(b"\0garbage\r\n\r\n")
        with eventlet.Timeout(3.0):
            first = sock.recv(65536)
        self.assertEqual(first.partition(b"\r\n")[0][:12], b"HTTP/1.1 200")

    def test_request_in_one_segment_with_garbage_is_answered(self):
        """Guards against requests that are forgotten when what follows is refused."""
        sock = self.connect()
        request = self.head(b"GET", b"/read/x", 1) + b"\r\n"
        sock.sendall(request + b"\0\n" * 5000)
        with eventlet.Timeout(3.0):
            first = sock.recv(65536)
        self.assertEqual(first.partition(b"\r\n")[0][:12], b"HTTP/1.1 200")
