"""Tests of the configuration: document, patches, history and platform client."""

import copy
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import jsonpatch
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cicadalever import configuration as cfg
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.scheduling import Rank
from tests.test_settings import JSON_VALUES


def replica(port: int) -> dict:
    """Return a replica on a loopback port."""
    return {"address": f"127.0.0.1:{port}", "data_centre": "dc1"}


REPLICAS = {"b-1": replica(2), "b-2": replica(3)}
DOCUMENT = {
    "services": {
        "a": {"slots": 2, "connections": 25, "replicas": {"a-1": replica(1)}},
        "b": {"slots": 2, "connections": 25, "replicas": REPLICAS},
    },
    "snapshots": [
        {"id": 4, "indexes": {"x": {"s0": "a"}}},
        {"id": 7, "indexes": {"x": {"s0": "a", "s1": "b"}, "y": {"s0": "b"}}},
    ],
    "routes": {"find": {"indexes": ["x", "y"], "kind": "look", "operation": "read"}},
    "kinds": {"look": {"rank": "interactive", "deadline_ms": 500}},
    "policy": {"floors": {"batch": 0.2}},
}
SLOTS = "/services/a/slots"


def make_patch(*operations, against=1) -> dict:
    """Return a patch of ``DOCUMENT`` in the form of a log entry."""
    patch = {"id": "p1", "against": against, "author": "ana"}
    return patch | {"operations": list(operations)}


def replace(path, value) -> dict:
    """Return one replace operation."""
    return {"op": "replace", "path": path, "value": value}


def modified_document(path, value) -> dict:
    """Return a copy of the document with one member replaced or added."""
    add = {"op": "add", "path": path, "value": value}
    return jsonpatch.apply_patch(DOCUMENT, [add])


class TestCheckDocument(unittest.TestCase):
    """Schema and semantic checks."""

    def test_valid_document_is_copied_unchanged(self):
        """Guards against defaults that are written into the document in force."""
        checked = cfg.check_document(DOCUMENT)
        self.assertEqual(checked, DOCUMENT)
        self.assertEqual(cfg.read_document(json.dumps(DOCUMENT).encode()), DOCUMENT)
        self.assertIsNot(checked["services"]["a"], DOCUMENT["services"]["a"])

    def test_wrong_documents_are_refused_with_the_path(self):
        """Guards against a document that breaks hosts once it is in force."""
        cases = (
            (SLOTS, 1025, "services.a.slots: 1025 is not in 1..1024"),
            (SLOTS, 2.0, "services.a.slots: 2.0 is not an integer in 1..1024"),
            ("/services/b/connections", 1, "1 is less than the number of replicas, 2"),
            ("/services/a/replicas", {}, "services.a.replicas: {}"),
            ("/services/a/replicas", {"b-1": replica(9)}, "another service has"),
            (
                "/services/a/replicas",
                {"A": replica(9)},
                "replicas.A: 'A' does not",
            ),
            ("/services/a/replicas/a-1", replica(2), "127.0.0.1:2 is used twice"),
            ("/services/a/host", "h", "services.a.host: unknown field"),
            ("/snapshots", [], "snapshots: []"),
            ("/snapshots/0/id", 7, "snapshots.1.id: 7 is not above 7"),
            ("/snapshots/0/indexes/x/s0", "c", "snapshots.0.indexes.x.s0: no service"),
            ("/snapshots/1/indexes", {"x": {"s0": "a"}}, "no index y in the newest"),
            ("/routes/find/kind", "run", "routes.find.kind: no kind run"),
            ("/routes/find/indexes", ["x", "x"], "names one twice"),
            ("/kinds/look/rank", "low", "kinds.look.rank: 'low' is not"),
            ("/kinds/look/deadline_ms", 0, "0 is not in 1..3600000 ms"),
            ("/policy/floors", {"batch": 0.5, "report": 0.41}, "the sum 0.91 is not"),
            ("/policy/floors/batch", 0.6, "policy.floors.batch: 0.6 is not in 0..0.5"),
            ("/policy/hedge_quantile", 1, "1 is not in 0.5..0.999"),
        )
        for path, value, expected in cases:
            with self.subTest(path=path, value=value):
                failure = cfg.check_document(modified_document(path, value))
                self.assertIsInstance(failure, Failure)
                self.assertIn(expected, failure.reason)

    def test_document_beyond_the_size_of_a_platform_value(self):
        """Guards against a version that the platform cannot publish."""
        shards = {f"s{number:059}": "a" for number in range(16_000)}
        failure = cfg.check_document(
            modified_document("/snapshots/0/indexes/x", shards)
        )
        self.assertEqual(failure.code, FailureCode.TOO_LARGE)

    @settings(derandomize=True, deadline=None)
    @given(JSON_VALUES, st.sampled_from(sorted(DOCUMENT)))
    def test_no_value_raises(self, value, field):
        """Guards against an exception for a value that the platform can publish."""
        self.assertIsInstance(cfg.check_document(value), Failure)
        cfg.check_document(DOCUMENT | {field: value})


