"""Tests of the HTTP helpers and of the administration application."""

import io
import json
import unittest
from unittest.mock import Mock

from cicadalever.api import (
    AdminApplication,
    ArrivalClock,
    CallerApplication,
    Request,
    Router,
    encode_answer,
    json_response,
)


def call(application, method, path, body=None, *, query="", **extra):
    """Return (status, headers, body) of one request to a WSGI application."""
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query}
    environ["wsgi.input"] = io.BytesIO(body or b"")
    if body is not None:
        environ["CONTENT_LENGTH"] = str(len(body))
    environ.update(extra)
    start = Mock()
    content = b"".join(application(environ, start))
    status, headers = start.call_args.args
    return int(status.split()[0]), dict(headers), content


class TestRouter(unittest.TestCase):
    """Routing of requests and reading of their bodies."""

    def setUp(self):
        self.router = Router({("POST", "/echo"): self.echo, ("GET", "/echo"): self.ok})

    @staticmethod
    def echo(request: Request):
        value = request.read_object(20)
        return value if not isinstance(value, dict) else json_response(value)

    @staticmethod
    def ok(request: Request):
        return json_response("ok")

    def assert_refused(self, status, code, text, method, path, body=None, **extra):
        actual, headers, content = call(self.router, method, path, body, **extra)
        self.assertEqual(actual, status)
        error = json.loads(content)["error"]
        self.assertEqual(error["code"], code)
        self.assertIn(text, error["reason"])
        return headers

    def test_body_is_returned(self):
        """Guards against truncating or refusing a body whose size equals the limit."""
        body = b'{"a": "' + b"x" * 11 + b'"}'
        self.assertEqual(len(body), 20)
        status, headers, content = call(self.router, "POST", "/echo", body)
        self.assertEqual((status, json.loads(content)), (200, {"a": "x" * 11}))
        self.assertEqual(headers["Content-Length"], str(len(content)))

    def test_body_read_in_parts(self):
        """Guards against treating a body as complete after a short read."""
        stream = Mock()
        stream.read.side_effect = [b'{"a"', b": 1}"]
        extra = {"wsgi.input": stream}
        self.assertEqual(call(self.router, "POST", "/echo", b"x" * 8, **extra)[0], 200)

    def test_unknown_path_and_method(self):
        """Guards against a 404 for a known path and a 405 without Allow."""
        self.assert_refused(404, "not_found", "/none", "GET", "/none")
        headers = self.assert_refused(405, "invalid", "PUT", "PUT", "/echo")
        self.assertEqual(headers["Allow"], "GET, POST")

    def test_refused_bodies(self):
        """Guards against accepting a body with a wrong length or wrong content."""
        cases = (
            (411, "invalid", "required", None, {}),
            (400, "invalid", "'-1'", b"", {"CONTENT_LENGTH": "-1"}),
            (400, "invalid", "'ten'", b"", {"CONTENT_LENGTH": "ten"}),
            (400, "invalid", "after 2 of 9", b"{}", {"CONTENT_LENGTH": "9"}),
            (400, "invalid", "exclude", b"{}", {"HTTP_TRANSFER_ENCODING": "chunked"}),
            (413, "too_large", "limit of 20", b"x" * 21, {}),
            (413, "too_large", "limit", b"", {"CONTENT_LENGTH": "9" * 5000}),
            (400, "invalid", "not JSON", b"{", {}),
            (400, "invalid", "not JSON", b'{"a": NaN}', {}),
            (400, "invalid", "not JSON", b"\xff", {}),
            (400, "invalid", "got list", b"[]", {}),
        )
        for status, code, text, body, extra in cases:
            with self.subTest(text=text, body=body):
                self.assert_refused(status, code, text, "POST", "/echo", body, **extra)

    def test_connection_reset_while_reading(self):
        """Guards against an exception when the caller disconnects within the body."""
        stream = Mock()
        stream.read.side_effect = ConnectionResetError("reset by peer")
        extra = {"wsgi.input": stream}
        self.assert_refused(400, "invalid", "reset", "POST", "/echo", b"{}", **extra)


class TestArrivalClock(unittest.TestCase):
    """Deadlines of requests that arrived while the process was paused."""

    def test_request_may_have_come_at_the_start_of_the_pause(self):
        """Guards against work for callers whose deadline passed during a pause."""
        clock = ArrivalClock(0.0)
        clock.tick(1.0)
        self.assertEqual(clock.earliest_arrival(4.0), 1.0)
        clock.tick(4.0)
        self.assertEqual(clock.earliest_arrival(4.2), 1.0)

    def test_busy_process_is_not_paused(self):
        """Guards against deadlines that are cut short under load."""
        clock = ArrivalClock(0.0)
        for tick in range(1, 20):
            clock.tick(0.4 * tick)
            now = 0.4 * tick + 0.39
            self.assertEqual(clock.earliest_arrival(now), now)


