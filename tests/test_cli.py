"""Tests of the command-line tool against a fake host on loopback."""

import json
import subprocess
import sys
import tempfile
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from unittest.mock import Mock, patch
from urllib.parse import urlsplit

from typer.testing import CliRunner

from cicadalever import api
from cicadalever.cli import _inspect
from cicadalever.cli._app import app
from cicadalever.cli._audit import AuditReader
from cicadalever.cli._client import (
    Client,
    NoReply,
    Reply,
    _innermost_message,
    is_address,
)
from cicadalever.cli._query_sender import QuerySender, SendPlan, retry_delay
from cicadalever.cli._tables import Column, render_table
from cicadalever.configuration import Accepted, apply_patch, check_document

EXAMPLES = Path(__file__).parents[1] / "examples"
CLOSED = "127.0.0.1:1"
# Scripted answers: the connection is closed without one, or the answer is not HTTP.
LOST = object()
NOT_HTTP = object()
COMPLETE = {
    "id": "h1.5.1",
    "outcome": "complete",
    "snapshot": 41,
    "version": 7,
    "coverage": {"total": 1, "covered": ["shop/s00"], "missing": [], "fraction": 1.0},
    "rows": {"shop/s00": [{"sku": "A7"}]},
    "elapsed_ms": 12.5,
    "host": "h1",
}
PARTIAL = {
    **COMPLETE,
    "outcome": "partial",
    "coverage": {
        "total": 2,
        "covered": ["shop/s00"],
        "missing": [{"shard": "shop/s01", "code": "lost", "reason": "reset\x1b[1m"}],
    },
}
REFUSED = {"outcome": "refused_not_run", "reason": "overload", "retry_after_s": 2.5}
INVALID = {"outcome": "invalid_request", "reason": "bad"}
UNKNOWN = {"outcome": "outcome_unknown", "reason": "issuer is gone"}


class FakeHost:
    """Serves scripted answers; the last one of a path repeats."""

    def __init__(self):
        self.answers: dict[str, list] = {}
        self.requests: list[tuple[str, str, object]] = []
        host = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                host._serve(self, "GET")

            def do_POST(self):  # noqa: N802
                host._serve(self, "POST")

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        poll_s = (0.01,)
        threading.Thread(
            target=self.server.serve_forever, args=poll_s, daemon=True
        ).start()

    def script(self, path, *answers):
        """Set the answers of ``path``: (status, value), bytes, LOST or NOT_HTTP."""
        self.answers[path] = list(answers)

    def bodies(self, path):
        """Return the bodies of the requests to ``path`` so far."""
        return [body for _, target, body in self.requests if target == path]

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def _serve(self, handler, method):
        path = urlsplit(handler.path).path
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        target = handler.path if method == "GET" else path
        self.requests.append((method, target, json.loads(body) if body else None))
        script = self.answers.get(path, [(404, {"error": {"reason": "no such path"}})])
        answer = script.pop(0) if len(script) > 1 else script[0]
        if answer is LOST:
            return
        if answer is NOT_HTTP:
            handler.wfile.write(b"\x00SP\x00\x00Q\x00\x00")
            return
        status, value = (500, answer) if isinstance(answer, bytes) else answer
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(content)))
        handler.end_headers()
        handler.wfile.write(content)


class CliTestCase(unittest.TestCase):
    """A fake host and a way to run a command."""

    def setUp(self):
        self.host = FakeHost()
        self.addCleanup(self.host.close)

    def run_cli(self, expected, *words, env=None):
        environment = {"CICADALEVER_ENTRY": None, "CICADALEVER_ADMIN": None}
        result = CliRunner().invoke(app, words, env={**environment, **(env or {})})
        self.assertEqual(result.exit_code, expected, result.output)
        return result

    def ask(self, expected, *words):
        return self.run_cli(expected, "ask", "r", "--entry", self.host.address, *words)