class TestApplyPatch(unittest.TestCase):
    """Acceptance, refusal and result of one patch."""

    def apply(self, *operations):
        """Apply operations to the document and check that it stays as it was."""
        before = copy.deepcopy(DOCUMENT)
        patch = make_patch(*operations)
        patch_before = copy.deepcopy(patch)
        result = cfg.apply_patch(DOCUMENT, 1, patch)
        self.assertEqual((DOCUMENT, patch), (before, patch_before))
        return result

    def test_operations_give_the_next_version(self):
        """Guards against an operation that has no effect or a wrong one."""
        moved = self.apply(
            {"op": "test", "path": SLOTS, "value": 2},
            {"op": "copy", "from": "/services/a", "path": "/services/c"},
            {"op": "move", "from": "/services/c/replicas/a-1", "path": "/services/d"},
            {"op": "remove", "path": "/services/c"},
            {"op": "move", "from": "/services/d", "path": "/services/a/replicas/a-2"},
            replace("/services/a/replicas/a-2/address", "127.0.0.1:9"),
            {"op": "remove", "path": "/snapshots/0"},
        )
        expected = modified_document("/services/a/replicas/a-2", replica(9))
        del expected["snapshots"][0]
        self.assertEqual(moved, (2, expected))

    def test_move_that_shifts_a_list_leaves_the_input_alone(self):
        """Guards against modifying a list item that the removal has shifted."""
        result = self.apply(
            {"op": "move", "from": "/snapshots/0", "path": "/snapshots/0/indexes/z"}
        )
        self.assertIn("cannot move into itself", result.reason)
        result = self.apply(
            {"op": "move", "from": "/snapshots/0/id", "path": "/snapshots/1/id"}
        )
        self.assertIn("snapshots.0.id: is missing", result.reason)

    def test_refusals_name_the_operation(self):
        """Guards against an exception, and against a refusal without a cause."""
        nested = json.loads("[" * 40 + "]" * 40)
        cases = (
            (
                replace("/services/c", 1),
                "operations.0: replace '/services/c'",
            ),
            (
                replace("services", 1),
                "operations.0.path: 'services' is not a JSON",
            ),
            (replace("/services/a~2", 1), "is not a JSON Pointer"),
            (replace("/a" * 40, 1), "has more than 32 parts"),
            (replace("/snapshots/x", 1), "does not apply at this location"),
            ({"op": "add", "path": "/x"}, "has no member 'value'"),
            ({"op": "copy", "path": "/x"}, "has no member 'from'"),
            ({"op": "increase", "path": "/x"}, "operations.0.op: 'increase' is not"),
            ({"op": "test", "path": SLOTS, "value": 3}, "missing or differs"),
            ({"op": "copy", "from": "/u", "path": "/x"}, "nothing at '/u'"),
            ({"op": "add", "path": "/x", "value": nested}, "nesting deeper than 32"),
            ({"op": "add", "path": "/x", "value": "\ud800"}, "string cannot be"),
            ({"op": "add", "path": "/x", "value": float("inf")}, "out of range"),
            ({"op": "remove", "path": ""}, "does not apply at this location"),
            (replace("", 1), "document: 1 is not an object"),
            (replace(SLOTS, 0), "services.a.slots: 0 is not in 1..1024"),
        )
        for operation, expected in cases:
            with self.subTest(operation=str(operation)[:60]):
                self.assertIn(expected, self.apply(operation).reason)

    def test_version_and_limits(self):
        """Guards against a patch of another version, and one of exponential cost."""
        refused = cfg.apply_patch(DOCUMENT, 2, make_patch(replace(SLOTS, 3)))
        self.assertEqual(refused, cfg.Refused("against version 1, in force is 2"))
        self.assertFalse(refused)
        doubling = [{"op": "copy", "from": "", "path": "/x"}] * 30
        self.assertRegex(self.apply(*doubling).reason, "handles more than|nesting")
        self.assertIn("1001", self.apply(*[replace(SLOTS, 3)] * 1001).reason)

    @settings(derandomize=True, deadline=None)
    @given(
        JSON_VALUES,
        st.sampled_from(("id", "against", "author", "operations")),
        st.sampled_from(("add", "replace", "test", "move", "copy", "remove")),
        st.sampled_from(("", "/", "/-", "/snapshots/-", "/snapshots/0/id", SLOTS)),
        st.sampled_from(("", "/snapshots", "/snapshots/-", "/snapshots/1", "/kinds")),
    )
    def test_no_patch_raises_or_modifies(self, value, field, op, path, source):
        """Guards against a log entry that ends log processing on every host."""
        cfg.check_patch(value)
        cfg.apply_patch(DOCUMENT, 1, value)
        cfg.apply_patch(DOCUMENT, 1, make_patch() | {field: value})
        operation = {"op": op, "path": path, "from": source, "value": value}
        self.apply(operation, operation)


