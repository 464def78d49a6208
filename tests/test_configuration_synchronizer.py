"""Tests of the synchronization of the configuration."""

import json
import random
import unittest
from pathlib import Path
from unittest.mock import Mock, patch

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.configuration import ConfigurationHistory
from cicadalever.daemon import _membership_service
from cicadalever.daemon._configuration_synchronizer import (
    MAX_PLATFORM_CONTACT_AGE_S,
    ConfigurationSynchronizer,
)
from cicadalever.daemon._membership_service import MembershipService
from cicadalever.membership import Ownership
from cicadalever.transport import ConfigurationReply
from tests.test_membership import exchange, make_probers

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


class TestPlatformContact(unittest.TestCase):
    """The age of the last contact of a data centre, as its hosts pass it on."""

    def test_age_grows_while_the_platform_answers_no_host(self):
        """Guards against a data centre that waits for watchers cut off from it."""
        clock = Mock(monotonic=Mock(return_value=0.0))
        probers = make_probers(12)
        services = [
            MembershipService(each.table, each, Ownership(each.table), Mock(), Mock())
            for each in probers.values()
        ]
        with patch.object(_membership_service, "time", clock):
            services[0].record_platform_contact()
            for step in range(100):
                now = clock.monotonic.return_value = step / 10
                for service in services:
                    service.update_digest(1, 1)
                exchange(probers, now, 0.1)
            ages = [each.data_centre_platform_contact_age() for each in services]
        self.assertGreater(min(ages), MAX_PLATFORM_CONTACT_AGE_S)
