"""Tests against servers and callers that send bytes without end, and of cut streams."""

import gc
import tracemalloc
import unittest
from random import Random

import eventlet
from eventlet.patcher import original
from hypothesis import given
from hypothesis import strategies as st

from cicadalever.budgets import MemoryBudget
from cicadalever.gather import ShardAnswer, merge_top_records, shorten_answer
from cicadalever.wire import EventLoop, Exchange, ReplicaPool
from cicadalever.wire._answer_parser import MAX_OVERHEAD_BYTES, AnswerParser

from .test_wire import NAMES, answer, wait_for

MIB = 1024 * 1024
# The sender gives up after this many bytes.
MAX_SENT = 64 * MIB
# Most bytes that a connection may take: the bound of the reader, and what the kernel
# buffers on both sides of a loopback connection.
MAX_TAKEN = 24 * MIB
REQUEST = b"GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
FILLER = b"a" * 60000


def endless_streams():
    """Return a prefix and a repeated piece for each kind of endless answer."""
    return {
        "header fields": (HEAD, b"X-Filler: %s\r\n" % FILLER[:100]),
        "header value": (HEAD + b"X-Filler: ", FILLER),
        "status text": (b"HTTP/1.1 200 ", FILLER),
        "empty lines": (b"", b"\r\n" * 1000),
        "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        "informational fields": (b"", b"HTTP/1.1 102 Wait\r\nX-F: 1\r\n\r\n" * 100),
        "foreign answers": (b"", answer(b"0", b"old") * 100),
        "chunked body": (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"ea60\r\n%s\r\n" % FILLER,
        ),
        "chunk extension": (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4;x=",
            FILLER,
        ),
        "trailers": (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-Filler: %s\r\n" % FILLER[:100],
        ),
        "body until close": (HEAD + b"\r\n", FILLER),
    }


class EndlessSender:
    """Accepts one connection, reads a request and sends until the other side closes.

    ``sent`` counts the bytes, and ``ended`` is set when the connection was closed or
    ``MAX_SENT`` was reached. A thread of the operating system sends, because a busy
    sender in the tested event loop would hide a reader that never pauses.
    """

    def __init__(self, prefix, piece):
        self.prefix = prefix
        self.piece = piece
        self.sent = 0
        self.ended = original("threading").Event()
        self._listener = original("socket").socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(1)
        self.address = self._listener.getsockname()
        self._thread = original("threading").Thread(target=self._serve, daemon=True)
        self._thread.start()

    def stop(self):
        """Close the listener."""
        self._listener.close()

    def _serve(self):
        sock, _ = self._listener.accept()
        with sock:
            sock.settimeout(20.0)
            try:
                sock.recv(65536)
                sock.sendall(self.prefix)
                while self.sent < MAX_SENT:
                    sock.sendall(self.piece)
                    self.sent += len(self.piece)
            except OSError:
                pass
        self.ended.set()