class TestConfiguration(unittest.TestCase):
    """Lookups in one version."""

    def test_lookups(self):
        """Guards against a query sent to a wrong service or with a wrong limit."""
        view = cfg.Configuration(5, 2, DOCUMENT)
        self.assertEqual((view.sequence, view.version), (5, 2))
        newest = view.newest_snapshot()
        self.assertEqual(newest.id, 7)
        route = view.route("find")
        self.assertEqual(route, ("find", ("x", "y"), "look", cfg.Operation.READ))
        shards = (("x/s0", "a"), ("x/s1", "b"), ("y/s0", "b"))
        self.assertEqual(view.shards_of(route, newest), shards)
        self.assertFalse(view.shards_of(route, view.snapshot(4)))
        self.assertEqual(view.service_of(7, "x", "s1"), "b")
        self.assertEqual(view.service_of(4, "x", "s1").code, FailureCode.NOT_FOUND)
        self.assertEqual(view.service_of(5, "x", "s1").code, FailureCode.SNAPSHOT_GONE)
        self.assertEqual([r.connections for r in view.replicas_of("b")], [12, 12])
        self.assertEqual(view.replica("b-1").address, "127.0.0.1:2")
        self.assertEqual(view.kind("look"), (Rank.INTERACTIVE, 500))
        floors = {Rank.BATCH: 0.2, Rank.REPORT: 0.05}
        self.assertEqual(view.policy, (floors, 0.95, 0.05, 600, cfg.CanaryMode.ALWAYS))


