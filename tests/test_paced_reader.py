"""Tests of how long one connection may hold the event loop, without network."""

import unittest
from unittest import mock

import eventlet

from cicadalever.budgets import MemoryBudget
from cicadalever.budgets._held_bytes import MIN_REPORTED_BYTES
from cicadalever.wire import AnswerFault, EventLoop, Exchange, ReplicaPool
from cicadalever.wire._paced_reader import (
    FIRST_SLICE_BYTES,
    MAX_PIECES,
    RECEIVE_BYTES,
    PacedReader,
)
from tests.test_wire import NAMES, ScriptedReplica, answer, wait_for

SMALL_CHUNK = b"1\r\na\r\n"


class SocketStandIn:
    """Gives prepared bytes, and notes how many each read asked for."""

    def __init__(self, data):
        self.data = data
        self.asked = []

    def fileno(self):
        """Return a number that is no descriptor."""
        return -1

    def recv(self, size):
        """Return the next bytes."""
        self.asked.append(size)
        if not self.data:
            raise BlockingIOError
        data, self.data = self.data[:size], self.data[size:]
        return data


class TestPacedReader(unittest.TestCase):
    """How much is parsed before others have their turn."""

    def start(self, data, pieces_per_byte=0.0):
        self.loop = mock.Mock()
        self.passed = []
        self.socket = SocketStandIn(data)

        def pass_on(part, has_more):
            self.passed.append((part, has_more))
            return int(len(part) * pieces_per_byte)

        reader = PacedReader(self.loop, self.socket, pass_on, self.fail)
        reader.start()
        self.watch = self.loop.watch_read.return_value
        return reader

    def next_turn(self):
        """Run the callback that waits for its turn."""
        callback = self.loop.take_turn.call_args.args[0]
        self.loop.take_turn.reset_mock()
        callback()

    def test_usual_message_is_passed_on_whole_after_one_read(self):
        """Guards against system calls and copies on the usual path."""
        data = b"a" * FIRST_SLICE_BYTES
        self.start(data, 20 / FIRST_SLICE_BYTES).read()
        self.assertEqual(self.passed, [(data, False)])
        self.assertIs(self.passed[0][0], data)
        self.assertEqual(self.socket.asked, [RECEIVE_BYTES])
        self.loop.take_turn.assert_not_called()
        self.loop.unwatch.assert_not_called()

    def test_large_body_in_one_piece_is_passed_on_whole(self):
        """Guards against slices that make usual large messages slower."""
        data = b"a" * RECEIVE_BYTES
        self.start(data, 1e-5).read()
        self.assertEqual([more for _, more in self.passed], [False])
        self.assertIs(self.passed[0][0], data)

    def test_large_body_of_many_lines_is_passed_on_in_one_turn(self):
        """Guards against large messages that wait although they cost little."""
        data = bytes(range(256)) * 256
        self.start(data, 1e-5).read()
        self.assertEqual(b"".join(part for part, _ in self.passed), data)
        more = [has_more for _, has_more in self.passed]
        self.assertEqual(more, [True] * (len(more) - 1) + [False])
        self.loop.take_turn.assert_not_called()

    def test_many_pieces_end_the_turn(self):
        """Guards against a connection that holds the loop for all that it sent."""
        reader = self.start(SMALL_CHUNK * 30_000, 1 / len(SMALL_CHUNK))
        reader.read()
        self.assertEqual(len(self.passed), 1)
        self.loop.unwatch.assert_called_once_with(self.watch)
        self.loop.take_turn.assert_called_once()
        reader.read()
        self.assertEqual(len(self.passed), 1)
        for turn in range(20):
            self.next_turn()
            self.assertEqual(len(self.passed), 2 + turn)
        self.assertLess(max(map(len, (part for part, _ in self.passed))), 8200)
        self.assertEqual(self.loop.watch_read.call_count, 1)
        self.assertEqual(set(self.socket.asked[1:]), {FIRST_SLICE_BYTES})

    def test_no_byte_is_lost_or_repeated(self):
        """Guards against messages that are damaged by the turns."""
        data = bytes(range(250)) * 1000
        reader = self.start(data, MAX_PIECES / FIRST_SLICE_BYTES * 1.1)
        reader.read()
        while self.loop.take_turn.called:
            self.next_turn()
        self.assertEqual(b"".join(part for part, _ in self.passed), data)
        self.assertEqual(reader.rest_bytes, 0)

    def test_reads_again_when_the_sender_has_nothing_left(self):
        """Guards against connections that are never read again."""
        reader = self.start(SMALL_CHUNK * 100, 1 / len(SMALL_CHUNK))
        reader.read()
        self.assertTrue(reader.is_waiting)
        self.next_turn()
        self.assertFalse(reader.is_waiting)
        self.assertEqual(self.loop.watch_read.call_count, 2)
        self.loop.take_turn.assert_not_called()

    def test_closed_connection_loses_its_turn(self):
        """Guards against bytes that are parsed after the end of a connection."""
        reader = self.start(SMALL_CHUNK * 30_000, 1 / len(SMALL_CHUNK))
        reader.read()
        reader.close()
        self.next_turn()
        self.assertEqual(len(self.passed), 1)
        self.assertEqual(self.loop.watch_read.call_count, 1)
        self.loop.take_turn.assert_not_called()


