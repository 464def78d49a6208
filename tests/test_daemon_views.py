"""Tests of the views of a daemon's administration interface."""

import json
import unittest
from pathlib import Path
from types import SimpleNamespace

from cicadalever.configuration import ConfigurationHistory, FullDocument
from cicadalever.daemon._views import DaemonViews

EXAMPLES = Path(__file__).parents[1] / "examples"


class TestCheckPatch(unittest.TestCase):
    """The check of a patch before an operator submits it."""

    def setUp(self):
        text = (EXAMPLES / "semenanjung" / "configuration.json").read_text()
        history = ConfigurationHistory()
        history.load_document(FullDocument(0, 1, json.loads(text)))
        self.views = DaemonViews(
            SimpleNamespace(synchronizer=SimpleNamespace(history=history))
        )
        self.patch = json.loads((EXAMPLES / "patch.json").read_text())

    def test_accepted(self):
        """Guards against an internal error instead of a verdict on a valid patch."""
        path = "/services/storefront-01/replicas/storefront-01-a/draining"
        verdict = self.views.check_patch(self.patch)
        self.assertEqual(verdict["reason"], "")
        self.assertEqual((verdict["accepted"], verdict["next_version"]), (True, 2))
        self.assertEqual(verdict["changed"], [path])

    def test_refused(self):
        """Guards against a refusal that does not say which rule the patch breaks."""
        cases = (
            ({"against": 7}, "against version 7, in force is 1"),
            ({"operations": [{"op": "add", "path": "/x"}]}, "has no member 'value'"),
            ({"operations": 5}, "operations"),
        )
        for change, text in cases:
            verdict = self.views.check_patch(self.patch | change)
            self.assertFalse(verdict["accepted"])
            self.assertIsNone(verdict["next_version"])
            self.assertIn(text, verdict["reason"])