class TestCallerApplication(unittest.TestCase):
    """Requests that a host receives before it has a configuration."""

    def setUp(self):
        self.once = Mock()
        self.application = CallerApplication(
            *(Mock(), self.once, Mock(), lambda: None, Mock(), Mock(), encode_answer),
            max_body_bytes=1000,
        )

    def ask(self, **fields):
        body = {"id": "h1.5.1", "route": "order", "parameters": {}} | fields
        data = json.dumps(body).encode()
        content = call(self.application, "POST", "/v1/queries", data)[2]
        return json.loads(content)["outcome"]

    def test_id_issued_by_another_process(self):
        """Guards against "not run" for a request that may have run at its issuer."""
        self.once.is_issued_here.return_value = False
        self.assertEqual(self.ask(), "outcome_unknown")

    def test_requests_that_did_not_run(self):
        """Guards against "unknown" for reads and for ids that this process issued."""
        self.once.is_issued_here.return_value = False
        self.assertEqual(self.ask(id="7db1f30b"), "refused_not_run")
        self.assertEqual(self.ask(idempotent=True), "refused_not_run")
        self.once.is_issued_here.return_value = True
        self.assertEqual(self.ask(), "refused_not_run")


class TestAdminApplication(unittest.TestCase):
    """Paths and query parameters of the administration interface."""

    def setUp(self):
        self.views = Mock()
        self.application = AdminApplication(self.views)

    def test_views_are_served(self):
        """Guards against a path that serves the wrong view."""
        for name in ("status", "versions"):
            getattr(self.views, name).return_value = {"host_id": name}
            status, _, content = call(self.application, "GET", f"/v1/{name}")
            self.assertEqual((status, json.loads(content)), (200, {"host_id": name}))
        for name in ("members", "routes", "upstreams", "quarantine"):
            getattr(self.views, name).return_value = [name]
            status, _, content = call(self.application, "GET", f"/v1/{name}")
            self.assertEqual((status, json.loads(content)), (200, {name: [name]}))
        self.views.metrics.return_value = b"a 1\n"
        status, headers, content = call(self.application, "GET", "/metrics")
        self.assertEqual((status, content), (200, b"a 1\n"))
        self.assertTrue(headers["Content-Type"].startswith("text/plain"))

    def test_only_ready_is_healthy(self):
        """Guards against a load balancer that sends requests to a draining host."""
        for state, expected in (("starting", 503), ("ready", 200), ("draining", 503)):
            self.views.health.return_value = state
            status, _, content = call(self.application, "GET", "/v1/health")
            self.assertEqual((status, json.loads(content)["state"]), (expected, state))

    def test_audit_parameters(self):
        """Guards against ignored filters and answers without a limit."""
        self.views.audit.return_value = {"events": []}
        call(self.application, "GET", "/v1/audit")
        self.views.audit.assert_called_with(0, None, 200)
        query = "after=7&kind=drain_started&limit=1000"
        call(self.application, "GET", "/v1/audit", query=query)
        self.views.audit.assert_called_with(7, "drain_started", 1000)
        for query in ("after=-1", "after=x", "limit=0", "limit=1001", "after=%C2%B2"):
            got = call(self.application, "GET", "/v1/audit", query=query)[0]
            self.assertEqual(got, 400, query)

    def test_drain(self):
        """Guards against a drain confirmed but not started, and one started by GET."""
        self.views.health.return_value = "draining"
        self.assertEqual(call(self.application, "GET", "/v1/drain")[0], 405)
        self.views.drain.assert_not_called()
        status, _, content = call(self.application, "POST", "/v1/drain")
        self.assertEqual((status, json.loads(content)), (202, {"state": "draining"}))
        self.views.drain.assert_called_once_with()

    def test_check_patch(self):
        """Guards against checking a body that is not a patch."""
        self.views.check_patch.return_value = {"accepted": True}
        for body in (b"[]", b"{", b"{}"):
            got = call(self.application, "POST", "/v1/check-patch", body)[0]
            self.assertEqual(got, 400, body)
        self.views.check_patch.assert_not_called()
        body = b'{"operations": []}'
        got = call(self.application, "POST", "/v1/check-patch", body)
        self.assertEqual((got[0], json.loads(got[2])), (200, {"accepted": True}))
        self.views.check_patch.assert_called_once_with({"operations": []})