class TestTurns(unittest.TestCase):
    """Turns beside timers."""

    def test_timers_run_between_turns(self):
        """Guards against timers that wait for all connections with much work."""
        loop = EventLoop()
        order = []
        for number in range(3):
            loop.take_turn(lambda number=number: order.append(number))

        def tick():
            order.append("timer")
            if order.count("timer") < 3:
                loop.call_later(0.0, tick)

        loop.call_later(0.0, tick)
        wait_for(lambda: len(order) == 6)
        self.assertEqual(order, [0, "timer", 1, "timer", 2, "timer"])

    def test_turn_that_fails_does_not_end_the_others(self):
        """Guards against connections that are never read again after an error."""
        loop = EventLoop()
        order = []
        loop.take_turn(lambda: 1 / 0)
        loop.take_turn(lambda: order.append("next"))
        wait_for(lambda: order)
        self.assertEqual(loop.failures, 1)

    def test_callback_that_asks_again_comes_last(self):
        """Guards against one connection that takes the turns of the others."""
        loop = EventLoop()
        order = []

        def again():
            order.append("again")
            if len(order) < 4:
                loop.take_turn(again)

        loop.take_turn(again)
        loop.take_turn(lambda: order.append("other"))
        wait_for(lambda: len(order) == 4)
        self.assertEqual(order, ["again", "other", "again", "again"])


class TestAnswersInSlices(unittest.TestCase):
    """Answers that are parsed in more than one slice."""

    def read(self, pool, count):
        answers = []
        request = b"GET / HTTP/1.1\r\n\r\n"
        for _ in range(count):
            pool.send(Exchange(lambda: request, b"1", 0, answers.append))
        wait_for(lambda: len(answers) == count)
        eventlet.sleep(0.02)
        return answers

    def start(self, *script):
        replica = ScriptedReplica(*script)
        self.addCleanup(replica.stop)
        pool = ReplicaPool(EventLoop(), NAMES, replica.address, 1)
        self.addCleanup(pool.close)
        return replica, pool

    def test_bytes_behind_an_answer_are_not_the_next_one(self):
        """Guards against rows of another answer that are passed to a caller."""
        # The first answer ends with its slice.
        body = b"\n" * (FIRST_SLICE_BYTES - len(answer(body=b"")) - 3)
        first = answer(body=body)
        self.assertEqual(len(first), FIRST_SLICE_BYTES)
        stray = answer(body=b"stray" * 100)
        replica, pool = self.start(first + stray, answer(body=b"own"))
        answers = self.read(pool, 2)
        self.assertEqual([each.body for each in answers], [body, b"own"])
        self.assertEqual(replica.accepted, 2)

    def test_answer_in_small_chunks_is_whole(self):
        """Guards against answers that are damaged or lost by the turns."""
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"".join(b"1\r\n%c\r\n" % (97 + each % 26) for each in range(30_000))
        _, pool = self.start(head + chunks + b"0\r\n\r\n")
        (whole,) = self.read(pool, 1)
        self.assertIsNot(whole.fault, AnswerFault.LOST)
        self.assertIsNone(whole.fault)
        self.assertEqual(whole.body, bytes(97 + each % 26 for each in range(30_000)))

    def test_bytes_that_wait_for_a_turn_are_counted(self):
        """Guards against memory beside the budget of the process."""
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        replica = ScriptedReplica(head + b"1\r\na\r\n" * 10_000 + b"0\r\n\r\n")
        self.addCleanup(replica.stop)
        loop, memory = EventLoop(), MemoryBudget()
        pool = ReplicaPool(loop, NAMES, replica.address, 1, memory=memory)
        self.addCleanup(pool.close)
        counted = []
        take_turn = loop.take_turn

        def count(callback):
            reader = callback.__self__
            counted.append((memory.held_bytes, reader.rest_bytes))
            take_turn(callback)

        with mock.patch.object(loop, "take_turn", count):
            (whole,) = self.read(pool, 1)
        self.assertEqual(whole.body, b"a" * 10_000)
        self.assertEqual(memory.held_bytes, 0)
        large = [(held, rest) for held, rest in counted if rest >= MIN_REPORTED_BYTES]
        self.assertTrue(large)
        self.assertEqual([each for each in large if each[0] < each[1]], [])