def make_log() -> tuple[list[cfg.LogEntry], list[cfg.FullDocument]]:
    """Return a log with accepted, refused and malformed patches, and its documents."""
    patches = (
        make_patch(replace(SLOTS, 3)),
        make_patch(replace(SLOTS, 4)),
        "not a patch",
        make_patch(replace(SLOTS, 0), against=2),
        make_patch(replace(SLOTS, 5), against=2),
        make_patch({"op": "remove", "path": "/policy"}, against=3),
        make_patch(replace(SLOTS, 6), against=4),
        make_patch({"op": "test", "path": SLOTS, "value": 2}, against=5),
    )
    fulls = [cfg.FullDocument(0, 1, cfg.check_document(DOCUMENT))]
    for sequence, patch in enumerate(patches, start=1):
        _, version, document = fulls[-1]
        result = cfg.apply_patch(document, version, patch)
        fulls.append(cfg.FullDocument(sequence, *(result or (version, document))))
    return [cfg.LogEntry(i, patch) for i, patch in enumerate(patches, start=1)], fulls


LOG, FULLS = make_log()
EXPECTED_VERSIONS = [1, 2, 2, 2, 2, 3, 4, 5, 5]


class HistoryMachine(RuleBasedStateMachine):
    """Delivers entries and documents to one history in any order, also repeatedly."""

    def __init__(self):
        super().__init__()
        self.history = cfg.ConfigurationHistory(max_pending=3)
        self.last = (0, 0)
        self.verdicts = []

    @rule(entry=st.sampled_from(LOG))
    def deliver_entry(self, entry):
        self.verdicts += self.history.append(entry)

    @rule(full=st.sampled_from(FULLS))
    def deliver_document(self, full):
        self.verdicts += self.history.load_document(full)

    @invariant()
    def state_is_that_of_the_log(self):
        history = self.history
        assert history.pending_entries <= 3
        if history.current is not None:
            assert history.export() == FULLS[history.sequence]
        current = (history.sequence, history.version)
        assert current[0] >= self.last[0] and current[1] >= self.last[1]
        self.last = current
        for verdict in self.verdicts:
            assert verdict.version == EXPECTED_VERSIONS[verdict.sequence]
        sequences = [verdict.sequence for verdict in self.verdicts]
        assert sequences == sorted(set(sequences))

    def teardown(self):
        """Deliver the whole log, after which all hosts must agree."""
        self.history.load_document(FULLS[0])
        for entry in LOG:
            self.history.append(entry)
        assert self.history.export() == FULLS[-1]


class TestHistoryMachine(HistoryMachine.TestCase):
    """Guards against hosts that disagree and against a version that decreases."""

    settings = settings(derandomize=True, deadline=None, max_examples=60)


class TestConfigurationHistory(unittest.TestCase):
    """Verdicts and limits of the history."""

    def test_verdicts_name_patch_and_reason(self):
        """Guards against a wrong verdict and one without a patch id or reason."""
        self.assertEqual([full.version for full in FULLS], EXPECTED_VERSIONS)
        history = cfg.ConfigurationHistory(max_verdicts=2)
        self.assertIn("full document", history.load_document(FULLS[0])[0].reason)
        self.assertEqual(history.append(LOG[1]), [])
        first, second = history.append(LOG[0])
        self.assertEqual(first, (1, "p1", "ana", 1, True, 2, ""))
        self.assertEqual(second.reason, "against version 1, in force is 2")
        self.assertEqual(history.append(LOG[0]), [])
        malformed = history.append(LOG[2])[0]
        self.assertEqual(malformed.reason, "patch: 'not a patch' is not an object")
        self.assertEqual(history.verdicts, (second, malformed))
        history.append(LOG[5])
        history.load_document(FULLS[-1])
        self.assertEqual(history.pending_entries, 0)

    def test_document_with_a_lower_version_is_refused(self):
        """Guards against a version that decreases after the platform lost data."""
        history = cfg.ConfigurationHistory()
        history.load_document(FULLS[6])
        verdict = history.load_document(cfg.FullDocument(9, 3, DOCUMENT))[0]
        self.assertEqual((verdict.accepted, history.version), (False, 4))
        self.assertEqual(history.sequence, 6)


