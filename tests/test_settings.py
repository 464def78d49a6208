"""Tests of the settings, of address keys and of the check of a caller's request."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.api import check_query_request
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.settings import Settings, check_settings, load_settings
from cicadalever.validation import address_key, format_value

MINIMAL = {
    "host_id": "h1",
    "data_centre": "dc1",
    "region": "south",
    "caller_address": "127.0.0.1:8080",
    "admin_address": "127.0.0.1:8081",
    "peer_address": "[::1]:8082",
    "platform_url": "http://127.0.0.1:7000",
}
REQUEST = {"id": "r 1", "route": "lookup", "parameters": {"key": "x"}}
TEXT = st.text(max_size=8)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda v: st.lists(v, max_size=4) | st.dictionaries(TEXT, v, max_size=4),
    max_leaves=12,
)


class TestCheckSettings(unittest.TestCase):
    """Checks of the settings."""

    def reason(self, **changes) -> str:
        """Return the reason why the minimal settings with changes are refused."""
        failure = check_settings(MINIMAL | changes)
        self.assertIsInstance(failure, Failure, failure)
        self.assertEqual(failure.code, FailureCode.INVALID)
        return failure.reason

    def test_minimal_settings_become_complete(self):
        """Guards against a setting without a default that fails only when used."""
        checked = check_settings(MINIMAL)
        self.assertEqual(set(checked), set(Settings.__annotations__))
        self.assertEqual(checked["roles"], ["entry", "owner"])
        self.assertEqual(check_settings(checked), checked)

    def test_every_wrong_parameter_is_named(self):
        """Guards against a failure that names only the first wrong parameter."""
        wrong = {"linger_s": 700, "audit_capacity": "many", "lingers": 1}
        faulty = MINIMAL | wrong
        del faulty["host_id"]
        self.assertEqual(
            check_settings(faulty).reason.split("; "),
            [
                "audit_capacity: 'many' is not an integer in 1..1000000",
                "host_id: is missing",
                "linger_s: 700 is not in 0..600 s",
                "lingers: unknown field, given 1",
            ],
        )

    def test_wrong_values_are_refused_with_path_and_value(self):
        """Guards against values that are silently converted or accepted."""
        cases = (
            ("log_json", "true", "log_json: 'true' is not true or false"),
            ("policy", "new", "policy: 'new' is not 'current' or 'baseline'"),
            ("roles", ["entry", "x"], "roles.1: 'x' is not"),
            ("roles", ["entry", "entry"], "contains an item twice"),
            ("host_id", "a.b", "host_id: 'a.b' does not match ^[a-z0-9]"),
            ("random_seed", -1, "random_seed: -1 is not in 0..9007199254740991"),
            ("linger_s", float("nan"), "linger_s: nan is not in 0..600 s"),
            ("max_body_bytes", 2.0, "2.0 is not an integer in 1024..16777216 bytes"),
            ("max_body_bytes", True, "True is not an integer"),
            ("max_body_bytes", 10**5000, "an integer with too many digits is not in"),
            ("source_ip", "localhost", "'localhost' is not an IPv4 or IPv6 number"),
            ("platform_url", "http://platform:80", "is not IPv4:port"),
            ("platform_url", "127.0.0.1:80", "does not start with http://"),
            ("seeds", ["127.0.0.1"], "seeds.0: '127.0.0.1' is not IPv4:port"),
            ("admin_address", "127.0.0.1:8080", "two addresses are the same"),
        )
        for field, value, expected in cases:
            with self.subTest(field=field, value=format_value(value)):
                self.assertIn(expected, self.reason(**{field: value}))

    @settings(derandomize=True, deadline=None)
    @given(JSON_VALUES, st.sampled_from(sorted(Settings.__annotations__)))
    def test_no_value_raises(self, value, field):
        """Guards against an exception for a value that JSON allows."""
        self.assertIsInstance(check_settings(value), Failure)
        checked = check_settings(MINIMAL | {field: value})
        self.assertIsInstance(checked, dict | Failure)


class TestLoadSettings(unittest.TestCase):
    """Reading of the settings file."""

    def load(self, body: bytes) -> Settings | Failure:
        """Return the result of loading a file with ``body``."""
        with tempfile.NamedTemporaryFile() as file:
            Path(file.name).write_bytes(body)
            return load_settings(file.name)

    def test_file_gives_the_checked_settings(self):
        """Guards against a file that is checked by other rules than a value."""
        body = json.dumps(MINIMAL).encode()
        self.assertEqual(self.load(body), check_settings(MINIMAL))

    def test_unreadable_files_are_failures(self):
        """Guards against a traceback instead of a reason when the daemon starts."""
        self.assertIn("No such file", load_settings("/nonexistent/x").reason)
        self.assertIn("is not JSON", self.load(b"{").reason)
        self.assertIn("is not JSON", self.load(b"\xff").reason)
        self.assertIn("recursion limit", self.load(b"[" * 5000).reason)
        self.assertEqual(self.load(b" " * 1_000_001).code, FailureCode.TOO_LARGE)


class TestAddressKey(unittest.TestCase):
    """The keys by which addresses are compared."""

    def test_only_numbers_with_ports(self):
        """Guards against host names, IPv6 zones and ambiguous forms of an address."""
        for ip in ("localhost", "::1", "[::1%eth0]", "[1.2.3.4]", "1.2.3", "1.2.3.04"):
            self.assertIsNone(address_key(f"{ip}:80"), ip)
        for port in ("", ":", ":0", ":080", ":65536", ":-1", ":80\n"):
            self.assertIsNone(address_key(f"1.2.3.4{port}"), port)
        self.assertEqual(address_key("1.2.3.4:80"), (b"\1\2\3\4", 80))


class TestCheckQueryRequest(unittest.TestCase):
    """Checks of a caller's request."""

    def check(self, **changes):
        """Return the result for the example request with changes."""
        return check_query_request(json.dumps(REQUEST | changes).encode(), 10_000)

    def test_idempotent_is_left_to_the_route(self):
        """Guards against a default that replaces that of the route."""
        self.assertEqual(self.check(), REQUEST)

    def test_wrong_requests_are_refused(self):
        """Guards against a request that reaches upstreams unchecked."""
        cases = (
            ({"id": ""}, "id: ''"),
            ({"id": "x" * 129}, "at most 128"),
            ({"id": "a\nb"}, "not printable"),
            ({"id": "caf\u00e9"}, "not printable ASCII"),
            ({"deadline_ms": 0}, "deadline_ms: 0 is not in 1..3600000 ms"),
            ({"parameters": []}, "parameters: [] is not an object"),
            ({"urgency": "report"}, "urgency: unknown field"),
            ({"rank": "urgent"}, "rank: 'urgent'"),
        )
        for changes, expected in cases:
            with self.subTest(changes=str(changes)[:40]):
                self.assertIn(expected, self.check(**changes).reason)

    def test_large_numbers_and_bodies(self):
        """Guards against infinite numbers and against parsing of overlong bodies."""
        body = json.dumps(REQUEST).replace('"x"', "1e400").encode()
        self.assertIn("JSON cannot represent", check_query_request(body, 999).reason)
        failure = check_query_request(b" " * 11, 10)
        self.assertEqual(failure.code, FailureCode.TOO_LARGE)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=40) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_no_body_raises(self, body):
        """Guards against an exception for a body that a caller can send."""
        self.assertIsInstance(check_query_request(body, 10_000), Failure)
