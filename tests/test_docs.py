"""Tests that docs/operators.md lists the names of the code."""

import re
import unittest
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from cicadalever.audit import AuditKind
from cicadalever.cli._app import app
from cicadalever.cli._exit import ExitCode
from cicadalever.metrics import Metrics
from cicadalever.settings import Settings

GUIDE = Path(__file__).parents[1] / "docs" / "operators.md"
PREFIX = "cicadalever_"


class TestOperatorsGuide(unittest.TestCase):
    """Compares the first column of each table with the code."""

    def first_column(self, heading):
        """Return the names in the first column of the table of a section."""
        section = re.split(r"^##+ ", GUIDE.read_text(), flags=re.MULTILINE)
        (text,) = (part for part in section if part.startswith(f"{heading}\n"))
        cells = [row.split("|")[1] for row in text.splitlines() if row[:1] == "|"][2:]
        return [name for cell in cells for name in re.findall(r"[a-z0-9_-]+", cell)]

    def assert_same(self, heading, names):
        self.assertEqual(sorted(self.first_column(heading)), sorted(names))

    def test_commands(self):
        """Guards against a command that the guide lacks or invents."""
        commands = app.registered_commands
        names = [command.name or command.callback.__name__ for command in commands]
        self.assert_same("Commands", names)
        for name in names:
            self.assertIn(f"\n### {name}\n", GUIDE.read_text())

    def test_settings(self):
        """Guards against a setting that the guide lacks or invents."""
        self.assert_same("Settings", Settings.__annotations__)

    def test_audit_kinds(self):
        """Guards against a kind that the guide lacks or invents."""
        self.assert_same("Audit kinds", AuditKind)

    def test_exit_codes(self):
        """Guards against a code that the guide lacks or invents."""
        self.assert_same("Exit codes", [str(code.value) for code in ExitCode])

    def test_metrics(self):
        """Guards against a metric that the guide lacks or invents."""
        text = Metrics().render().decode()
        names = set()
        for family in text_string_to_metric_families(text):
            if family.name.endswith("_created"):
                continue
            total = "_total" if family.type == "counter" else ""
            names.add(family.name.removesuffix("_total") + total)
        own = {name.removeprefix(PREFIX) for name in names if PREFIX in name}
        listed = set(self.first_column("Metrics"))
        self.assertEqual(own - listed, set())
        self.assertEqual({n for n in listed - own if "process_" not in n}, set())
