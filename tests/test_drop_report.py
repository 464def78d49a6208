"""Tests of what a daemon tells about what it had to drop."""

import unittest

import eventlet
from loguru import logger

from cicadalever.budgets import DEFAULT_MAX_BYTES, HeldKind
from cicadalever.daemon._composition import build_daemon
from cicadalever.daemon._drop_report import DropReport
from cicadalever.metrics import Metrics
from cicadalever.settings import check_settings
from tests.platform_standins import wait_for

SETTINGS = {
    **{"host_id": "h1", "data_centre": "dc1", "region": "r"},
    "caller_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "platform_url": "http://127.0.0.1:4",
}


class TestDropReport(unittest.TestCase):
    """Log lines and metrics about drops."""

    def test_answers_of_upstreams(self):
        """Guards against a daemon without a budget, or with one that tells nothing."""
        daemon, _ = build_daemon(check_settings(SETTINGS | {"max_answer_bytes": 1024}))
        memory = daemon.owner_service.memory
        lines = self.record_lines("answer of an upstream")
        self.assertEqual(memory.max_bytes, DEFAULT_MAX_BYTES)
        for holder in ("a", "b"):
            memory.hold(holder, HeldKind.ANSWER, 40_000_000, lambda: None)
        daemon.refresh_metrics()
        text = daemon.metrics.render().decode()
        self.assertIn("cicadalever_answers_dropped_total 1.0\n", text)
        self.assertIn("cicadalever_held_answer_bytes 4e+07\n", text)
        wait_for(lambda: lines, "the log line")
        self.assertIn("answer of an upstream: 1", lines[0])

    def record_lines(self, name):
        """Return the list to which each log line with a name is added.

        Other tests leave reports whose lines come later.
        """
        lines = []

        def record(line):
            if name in line:
                lines.append(line)

        self.addCleanup(logger.remove, logger.add(record, format="{message}"))
        return lines

    def test_one_line_a_period(self):
        """Guards against a line for each drop, and against drops in no line."""
        lines = self.record_lines("one-line")
        report = DropReport(Metrics(), period_s=0.1)
        for cause in ("idle", "late", "idle"):
            report.connection_dropped("one-line", cause)
        eventlet.sleep(0.2)
        report.connection_dropped("one-line", "idle")
        eventlet.sleep(0.2)
        self.assertEqual(len(lines), 2)
        self.assertIn("late: one-line idle: 2, one-line late: 1", lines[0])
        self.assertIn("late: one-line idle: 1", lines[1])