class PlatformHandler(BaseHTTPRequestHandler):
    """Answers with the replies that a test has set on the server."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        """Send the reply for the path.

        With ``extra`` bytes in its Content-Length, the reply is truncated.
        """
        self.server.seen.append((self.client_address, self.path))
        if self.path.startswith("/v1/hosts?after=1&"):
            self.server.released.wait()
            return
        status, body, extra = self.server.replies[self.path.partition("?")[0]]
        self.send_response(status)
        self.send_header("Content-Length", str(len(body) + extra))
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = bool(extra)

    def log_message(self, *args):
        """Write nothing."""


class TestHttpPlatformReader(unittest.TestCase):
    """The client against an HTTP server on loopback."""

    def setUp(self):
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), PlatformHandler)
        self.server.replies, self.server.seen = {}, []
        self.server.released = threading.Event()
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        for cleanup in (thread.join, self.server.server_close, self.server.shutdown):
            self.addCleanup(cleanup)
        self.addCleanup(self.server.released.set)
        url = f"http://127.0.0.1:{self.server.server_port}"
        self.reader = cfg.HttpPlatformReader(url, source_ip="127.0.0.5", timeout_s=10)
        self.addCleanup(self.reader.close)

    def serve(self, path, value, status=200, extra=0):
        """Set the reply for a path to JSON or to bytes."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.server.replies[path] = (status, body, extra)

    def test_replies_become_typed_values(self):
        """Guards against a protocol mismatch and a connection per request."""
        host = {"id": "h1", "address": "127.0.0.1:1", "data_centre": "dc1"}
        host |= {"region": "r", "roles": ["entry"], "state": "leaving"}
        self.serve("/v1/document", FULLS[1]._asdict())
        self.serve("/v1/log", {"entries": [LOG[0]._asdict()]})
        self.serve("/v1/hosts", {"generation": 3, "hosts": [host]})
        self.assertEqual(self.reader.fetch_document(), FULLS[1])
        self.assertEqual(self.reader.fetch_log(4, 0.5), [LOG[0]])
        hosts = self.reader.fetch_hosts(2, 0)
        listed = (("h1", "127.0.0.1:1", "dc1", "r", ("entry",)), "leaving")
        self.assertEqual(hosts, (3, (listed,)))
        paths = [path for _, path in self.server.seen]
        self.assertIn("/v1/log?after=4&wait=0.5", paths)
        clients = {client for client, _ in self.server.seen}
        self.assertEqual([ip for ip, _ in clients], ["127.0.0.5"])

    def test_every_fault_is_a_failure(self):
        """Guards against a library exception that ends the polling loop."""
        cases = (
            ((b"gone", 410), FailureCode.EXPIRED),
            ((b"", 404), FailureCode.NOT_FOUND),
            ((b"", 503), FailureCode.UNAVAILABLE),
            ((b"", 301), FailureCode.INVALID),
            ((b"{", 200), FailureCode.INVALID),
            (({"entries": [{"sequence": 0, "patch": 1}]},), FailureCode.INVALID),
            ((b"{", 200, 5), FailureCode.LOST),
            ((b" " * 16_000_001,), FailureCode.TOO_LARGE),
        )
        for reply, code in cases:
            with self.subTest(code=code):
                self.serve("/v1/log", *reply)
                self.assertEqual(self.reader.fetch_log(0, 0).code, code)
        self.assertIn("longer than", self.reader.fetch_log(0, 0).reason)
        short_timeout = cfg.HttpPlatformReader(self.reader.base_url, timeout_s=0.05)
        self.assertEqual(short_timeout.fetch_hosts(1, 0).code, FailureCode.TIMEOUT)
        self.server.released.set()
        self.server.shutdown()
        self.server.server_close()
        self.reader.close()
        self.assertEqual(self.reader.fetch_document().code, FailureCode.UNREACHABLE)
        wrong = cfg.HttpPlatformReader("http://[::1", timeout_s=1)
        self.assertEqual(wrong.fetch_document().code, FailureCode.INVALID)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=30) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_no_body_raises(self, body):
        """Guards against an exception for what a peer or the platform sends."""
        self.assertIsInstance(cfg.read_full_document(body), Failure)
        self.assertIsInstance(cfg.read_document(body), Failure)
