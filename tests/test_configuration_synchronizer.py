"""Tests of how a daemon takes over a configuration."""

import json
import random
import unittest
from pathlib import Path
from unittest.mock import Mock

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.configuration import ConfigurationHistory
from cicadalever.daemon._configuration_synchronizer import ConfigurationSynchronizer
from cicadalever.transport import ConfigurationReply

EXAMPLES = Path(__file__).parents[1] / "examples"


class TestConfigurationSynchronizer(unittest.TestCase):
    """A document that a peer sent."""

    def test_first_document_of_an_empty_log_comes_in_force(self):
        """Guards against a first version at sequence 0 that no part hears of."""
        audit = AuditTrail("h1", 100, lambda: 0.0)
        parts = Mock(), Mock(), Mock()
        synchronizer = ConfigurationSynchronizer(
            ConfigurationHistory(), *parts, audit, Mock(), random.Random(0)
        )
        synchronizer.on_change = Mock()
        text = (EXAMPLES / "nz-north" / "configuration.json").read_text()
        full = {"sequence": 0, "version": 1, "document": json.loads(text)}
        reply = ConfigurationReply([], json.dumps(full).encode())
        synchronizer.handle_reply(reply)
        synchronizer.handle_reply(reply)
        synchronizer.on_change.assert_called_once_with()
        self.assertEqual(synchronizer.source, "peer")
        (event,) = audit.read(kind=AuditKind.VERSION_IN_FORCE)
        self.assertEqual(event.version, 1)