class TestAskCommand(CliTestCase):
    """What ``ask`` sends, prints and returns."""

    def test_exit_code_of_each_outcome(self):
        """Guards against an exit code from which a script infers the wrong outcome."""
        error = {"error": {"code": "not_found", "reason": "no route r"}}
        cases = (
            ((200, COMPLETE), 0, "complete"),
            ((200, PARTIAL), 1, "lost: reset\\x1b[1m"),
            ((400, INVALID), 2, "bad"),
            ((404, error), 2, "no route r (ask needs the entry address)"),
            ((503, REFUSED), 3, "retry after  2.5 s"),
            ((504, UNKNOWN), 4, "issuer is gone"),
            ((502, {}), 5, "status 502"),
            (b"<html>", 5, "not a JSON object"),
            (LOST, 5, "connection lost"),
            (NOT_HTTP, 5, "the answer is not HTTP"),
        )
        for answer, code, text in cases:
            with self.subTest(text=text):
                self.host.script("/v1/queries", answer)
                self.assertIn(text, self.ask(code).output)

    def test_unreachable_host(self):
        """Guards against a traceback when the port of the host is closed."""
        result = self.run_cli(5, "ask", "r", "--entry", CLOSED)
        self.assertIn(f"{CLOSED}: cannot connect", result.stderr)
        self.assertEqual(result.stdout, "")

    def test_invalid_request_gives_one_line(self):
        """Guards against printing the reason within the summary of an empty answer."""
        self.host.script("/v1/queries", (404, {**COMPLETE, **INVALID}))
        result = self.ask(2)
        self.assertEqual(result.stderr, f"cicadalever: {self.host.address}: bad\n")
        self.assertEqual(result.stdout, "")
        self.assertEqual(json.loads(self.ask(2, "--json").stdout)["reason"], "bad")

    def test_usage_errors(self):
        """Guards against sending a request for an invalid command line."""
        bad = ("--param", "k"), ("--param", "k:={"), ("--rank", "x")
        bad += (("--param", "k:=NaN"), ("--param", "k:=1e400"))
        bad += (("--param", "k=1", "--param", "k=2"), ("--deadline-ms", "0"))
        for words in bad:
            self.ask(2, *words)
        for address in ("x", "127.0.0.1:99999", "http://a:1"):
            self.run_cli(2, "ask", "r", "--entry", address)
        self.assertIn("CICADALEVER_ENTRY", self.run_cli(2, "ask", "r").stderr)
        self.assertEqual(self.host.requests, [])

    def test_request_body(self):
        """Guards against ignored options and changed types of parameters."""
        self.host.script("/v1/queries", (200, COMPLETE))
        self.ask(0, "--param", "sku=007", "--param", "n:=5", "--deadline-ms", "90")
        (body,) = self.host.bodies("/v1/queries")
        self.assertRegex(body.pop("id"), "^[0-9a-f]{32}$")
        parameters = {"sku": "007", "n": 5}
        expected = {"route": "r", "parameters": parameters, "deadline_ms": 90}
        self.assertEqual(body, expected)

    def test_output(self):
        """Guards against an answer shown without coverage, snapshot or version."""
        self.host.script("/v1/queries", (200, PARTIAL))
        lines = self.ask(1).stdout.splitlines()
        self.assertEqual(lines[0].split(), ["SHARD", "ROW"])
        self.assertEqual(lines[1].split(), ["shop/s00", '{"sku":"A7"}'])
        for line in ("coverage  1/2", "snapshot  41", "version   7"):
            self.assertIn(line, lines)
        self.assertIn("latency   12.5 ms", lines)
        self.assertEqual(json.loads(self.ask(1, "--json").stdout), PARTIAL)

    def test_once_sends_the_issued_id(self):
        """Guards against a request without an id and an id that is not printed."""
        self.host.script("/v1/ids", (200, {"ids": ["h1.5.9"]}))
        self.host.script("/v1/queries", LOST)
        result = self.ask(4, "--once", "--param", "k=a b")
        (body,) = self.host.bodies("/v1/queries")
        self.assertEqual((body["id"], body["idempotent"]), ("h1.5.9", False))
        self.assertIn("--param 'k=a b' --id h1.5.9", result.stderr)
        self.host.script("/v1/queries", (200, COMPLETE))
        self.ask(0, "--id", "h1.5.9")
        self.assertEqual(self.host.bodies("/v1/queries")[1]["id"], "h1.5.9")
        self.assertEqual(len(self.host.bodies("/v1/ids")), 1)

    def test_interrupted_once(self):
        """Guards against hiding that an interrupted request may have run."""
        interrupted = Mock()
        interrupted.post.side_effect = KeyboardInterrupt
        with patch("cicadalever.cli._ask_command.Client", return_value=interrupted):
            result = self.ask(4, "--id", "h1.5.9")
            self.assertIn("--id h1.5.9", result.stderr)
            self.ask(130)

    def test_once_without_an_id_is_not_sent(self):
        """Guards against reporting "unknown" for a request that was not sent."""
        for answer, code in (
            ((503, {"error": {"code": "overload", "reason": "table full"}}), 3),
            (LOST, 5),
            ((200, {"ids": []}), 5),
            ((400, {}), 2),
        ):
            self.host.script("/v1/ids", answer)
            self.ask(code, "--once")
        self.assertEqual(self.host.bodies("/v1/queries"), [])


