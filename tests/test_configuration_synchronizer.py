"""Tests of the synchronization of the configuration."""

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
    """Replies of peers."""

    def test_malformed_entry_of_a_peer_is_ignored(self):
        """Guards against a green thread that ends because of a damaged message."""
        synchronizer = ConfigurationSynchronizer(
            ConfigurationHistory(), Mock(), Mock(), Mock(), Mock(), Mock(), Mock()
        )
        for entry in (b"", b"{", b"7", b"[1]", b'["x", {}]', b"[1, 2]", b"\xff"):
            synchronizer.handle_reply(ConfigurationReply([entry], b""))

    def test_first_document_with_sequence_zero_is_put_in_force(self):
        """Guards against components that are not notified of such a document."""
        audit = AuditTrail("h1", 100, lambda: 0.0)
        collaborators = Mock(), Mock(), Mock()
        synchronizer = ConfigurationSynchronizer(
            ConfigurationHistory(), *collaborators, audit, Mock(), random.Random(0)
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
