"""Tests of the report from the logs of gateways."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from cicadalever.cli._app import app
from cicadalever.report import render_report, summarize_logs


def line(time, event="request_ended", host="h1", **fields):
    """Return a line of a log."""
    fields = {"time": time, "host": host, "event": event, **fields}
    return json.dumps(fields, separators=(",", ":")) + "\n"


LOG = [
    line(100.0, "configuration_in_force", version=7),
    line(100.1, id="a", end="complete", rank=0, ms=20.0, hedges=2, shards=9, missing=0),
    line(100.2, id="b", end="enough_late", rank=0, ms=90.0, shards=9, missing=1,
         missing_services=["s<1>"]),
    line(101.5, id="c", end="too_few", rank=1, ms=50.0, shards=9, missing=5),
    line(101.6, "request_refused", id="d", reason="cut_off", status=503),
    line(101.7, "read_failed", id="c", service="s2"),
    '{"time":101.8,"host":"h1","event":"request_ended","id":"e","en',
    line(102.0, id="f", end="complete", rank=0, ms=10.0, is_group=True),
    line(102.0, id="f", end="delegated", rank=0, ms=12.0, host="h2"),
    line(102.0, id="f", end="complete", rank=0, ms=11.0, host="h3"),
]  # fmt: skip


class TestSummary(unittest.TestCase):
    """Aggregation of lines."""

    def setUp(self):
        self.summary = summarize_logs([("one.log", LOG)])

    def test_outcomes_by_second(self):
        """Guards against requests that are counted in a wrong second or twice."""
        outcomes = {
            time: dict(second.outcomes) for time, second in self.summary.seconds.items()
        }
        expected = {
            100: {"whole": 1, "late": 1},
            101: {"failed": 1, "refused": 1},
            102: {"whole": 1},
        }
        self.assertEqual(outcomes, expected)

    def test_damaged_line_is_counted(self):
        """Guards against a report that fails because of one line."""
        self.assertEqual(self.summary.damaged, {"one.log": 1})

    def test_worst_seconds_name_causes_and_ids(self):
        """Guards against a report from which nobody can go on."""
        (first, worst), *_ = self.summary.worst_seconds()
        self.assertEqual((first, worst.bad, worst.ids), (101, 2, ["c", "d"]))
        self.assertEqual(worst.reasons, {"too_few": 1, "cut_off": 1})

    def test_latencies_by_rank(self):
        """Guards against percentiles over requests of different ranks."""
        counts = {r: s.count for r, s in self.summary.latencies.items()}
        self.assertEqual(counts, {0: 3.0, 1: 1.0})


class TestReportCommand(unittest.TestCase):
    """The HTML file and its command."""

    def test_file_has_no_references(self):
        """Guards against a report that needs the network, or runs text of a log."""
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder, "one.log")
            log.write_text("".join(LOG))
            out = Path(folder, "out")
            result = CliRunner().invoke(app, ["report", str(log), "--out", str(out)])
            self.assertEqual(result.exit_code, 0, result.output)
            text = (out / "report.html").read_text()
        self.assertIn("s&lt;1&gt;", text)
        self.assertNotIn("s<1>", text)
        for mark in ("src=", "<link", "<script"):
            self.assertNotIn(mark, text)
        self.assertIn("configuration_in_force 7", text)

    def test_missing_file(self):
        """Guards against a traceback for a wrong path."""
        result = CliRunner().invoke(app, ["report", "/nonexistent.log"])
        self.assertEqual(result.exit_code, 2)

    def test_empty_log(self):
        """Guards against a period without requests."""
        self.assertIn("0 requests", render_report(summarize_logs([("x", [])])))
