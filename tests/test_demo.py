"""Tests of the demo's port ranges and failure report."""

import contextlib
import io
import random
import socket
import sys
import tempfile
import unittest
from pathlib import Path
from unittest.mock import Mock

from standins.demo import SHOWN_LINES, Demo, main, report, shorten
from standins.demo_fleet import PortRange, ProcessFailure
from standins.process import Process


class TestPortRange(unittest.TestCase):
    """The port ranges of concurrent demos."""

    def test_ranges_differ(self):
        """Guards against two demos that choose the same ports at the same moment."""
        first = PortRange(random.Random(5))
        self.addCleanup(first.close)
        second = PortRange(random.Random(5))
        self.addCleanup(second.close)
        self.assertNotEqual(first.base, second.base)

    def test_used_port(self):
        """Guards against a range in which another process already listens."""
        taken = PortRange(random.Random(6))
        with socket.socket() as other:
            other.bind(("127.0.0.1", taken.base + 7))
            other.listen(1)
            taken.close()
            free = PortRange(random.Random(6))
            self.addCleanup(free.close)
            self.assertNotEqual(free.base, taken.base)


class TestReport(unittest.TestCase):
    """What the demo prints."""

    def test_failure_shows_the_log_up_to_the_failure(self):
        """Guards against a cause that is lost behind the lines of the shutdown."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "out")
            code = "print('cause')"
            process = Process("daemon", [sys.executable, "-c", code], path)
            process.start()
            process.wait_ready()
            failure = ProcessFailure("step 3", process)
            path.write_text("shutdown\n")
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            report(failure)
        self.assertIn("step 3", output.getvalue())
        self.assertIn("log of daemon:\ncause\n", output.getvalue())
        self.assertNotIn("shutdown", output.getvalue())

    def test_failure_names_the_process_that_ended(self):
        """Guards against a report of another process than the one that ended."""
        first, lost, drained = (Mock(is_running=running) for running in (1, 0, 0))
        first.name, lost.name, drained.name = "h1", "h2", "h3"
        fleet = Mock(processes=[drained, first, lost], daemons={"h1": first})
        fleet.deployment.entries = fleet.deployment.admins = ["127.0.0.1:1"]
        demo = Demo(fleet)
        demo._drained.add("h3")
        self.assertIs(demo._find_suspect(), lost)
        lost.is_running = True
        self.assertIs(demo._find_suspect(), first)

    def test_shorten(self):
        """Guards against a lost summary of a long answer and a shortened short one."""
        lines = [str(number) for number in range(SHOWN_LINES + 5)]
        self.assertEqual(shorten(lines[:SHOWN_LINES]), lines[:SHOWN_LINES])
        self.assertEqual(shorten(lines)[-1], lines[-1])
        self.assertIn("... 5 more lines", shorten(lines))

    def test_unknown_argument(self):
        """Guards against a misspelt option that is ignored."""
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(main(["--kepe"]), 2)
