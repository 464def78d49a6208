"""Tests of the comparison of scores."""

import json
import tempfile
import unittest
from pathlib import Path

from tools.regression import Entry, compare, read_entry


class TestRegression(unittest.TestCase):
    """Scores of one site, before and after."""

    def entry(self, **worths):
        return Entry("id1", "site", 0.9, True, worths)

    def test_falls_are_marked(self):
        """Guards against a fall that nobody notices among many days."""
        lines = compare(self.entry(a=0.5, b=0.5), self.entry(a=0.53, b=0.52, c=0.1))
        self.assertEqual(["FELL" in line for line in lines], [False, True, False])

    def test_first_score_of_a_site(self):
        """Guards against a failure for a site without a committed score."""
        self.assertEqual(len(compare(self.entry(a=0.5), None)), 1)

    def test_gate_is_named(self):
        """Guards against a table that hides a gate that was not passed."""
        (line,) = compare(self.entry(a=0.5)._replace(passed=False), None)
        self.assertIn("NOT PASSED", line)

    def test_only_finished_scores_count(self):
        """Guards against entries of other commands and of runs under way."""
        day = {"name": "a", "G": 0.5}
        whole = {"id": "1", "cmd": "score", "site": "s", "score": 1.0}
        whole |= {"figures": {"gate": 1.0}, "days": [day]}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "entry.json")
            for fields, is_entry in (
                (whole, True),
                (whole | {"days": []}, False),
                (whole | {"cmd": "hunt"}, False),
            ):
                path.write_text(json.dumps(fields))
                self.assertEqual(read_entry(path) is not None, is_entry)
            path.write_text("{")
            self.assertIsNone(read_entry(path))
