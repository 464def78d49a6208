"""Tests of the audit trail."""

import unittest

from loguru import logger

from cicadalever.audit import AuditEvent, AuditKind, AuditTrail
from cicadalever.outcomes import FailureCode


class TestAuditTrail(unittest.TestCase):
    """Recording and reading of events."""

    def setUp(self):
        self.lines = []
        sink = logger.add(lambda line: self.lines.append(str(line)), format="{message}")
        self.addCleanup(logger.remove, sink)
        self.trail = AuditTrail("h1", 3, lambda: 12.5)

    def sequences(self, *args, **kwargs) -> list[int]:
        """Return the sequence numbers of the events read."""
        return [event.sequence for event in self.trail.read(*args, **kwargs)]

    def test_event_is_returned_kept_and_logged(self):
        """Guards against an event that is missing in the trail or in the log."""
        event = self.trail.record("started", 7, cause="{braces}")
        expected = AuditEvent(1, 12.5, "h1", 7, "started", {"cause": "{braces}"})
        self.assertEqual(event, expected)
        self.assertEqual(self.trail.read(), [event])
        self.assertEqual(self.lines, ["audit 1 started version=7 cause={braces}\n"])

    def test_old_events_are_dropped_and_numbers_are_not_used_again(self):
        """Guards against unbounded memory and gaps that a reader cannot notice."""
        for _ in range(5):
            self.trail.record(AuditKind.SUSPECT, 1)
        self.assertEqual(self.sequences(), [3, 4, 5])
        self.assertEqual(self.sequences(after=4), [5])
        self.assertEqual(self.sequences(after=99), [])
        self.assertEqual(self.sequences(after=-9, limit=2), [3, 4])
        self.assertEqual(self.sequences(limit=-1), [])
        self.assertEqual(self.trail.last_sequence, 5)

    def test_kind_selects_before_the_limit(self):
        """Guards against a limit that also counts events of other kinds."""
        for kind in ("suspect", "quarantined", "suspect"):
            self.trail.record(kind, 1)
        self.assertEqual(self.sequences(kind="quarantined", limit=1), [2])
        self.assertEqual(self.trail.read(kind="x").code, FailureCode.INVALID)
        with self.assertRaises(ValueError):
            self.trail.record("x", 1)