class FakeClient:
    """Returns scripted replies; the last one repeats."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = 0

    def post(self, address, path, value):
        self.calls += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


class TestQuerySender(CliTestCase):
    """Repeated attempts, with a clock that advances only while the sender sleeps."""

    def run_sender(self, **plan):
        self.ids, self.slept = [], []
        sender = QuerySender(
            Client(),
            SendPlan(self.host.address, {"route": "r"}, **plan),
            announce_id=self.ids.append,
            notify=lambda text: None,
            clock=lambda: sum(self.slept),
            sleep=self.slept.append,
        )
        return sender.send()

    def sent_ids(self):
        return [body.get("id") for body in self.host.bodies("/v1/queries")]

    def test_waits_for_retry_after_until_answered(self):
        """Guards against ending after a refused or a lost attempt, despite ``wait``."""
        self.host.script("/v1/queries", (503, REFUSED), LOST, (502, {}), (200, PARTIAL))
        answer = self.run_sender(wait=True)
        self.assertEqual(answer.body["outcome"], "partial")
        self.assertEqual(self.slept, [2.5, 1.0, 1.0])

    def test_gives_up(self):
        """Guards against attempts after ``give_up_s``."""
        self.host.script("/v1/queries", (503, REFUSED))
        answer = self.run_sender(wait=True, give_up_s=8)
        self.assertEqual(answer.body["outcome"], "refused_not_run")
        self.assertEqual(self.slept, [2.5, 2.5, 2.5])

    def test_final_answers_are_not_resent(self):
        """Guards against resending a request that may have run or is invalid."""
        self.host.script("/v1/ids", (200, {"ids": ["a"]}))
        for status, value in ((504, UNKNOWN), (502, {}), (404, {})):
            self.host.script("/v1/queries", (status, value))
            self.run_sender(wait=True, once=True)
            self.assertEqual(self.slept, [])

    def test_refused_once_request_gets_a_new_id(self):
        """Guards against resending with an id that is refused for good."""
        self.host.script("/v1/ids", (200, {"ids": ["a"]}), (200, {"ids": ["b"]}))
        self.host.script("/v1/queries", (503, REFUSED), (200, COMPLETE))
        self.run_sender(wait=True, once=True)
        self.assertEqual((self.sent_ids(), self.ids), (["a", "b"], ["a", "b"]))

    def test_lost_once_request_keeps_its_id(self):
        """Guards against running a request under two ids after a lost reply."""
        self.host.script("/v1/ids", (200, {"ids": ["a"]}), (200, {"ids": ["b"]}))
        self.host.script("/v1/queries", LOST, (503, REFUSED), (200, COMPLETE))
        self.run_sender(wait=True, once=True)
        # The refusal shows that the first attempt with the same id did not run either.
        self.assertEqual(self.sent_ids(), ["a", "a", "b"])

    def test_given_id_is_never_replaced(self):
        """Guards against running a resent request under a second id."""
        self.host.script("/v1/queries", LOST, (503, REFUSED), (200, COMPLETE))
        answer = self.run_sender(wait=True, once=True, request_id="x")
        self.assertEqual(answer.body["outcome"], "refused_not_run")
        self.assertEqual((self.sent_ids(), self.ids), (["x", "x"], []))

    def test_lost_attempt_may_have_run(self):
        """Guards against "unreachable" for a request that an earlier attempt sent."""
        client = FakeClient(
            Reply("a", 200, {"ids": ["i"]}),
            NoReply("a", "connection lost", True),
            NoReply("a", "cannot connect", False),
        )
        sender = QuerySender(
            client,
            SendPlan("a", {"route": "r"}, once=True, wait=True, give_up_s=1.5),
            announce_id=str,
            notify=str,
            clock=lambda: client.calls * 0.1,
            sleep=lambda seconds: None,
        )
        self.assertFalse(sender.send().sent)
        self.assertTrue(sender.may_have_run)

    def test_retry_delay_is_bounded(self):
        """Guards against a busy loop or a hang when ``retry_after_s`` is invalid."""
        nan = float("nan")
        values = (0, 0.05), (1e9, 60.0), ("x", 1.0), (True, 1.0), (nan, 1.0)
        for named, expected in values:
            answer = Reply("a", 503, {"retry_after_s": named})
            self.assertEqual(retry_delay(answer), expected)


class TestInspection(CliTestCase):
    """Commands that use the admin address."""

    def test_status_of_several_hosts(self):
        """Guards against omitting all hosts when one is unreachable."""
        view = {"host_id": "h1", "queries_running": {"interactive": 3, "batch": 0}}
        self.host.script("/v1/status", (200, view))
        env = {"CICADALEVER_ADMIN": f"{self.host.address} {CLOSED}"}
        result = self.run_cli(5, "status", env=env)
        self.assertIn("3/0/-", result.stdout)
        self.assertIn(f"{CLOSED}: cannot connect", result.stderr)
        rows = json.loads(self.run_cli(5, "status", "--json", env=env).stdout)
        self.assertEqual([row["address"] for row in rows], [self.host.address, CLOSED])

    def test_entry_address_is_not_an_admin_address(self):
        """Guards against "unreachable" when the entry address is given instead."""
        for command in ("status", "members"):
            result = self.run_cli(2, command, "--admin", self.host.address)
            self.assertIn("need the admin address", result.stderr)
            self.assertEqual(result.stdout, "")

    def test_unresolved_name(self):
        """Guards against truncating the error message of the resolver."""
        resolver = "Failed to resolve 'n' ([Errno -2] Name or service not known)"
        error = Exception(f"HTTPConnection(host='n', port=80): {resolver}")
        self.assertEqual(_innermost_message(error), resolver)

    def test_versions_show_lagging_hosts(self):
        """Guards against showing a lagging host as up to date."""
        other = FakeHost()
        self.addCleanup(other.close)
        verdict = {"sequence": 9, "patch_id": "p9", "accepted": False, "reason": "old"}
        view = {"host_id": "h1", "sequence": 9, "version": 7, "verdicts": [verdict]}
        self.host.script("/v1/versions", (200, view))
        other.script("/v1/versions", (200, {"host_id": "h2", "sequence": 6}))
        words = ("versions", self.host.address, other.address)
        rows = json.loads(self.run_cli(0, *words, "--json").stdout)
        self.assertEqual([row["behind"] for row in rows], [0, 3])
        self.assertIn("p9", self.run_cli(0, *words, "--verdicts").stdout)

    def test_upstreams_are_shown_as_their_owner_reports_them(self):
        """Guards against showing the view of a host that does not own the replica."""
        other = FakeHost()
        self.addCleanup(other.close)
        owned, remote = {"replica": "a", "running": 2}, {"replica": "a"}
        words = ["upstreams", "--json"]
        for host, row in ((self.host, owned), (other, remote)):
            host.script("/v1/upstreams", (200, {"upstreams": [row]}))
            words += ["--admin", host.address]
        self.assertEqual(json.loads(self.run_cli(0, *words).stdout), [owned])

    def test_lists(self):
        """Guards against requesting the wrong view and accepting any body."""
        for name in ("routes", "members", "quarantine"):
            self.host.script(f"/v1/{name}", (200, {name: [{"state": name}]}))
            words = (name, "--admin", self.host.address, "--json")
            self.assertEqual(
                json.loads(self.run_cli(0, *words).stdout), [{"state": name}]
            )
            self.host.script(f"/v1/{name}", (200, {name: "x"}))
            self.run_cli(5, *words)
            self.run_cli(5, name, "--admin", CLOSED)

    def test_drain_names_one_host(self):
        """Guards against draining one of several hosts without an explicit choice."""
        self.host.script("/v1/drain", (202, {"state": "draining"}))
        env = {"CICADALEVER_ADMIN": f"{self.host.address} {CLOSED}"}
        self.run_cli(2, "drain", env=env)
        self.assertEqual(self.host.requests, [])
        self.assertIn(
            "draining", self.run_cli(0, "drain", "--admin", self.host.address).stdout
        )

    def test_check_patch(self):
        """Guards against showing a refused patch as accepted and ignoring --against."""
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory, "patch.json")
            words = ("check-patch", str(file), "--admin", self.host.address)
            self.run_cli(2, *words)
            for content in ("{", "[]"):
                file.write_text(content)
                self.run_cli(2, *words)
            file.write_text('{"against": 3, "operations": []}')
            verdict = {"accepted": True, "next_version": 8, "changed": ["/routes"]}
            self.host.script("/v1/check-patch", (200, verdict))
            self.assertIn("version 8", self.run_cli(0, *words, "--against", "7").stdout)
            self.host.script("/v1/check-patch", (200, {"reason": "against is 3"}))
            self.assertIn("against is 3", self.run_cli(3, *words).stdout)
        sent = [body["against"] for body in self.host.bodies("/v1/check-patch")]
        self.assertEqual(sent, [7, 3])

    def test_check_settings(self):
        """Guards against accepting an invalid file."""
        example = EXAMPLES / "semenanjung" / "host-1.json"
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory, "host.json")
            words = ("check-settings", str(file))
            (line,) = self.run_cli(2, *words).stderr.splitlines()
            self.assertEqual(line, f"cicadalever: {file}: No such file or directory")
            settings = json.loads(example.read_text())
            file.write_text(json.dumps(settings))
            self.assertIn("valid", self.run_cli(0, *words).stdout)
            file.write_text(json.dumps(settings | {"linger_s": -1}))
            (line,) = self.run_cli(2, *words).stderr.splitlines()
            self.assertIn(f"{file}: linger_s: -1 ", line)
            file.write_text("{")
            (line,) = self.run_cli(2, *words).stderr.splitlines()
            self.assertIn("is not JSON", line)

    def test_eventlet_is_not_imported(self):
        """Guards against the import time and patched sockets of a daemon in the CLI."""
        code = "import sys, cicadalever.cli; sys.exit('eventlet' in sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)

    def test_addresses(self):
        """Guards against accepting a URL or a name without a port as an address."""
        for text in ("127.0.0.1:80", "[::1]:80"):
            self.assertTrue(is_address(text), text)
        for text in ("127.0.0.1", ":80", "a:0", "a:b", "a:80/x", "a@b:80"):
            self.assertFalse(is_address(text), text)

    def test_columns_are_fields_of_the_views(self):
        """Guards against a column that is always empty since no view has its field."""
        for name in ("Status", "Member", "Route", "Upstream", "Quarantine", "Verdict"):
            fields = getattr(api, f"{name}View").__annotations__
            for column in getattr(_inspect, f"{name.upper()}_COLUMNS"):
                self.assertIn(column.field, fields, name)

    def test_table_cells_stay_on_their_line(self):
        """Guards against a line break within a value that breaks the table."""
        rows = [{"a": "x\ny", "b": None}]
        lines = render_table((Column("A", "a"), Column("B", "b")), rows)
        self.assertEqual(lines, ["A     B", "x\\ny  -"])


class TestAudit(CliTestCase):
    """Reading and following an audit trail."""

    def page(self, *sequences, incarnation=1, last=None):
        events = [
            {"sequence": n, "time_unix": 0, "kind": "k", "version": 7, "details": {}}
            for n in sequences
        ]
        last = sequences[-1] if last is None else last
        view = {"incarnation": incarnation, "last_sequence": last, "events": events}
        return 200, view

    def test_command(self):
        """Guards against an ignored filter and against showing the oldest events."""
        self.host.script("/v1/audit", self.page(1, 2, 3))
        words = ("audit", "--admin", self.host.address, "--json", "--kind", "k")
        result = self.run_cli(0, *words, "--limit", "2")
        lines = [json.loads(line)["sequence"] for line in result.stdout.splitlines()]
        self.assertEqual(lines, [2, 3])
        self.assertIn("kind=k", self.host.requests[0][1])
        self.run_cli(5, "audit", "--admin", CLOSED)
        text = self.run_cli(0, "audit", "--admin", self.host.address).stdout
        self.assertIn("1970-01-01T00:00:00.000Z       1  v7  k", text)

    def test_first_page_stays_when_the_second_fails(self):
        """Guards against events that are read and then lost."""
        first = self.page(*range(1, 1001))
        self.host.script("/v1/audit", first, LOST, self.page(1001))
        reader = AuditReader(Client(), self.host.address, notify=print)
        self.assertEqual(len(reader.read_available()), 1000)
        rest = reader.read_available()
        self.assertEqual([event["sequence"] for event in rest], [1001])

    def test_follow(self):
        """Guards against events that are repeated or lost, also after a restart."""
        pages = self.page(1, 2), self.page(5), LOST, self.page(last=1, incarnation=2)
        self.host.script("/v1/audit", *pages, self.page(1, incarnation=2))
        notes = []
        reader = AuditReader(
            Client(), self.host.address, notify=notes.append, sleep=lambda seconds: None
        )
        events = reader.follow(1.0)
        got = [next(events)["sequence"] for _ in range(4)]
        self.assertEqual(got, [1, 2, 5, 1])
        queries = [target for _, target, _ in self.host.requests]
        after = [query.split("after=")[1].split("&")[0] for query in queries]
        self.assertEqual(after, ["0", "2", "5", "5", "0"])
        texts = ("2 events were overwritten", "connection lost", "restarted")
        for note, text in zip(notes, texts, strict=True):
            self.assertIn(text, note)

    def test_unusable_answer(self):
        """Guards against an exception on an answer that another service gave."""
        self.host.script("/v1/audit", (200, {"events": [{}]}))
        reader = AuditReader(Client(), self.host.address, notify=print)
        self.assertIsInstance(reader.read_available(), NoReply)

    def test_unknown_kind(self):
        """Guards against "unreachable" for a kind that the host does not know."""
        error = {"error": {"code": "invalid", "reason": "kind: 'x' is not in a, b"}}
        self.host.script("/v1/audit", (400, error))
        words = ("audit", "--admin", self.host.address, "--kind", "x")
        self.assertIn("is not in a, b", self.run_cli(2, *words).stderr)


class TestExamples(CliTestCase):
    """The files of the examples directory."""

    def test_patch_applies_to_the_example_configuration(self):
        """Guards against an example patch that a host would refuse."""
        document, patch_file = (
            json.loads(Path(EXAMPLES, name).read_text())
            for name in ("semenanjung/configuration.json", "patch.json")
        )
        result = apply_patch(document, patch_file["against"], patch_file)
        self.assertIsInstance(result, Accepted)
        self.assertNotEqual(result.document, document)

    def test_files_pass_their_checks(self):
        """Guards against an example that a platform or host would not accept."""
        for name in ("semenanjung", "nz-north"):
            text = Path(EXAMPLES, name, "configuration.json").read_text()
            self.assertTrue(check_document(json.loads(text)), name)
            self.run_cli(0, "check-settings", str(Path(EXAMPLES, name, "host-1.json")))

    def test_ask_lookup(self):
        """Guards against an example that does not follow the caller protocol."""
        self.host.script("/v1/queries", (200, COMPLETE))
        script = EXAMPLES / "ask_lookup.py"
        command = [sys.executable, script, self.host.address, "A7"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual((done.returncode, done.stdout[:8]), (0, "shop/s00"))
