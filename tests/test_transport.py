"""Tests of the peer sockets and the codec."""

import subprocess
import sys
import unittest

from cicadalever.outcomes import Failure
from cicadalever.transport import ReadAnswer, ReadAnswers, decode, encode

PRINT_LOCK = """
import eventlet
eventlet.monkey_patch()
import pynng
import cicadalever.transport
with pynng.Push0() as socket:
    print(type(socket._pipe_notify_lock).__module__)
"""


class TestPeerSockets(unittest.TestCase):
    """Peer sockets, whose library runs callbacks on native threads."""

    def test_callbacks_use_native_locks(self):
        """Guards against callback threads that deadlock on a green lock."""
        command = [sys.executable, "-W", "ignore", "-c", PRINT_LOCK]
        output = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(output.stdout.strip(), "_thread")


class TestCodec(unittest.TestCase):
    """Frames from peers."""

    def test_round_trip(self):
        """Guards against fields that encoding and decoding change."""
        answer = ReadAnswer(1, "", "", 41, b"[1]", 0.1, 0.2, False)
        message = ReadAnswers("q", [answer])
        self.assertEqual(decode(encode(message)), message)

    def test_malformed_frames_are_failures(self):
        """Guards against a frame that stops the receive loop."""
        good = encode(ReadAnswers("q", []))
        for frame in (b"", b"\xff", b"\xee\x00", good[:-1], good[:1] + b"\xc0"):
            self.assertIsInstance(decode(frame), Failure, frame)