class TestEndlessAnswers(unittest.TestCase):
    """A replica that sends bytes without end is dropped after a bounded number."""

    def read_endless(self, prefix, piece):
        sender = EndlessSender(prefix, piece)
        self.addCleanup(sender.stop)
        pool = ReplicaPool(EventLoop(), NAMES, sender.address, 1)
        answers = []
        pool.send(Exchange(lambda: REQUEST, b"1", 0, answers.append))
        wait_for(lambda: answers or sender.ended.is_set())
        wait_for(sender.ended.is_set)
        eventlet.sleep(0.01)
        return sender, pool, answers

    def test_each_kind_is_oversized_and_bounded(self):
        """Guards against a replica that fills the memory or the link of a host."""
        for name, (prefix, piece) in endless_streams().items():
            with self.subTest(name):
                sender, pool, answers = self.read_endless(prefix, piece)
                self.assertLess(sender.sent, MAX_TAKEN)
                self.assertEqual([each.fault for each in answers], ["oversized"])
                self.assertEqual(pool.open_connections, 0)

    def test_answers_share_one_memory(self):
        """Guards against many large answers that fill the memory together."""
        memory = MemoryBudget(4 * MIB)
        parsers = [AnswerParser(NAMES, memory) for _ in range(8)]
        for parser in parsers:
            parser.begin(b"1")
            parser.feed(HEAD + b"Content-Length: %d\r\n\r\n" % MIB)
        for _ in range(15):
            for parser in parsers:
                parser.feed(FILLER)
        self.assertLessEqual(memory.held_bytes, memory.max_bytes)
        dropped = [each for each in parsers if each.fault_detail is not None]
        self.assertGreater(len(dropped), 0)
        self.assertLess(len(dropped), len(parsers))
        for parser in parsers:
            parser.release()
        self.assertEqual(memory.held_bytes, 0)

    def test_closed_connection_frees_its_answer(self):
        """Guards against pieces that stay until reference cycles are collected."""
        memory = MemoryBudget(4 * MIB)
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        parsers = []
        for _ in range(32):
            parser = AnswerParser(NAMES, memory)
            parser.begin(b"1")
            parser.feed(HEAD + b"\r\n" + FILLER * 10)
            parser.close()
            parsers.append(parser)
        self.assertLess(tracemalloc.get_traced_memory()[0], MIB)
        self.assertEqual(memory.held_bytes, 0)

    def test_many_short_header_fields(self):
        """Guards against fields that take more memory than their bytes."""
        parser = AnswerParser(NAMES, MemoryBudget())
        parser.begin(b"1")
        parser.feed(HEAD + b"a:b\r\n" * (MAX_OVERHEAD_BYTES // 10))
        self.assertIn("header fields", parser.fault_detail)

    def test_small_answers_are_not_dropped_for_a_large_one(self):
        """Guards against an endless answer that costs others theirs."""
        memory = MemoryBudget(MIB)
        small, large = AnswerParser(NAMES, memory), AnswerParser(NAMES, memory)
        for parser in (small, large):
            parser.begin(b"1")
            parser.feed(HEAD + b"\r\n")
        for _ in range(40):
            small.feed(FILLER[:1000])
            large.feed(FILLER)
        self.assertIsNone(small.fault_detail)
        self.assertIsNotNone(large.fault_detail)


class TestLegalAnswers(unittest.TestCase):
    """Answers at the bounds pass."""

    def parse(self, data, memory=None):
        parser = AnswerParser(NAMES, memory or MemoryBudget())
        parser.begin(b"1")
        parser.feed(data)
        self.assertIsNone(parser.fault_detail)
        return parser.answer

    def test_body_of_the_greatest_size(self):
        """Guards against rejecting a large answer that fits."""
        memory = MemoryBudget(4 * MIB)
        body = b"b" * memory.max_holder_bytes
        self.assertEqual(self.parse(answer(b"1", body), memory).body, body)
        self.assertEqual(memory.held_bytes, 0)

    def test_body_in_chunks_of_one_byte(self):
        """Guards against counting the framing of small chunks as overhead."""
        chunks = b"1\r\nb\r\n" * 400_000
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        self.assertEqual(len(self.parse(data).body), 400_000)

    def test_head_of_nearly_the_greatest_size(self):
        """Guards against rejecting the signatures of a query over many shards."""
        lines = b"X-Parts: %s\r\n" % FILLER * (MAX_OVERHEAD_BYTES // len(FILLER))
        self.assertEqual(self.parse(answer(b"1", extra=lines)).status, 200)

    def test_long_answers_of_shards_are_shortened(self):
        """Guards against keeping records that cannot be among the greatest."""
        records = b"".join(b"%016d" % number for number in range(1000))
        long = ShardAnswer("a", "s", records)
        short = shorten_answer(long, 5)
        self.assertEqual(len(short.records), 80)
        self.assertEqual(merge_top_records([short], 5), merge_top_records([long], 5))

    @given(st.integers(0, 2**32 - 1), st.integers(0, 300), st.integers(0, 15))
    def test_shortening_keeps_the_greatest_records(self, seed, count, trailing):
        """Guards against records that are lost between two blocks of an answer."""
        rng = Random(seed)
        distinct = rng.randrange(1, 10_000)
        records = b"".join(b"%016d" % rng.randrange(distinct) for _ in range(9_000))
        long = ShardAnswer("a", "s", records + b"9" * trailing)
        short = shorten_answer(long, count)
        self.assertEqual(
            merge_top_records([short], count), merge_top_records([long], count)
        )

    def test_shortening_takes_little_memory(self):
        """Guards against copies of all records of an answer of megabytes."""
        long = ShardAnswer("a", "s", Random(1).randbytes(4 * MIB))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        shorten_answer(long, 10)
        self.assertLess(tracemalloc.get_traced_memory()[1], len(long.records))


# Pieces of streams: answers to this request, to others, informational ones and junk.
stream_pieces = st.lists(
    st.sampled_from(
        [
            answer(b"1", b"body"),
            answer(b"0", b"old"),
            answer(b"1", b"b" * 20_000),
            answer(b"1", extra=b"X-F: %s\r\n" % FILLER),
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz",
            HEAD + b"\r\n" + b"c" * 9000,
            b"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 102 Wait\r\n\r\n",
            b"\r\n",
            b"\x00junk",
            FILLER,
            FILLER * 6,
        ]
    ),
    max_size=4,
)


class TestCutStreams(unittest.TestCase):
    """The result does not depend on how a stream was cut into segments."""

    def result_of(self, pieces, *, is_used):
        memory = MemoryBudget(400_000)
        parser = AnswerParser(NAMES, memory)
        if is_used:
            parser.begin(b"before")
            parser.feed(answer(b"before"))
        parser.begin(b"1")
        for piece in pieces:
            parser.feed(piece)
            if parser.answer is not None or parser.fault_detail is not None:
                break
        else:
            parser.end_of_stream()
        parser.release()
        if parser.answer is not None:
            return parser.answer
        return "fault" if parser.fault_detail is not None else "lost"

    def assert_same(self, stream, pieces, is_used):
        whole = self.result_of([stream], is_used=is_used)
        self.assertEqual(self.result_of(pieces, is_used=is_used), whole)

    @given(stream_pieces, st.booleans(), st.randoms(use_true_random=False))
    def test_random_pieces(self, stream_parts, is_used, rng):
        """Guards against answers that are accepted or rejected by chance."""
        stream = b"".join(stream_parts)
        cuts = sorted(rng.randrange(len(stream) + 1) for _ in range(12))
        bounds = [0, *cuts, len(stream)]
        pieces = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        self.assert_same(stream, pieces, is_used)

    def test_every_cut_of_short_answers(self):
        """Guards against a state between two segments that is parsed otherwise."""
        streams = [
            answer(b"0", b"old") + answer(b"1", b"new"),
            b"HTTP/1.1 102 Wait\r\n\r\n" + answer(b"1"),
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            HEAD + b"\r\nuntil close",
            answer(b"1") + answer(b"1", b"again"),
        ]
        for stream in streams:
            for cut in range(len(stream) + 1):
                for is_used in (False, True):
                    self.assert_same(stream, [stream[:cut], stream[cut:]], is_used)


class TestSecondCopies(unittest.TestCase):
    """Late copies of an answer on a connection that is used again."""

    def parse_second(self, *pieces):
        parser = AnswerParser(NAMES, MemoryBudget())
        parser.begin(b"1")
        parser.feed(answer(b"1", b"first"))
        self.assertEqual(parser.answer.body, b"first")
        parser.begin(b"2")
        for piece in pieces:
            parser.feed(piece)
        return parser

    def test_copy_in_the_segment_of_the_next_answer(self):
        """Guards against passing the copy to the next caller."""
        parser = self.parse_second(answer(b"1", b"first") + answer(b"2", b"second"))
        self.assertEqual(parser.answer.body, b"second")
        self.assertTrue(parser.must_close)

    def test_copy_of_which_one_half_came_before_the_next_request(self):
        """Guards against a copy that is completed by bytes after the next request.

        Its first half makes the connection unusable as soon as it is parsed.
        """
        parser = AnswerParser(NAMES, MemoryBudget())
        parser.begin(b"1")
        copy = answer(b"1", b"first")
        for cut in range(1, len(copy)):
            parser = AnswerParser(NAMES, MemoryBudget())
            parser.begin(b"1")
            parser.feed(copy + copy[:cut])
            self.assertEqual(parser.answer.body, b"first")
            self.assertTrue(parser.must_close, cut)

    def test_copy_without_an_id_is_a_fault(self):
        """Guards against an answer that cannot be told from that to another caller."""
        copy = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        parser = self.parse_second(copy)
        self.assertIsNone(parser.answer)
        self.assertIsNotNone(parser.fault_detail)

    def test_first_answer_on_a_connection_needs_no_id(self):
        """Guards against losing answers that can only belong to one request."""
        parser = AnswerParser(NAMES, MemoryBudget())
        parser.begin(b"1")
        parser.feed(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(parser.answer.status, 503)
