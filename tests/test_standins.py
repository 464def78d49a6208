"""Tests of the stand-ins over loopback.

A service time or lag of ``ENDLESS_S`` does not end by itself: a request of the test
ends it, so that no result depends on the speed of the machine.
"""

import json
import random
import sys
import tempfile
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from standins import check
from standins._client import ConnectionBroken, HttpClient
from standins.deployment import PLANS, build_deployment, find_base_port
from standins.load import read_records
from standins.process import Process, module_process
from tests.records import RECORD

ENDLESS_S = 3600
WATCHDOG_S = 60
SHARD = "storefront/s00"


def free_port(count=8):
    """Return the first of ``count`` successive free ports."""
    return find_base_port(random.Random(), count)


def wait_until(condition):
    """Poll ``condition``; the time-out only ends a test that hangs."""
    until = time.monotonic() + WATCHDOG_S
    while not condition():
        if time.monotonic() > until:
            raise AssertionError("timed out waiting for the expected state")
        time.sleep(0.005)


class StandinCase(unittest.TestCase):
    """Starts stand-ins and opens clients that are closed at the end of the test."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def start(self, name, settings):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        output = self.directory / f"{name}.out"
        process = module_process(name, f"standins.{name}", path, output)
        process.start()
        self.addCleanup(process.stop)
        self.assertTrue(process.wait_ready(), process.output)
        return process

    def client(self, address, source_ip=None):
        client = HttpClient(address, timeout_s=WATCHDOG_S, source_ip=source_ip)
        self.addCleanup(client.close)
        return client

    def start_upstream(self, limit=0, **parameters):
        port = free_port()
        self.address, control = f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}"
        defaults = {"connect_s": 0, "snapshots": {"41": [SHARD]}} | parameters
        upstream = {"service": "storefront", "address": self.address}
        settings = {
            "control": control,
            "defaults": defaults,
            "services": {"storefront": {"connections": limit}},
            "upstreams": {"a": upstream},
        }
        self.start("upstream", settings)
        self.control = self.client(control)

    def send(self, client, request_id, operation="read", body=b"{}", **headers):
        defaults = {"X-Shard": SHARD, "X-Snapshot": "41", "X-Request-Id": request_id}
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        client.send_request("POST", f"/v1/{operation}", body, defaults | names)

    def ask(self, client, *args, **kwargs):
        self.send(client, *args, **kwargs)
        return client.receive()

    def change(self, **command):
        answer = self.control.request_json(
            "POST", "/control", {"upstreams": "*"} | command
        )
        self.assertEqual(answer, {"changed": ["a"]})

    def wait_for_load(self, running, queued=0):
        def is_reached():
            state = self.control.request_json("GET", "/upstreams")["a"]
            return (state["running"], state["queued"]) == (running, queued)

        wait_until(is_reached)

    def runs(self):
        return check.read_runs(self.control.request_json("GET", "/ledger"))

    def outcomes(self):
        return [(run.request_id, run.outcome) for run in self.runs()]

    def refusals(self):
        return self.control.request_json("GET", "/ledger/summary")["refusals"]


class TestUpstream(StandinCase):
    """The upstream stand-in."""

    def test_slots_queue_shed_and_cancel(self):
        """Guards against more runs than slots and "shed" answers for runs."""
        self.start_upstream(
            slots=1, queue_length=1, queue_wait_s=ENDLESS_S, service_s=ENDLESS_S
        )
        first, second, third = (self.client(self.address) for _ in range(3))
        self.send(first, "q1/0")
        self.wait_for_load(running=1)
        self.send(second, "q2/0")
        self.wait_for_load(running=1, queued=1)
        shed = self.ask(third, "q3/0")
        self.assertEqual((shed.status, shed.headers["x-not-run"]), (503, "shed"))
        self.assertEqual(third.request("DELETE", "/v1/requests/q1/0").status, 200)
        self.assertEqual(first.receive().status, 499)
        self.wait_for_load(running=1)
        self.assertEqual(third.request("DELETE", "/v1/requests/q2/0").status, 200)
        self.assertEqual(second.receive().status, 499)
        self.assertEqual(third.request("DELETE", "/v1/requests/q2/0").status, 404)
        self.assertEqual(
            self.outcomes(), [("q1/0", "cancelled"), ("q2/0", "cancelled")]
        )
        self.assertEqual(self.refusals(), {"shed": 1})

    def test_cancelled_in_queue_did_not_run(self):
        """Guards against a ledger entry of a request cancelled in the queue."""
        self.start_upstream(
            slots=1, queue_length=1, queue_wait_s=ENDLESS_S, service_s=ENDLESS_S
        )
        first, second, third = (self.client(self.address) for _ in range(3))
        self.send(first, "q1/0")
        self.wait_for_load(running=1)
        self.send(second, "q2/0")
        self.wait_for_load(running=1, queued=1)
        third.request("DELETE", "/v1/requests/q2/0")
        answer = second.receive()
        self.assertEqual((answer.status, answer.headers["x-not-run"]), (503, "shed"))
        self.assertEqual(self.outcomes(), [("q1/0", "running")])

    def test_answers_only_for_shards_and_snapshots_it_holds(self):
        """Guards against rows of a snapshot or shard that the upstream lacks."""
        self.start_upstream(service_s=0)
        client = self.client(self.address)
        answer = self.ask(client, "q1/0", body=b'{"echo": "e1"}')
        row = {"shard": SHARD, "snapshot": 41, "echo": "e1"}
        self.assertEqual((answer.status, answer.json()), (200, [row]))
        self.assertEqual(answer.headers["x-snapshot"], "41")
        for headers in ({"X_Snapshot": "40"}, {"X_Shard": "storefront/s01"}):
            gone = self.ask(client, "q2/0", **headers)
            expected = (410, "snapshot")
            self.assertEqual((gone.status, gone.headers["x-not-run"]), expected)
        self.change(set={"snapshots": {"42": [SHARD]}})
        self.assertEqual(self.ask(client, "q3/0").status, 410)
        self.assertEqual(self.outcomes(), [("q1/0", "done")])

    def test_deadline_before_and_during_a_run(self):
        """Guards against "not run" answers for runs that a deadline has stopped."""
        self.start_upstream(service_s=ENDLESS_S)
        client = self.client(self.address)
        before = self.ask(client, "q1/0", X_Deadline_Ms="0")
        self.assertEqual(
            (before.status, before.headers["x-not-run"]), (503, "deadline")
        )
        during = self.ask(client, "q2/0", X_Deadline_Ms="1000")
        self.assertEqual((during.status, during.headers.get("x-not-run")), (504, None))
        self.assertEqual(self.outcomes(), [("q2/0", "deadline")])

    def test_closed_client_connection_cancels(self):
        """Guards against slots held for clients that have disconnected."""
        self.start_upstream(service_s=ENDLESS_S)
        client = self.client(self.address)
        self.send(client, "q1/0")
        self.wait_for_load(running=1)
        client.close()
        self.wait_for_load(running=0)
        self.assertEqual(self.outcomes(), [("q1/0", "client_closed")])

    def test_duplicate_run_is_refused(self):
        """Guards against a second run under the same request id."""
        self.start_upstream(service_s=0)
        client = self.client(self.address)
        statuses = [self.ask(client, "q1/0", "run").status for _ in range(2)]
        self.assertEqual(statuses, [200, 409])
        self.assertEqual(self.outcomes(), [("q1/0", "done")])

    def test_poison_crashes_the_upstream(self):
        """Guards against a crash without the end of other runs, port and warm state."""
        self.start_upstream(service_s=ENDLESS_S, restart_s=ENDLESS_S, cold_refusals=1)
        beside, poison = self.client(self.address), self.client(self.address)
        self.assertEqual(self.ask(beside, "q0/0").headers["x-not-run"], "cold")
        self.send(beside, "q1/0")
        self.wait_for_load(running=1)
        self.send(poison, "q2/0", body=b'{"poison": true}')
        for client in (poison, beside):
            with self.assertRaises(ConnectionBroken):
                client.receive()
        with self.assertRaises(ConnectionBroken) as refused:
            beside.open()
        self.assertFalse(refused.exception.sent)
        self.change(action="start", set={"service_s": 0})
        self.assertEqual(self.ask(beside, "q3/0").headers["x-not-run"], "cold")
        self.assertEqual(self.ask(beside, "q4/0").status, 200)
        self.assertEqual(
            self.outcomes(),
            [("q1/0", "crashed"), ("q2/0", "crashed"), ("q4/0", "done")],
        )
        events = self.control.request_json("GET", "/ledger")["events"]
        kinds = [event["kind"] for event in events]
        self.assertEqual(kinds, ["start", "crash", "start"])

    def test_drain_marks_answers_then_refuses(self):
        """Guards against a drain without its header, or with runs after the delay."""
        self.start_upstream(service_s=0, drain_refuse_after_s=ENDLESS_S)
        client = self.client(self.address)
        self.assertNotIn("x-draining", self.ask(client, "q1/0").headers)
        self.change(action="drain")
        marked = self.ask(client, "q2/0")
        self.assertEqual((marked.status, marked.headers["x-draining"]), (200, "1"))
        self.change(set={"drain_refuse_after_s": 0})
        refused = self.ask(client, "q3/0")
        expected = (503, "draining")
        self.assertEqual((refused.status, refused.headers["x-not-run"]), expected)
        self.change(action="undrain")
        self.assertEqual(self.ask(client, "q4/0").status, 200)

    def test_connection_limit_of_a_service(self):
        """Guards against excess connections that are served or not counted."""
        self.start_upstream(limit=2, service_s=0)
        clients = [self.client(self.address) for _ in range(4)]
        for client in clients[:2]:
            self.assertEqual(self.ask(client, "q1/0").status, 200)
        with self.assertRaises(ConnectionBroken):
            self.ask(clients[2], "q2/0")
        counts = self.control.request_json("GET", "/connections")["storefront"]
        expected = {"limit": 2, "open": 2, "max_seen": 3, "violations": 1}
        self.assertEqual(counts, expected)
        clients[0].close()
        wait_until(
            lambda: (
                self.control.request_json("GET", "/connections")["storefront"]["open"]
                == 1
            )
        )
        self.assertEqual(self.ask(clients[3], "q3/0").status, 200)

    def test_health_lags(self):
        """Guards against a health endpoint that reports the present load at once."""
        self.start_upstream(slots=1, service_s=ENDLESS_S, health_lag_s=ENDLESS_S)
        client, busy = self.client(self.address), self.client(self.address)
        idle = {"state": "ready", "load": 0.0}
        self.assertEqual(client.request_json("GET", "/v1/health"), idle)
        self.send(busy, "q1/0")
        self.wait_for_load(running=1)
        self.assertEqual(client.request_json("GET", "/v1/health"), idle)
        self.change(set={"health_lag_s": 0})
        self.assertEqual(client.request_json("GET", "/v1/health")["load"], 1.0)

    def test_unknown_parameter_is_refused(self):
        """Guards against a misspelt fault of a scenario that is never injected."""
        self.start_upstream()
        command = json.dumps({"upstreams": "*", "set": {"stragler": 1}}).encode()
        self.assertEqual(self.control.request("POST", "/control", command).status, 400)


KIND = {"rank": "report", "deadline_ms": 1000}
DOCUMENT = {
    "services": {},
    "snapshots": [{"id": 1, "indexes": {}}],
    "routes": {},
    "kinds": {},
}


class TestPlatform(StandinCase):
    """The platform stand-in."""

    def setUp(self):
        super().setUp()
        port = free_port()
        settings = {
            "address": f"127.0.0.1:{port}",
            "control": f"127.0.0.1:{port + 1}",
            "document": DOCUMENT,
            "hosts": [{"id": "h1", "state": "live"}, {"id": "h2", "state": "live"}],
            "host_lag_s": ENDLESS_S,
            "full_every": 2,
        }
        self.start("platform", settings)
        self.reader = self.client(settings["address"])
        self.control = self.client(settings["control"])

    def submit(self, against, name):
        path = f"/kinds/{name}"
        operation = {"op": "add", "path": path, "value": KIND}
        patch = {
            "id": name,
            "against": against,
            "author": "operator",
            "operations": [operation],
        }
        answer = self.control.request_json("POST", "/v1/patches", patch)
        return answer["sequence"], answer["version"], answer["accepted"]

    def sequences(self, after=0):
        log = self.reader.request_json("GET", f"/v1/log?after={after}")
        return [entry["sequence"] for entry in log["entries"]]

    def counters(self):
        return self.control.request_json("GET", "/counters")

    def set(self, **command):
        return self.control.request_json("POST", "/control", command)

    def test_watch_ends_with_the_next_entry(self):
        """Guards against a long poll that misses an entry or is not counted."""
        self.reader.send_request("GET", "/v1/log?after=0&wait=60")
        wait_until(lambda: self.counters()["waiting"] == 1)
        self.assertEqual(self.submit(1, "a"), (1, 2, True))
        entries = self.reader.receive().json()["entries"]
        self.assertEqual([entry["sequence"] for entry in entries], [1])
        self.assertEqual(entries[0]["patch"]["id"], "a")
        self.assertEqual(self.counters()["waiting"], 0)
        self.assertEqual(self.counters()["reads"], {"log": 1})

    def test_refused_patch_stays_in_the_log(self):
        """Guards against a patch against an old version that raises the version."""
        self.assertEqual(self.submit(1, "a"), (1, 2, True))
        self.assertEqual(self.reader.request_json("GET", "/v1/document")["sequence"], 0)
        self.assertEqual(self.submit(1, "b"), (2, 2, False))
        self.assertEqual(self.sequences(), [1, 2])
        full = self.reader.request_json("GET", "/v1/document")
        document = {**DOCUMENT, "kinds": {"a": KIND}}
        expected = {"sequence": 2, "version": 2, "document": document}
        self.assertEqual(full, expected)

    def test_compacted_entries_are_gone(self):
        """Guards against a log that hides the gap of a compaction."""
        self.submit(1, "a")
        self.set(compact=True)
        self.assertEqual(self.reader.request_json("GET", "/v1/document")["sequence"], 1)
        self.submit(2, "b")
        self.assertEqual(self.reader.request("GET", "/v1/log?after=0").status, 410)
        self.assertEqual(self.sequences(after=1), [2])

    def test_stale_platform_hides_new_entries(self):
        """Guards against a stale platform that shows entries appended since."""
        self.submit(1, "a")
        self.set(stale=True)
        self.submit(2, "b")
        self.assertEqual(self.sequences(), [1])
        self.assertEqual(self.reader.request_json("GET", "/v1/document")["sequence"], 0)
        self.set(stale=False)
        self.assertEqual(self.sequences(), [1, 2])

    def test_host_list_lags(self):
        """Guards against a host list that shows a change before its lag."""
        self.set(host_states={"h1": "leaving", "h2": None})
        before = self.reader.request_json("GET", "/v1/hosts?after=0")
        states = [host["state"] for host in before["hosts"]]
        self.assertEqual((before["generation"], states), (1, ["live", "live"]))
        self.reader.send_request("GET", "/v1/hosts?after=1&wait=60")
        wait_until(lambda: self.counters()["waiting"] == 1)
        self.set(host_lag_s=0)
        after = self.reader.receive().json()
        expected = {"generation": 2, "hosts": [{"id": "h1", "state": "leaving"}]}
        self.assertEqual(after, expected)

    def test_down_platform_refuses_or_hangs(self):
        """Guards against a platform that answers while it should be down."""
        self.sequences()
        self.set(mode="refuse")
        with self.assertRaises(ConnectionBroken):
            self.sequences()
        with self.assertRaises(ConnectionBroken) as refused:
            self.sequences()
        self.assertFalse(refused.exception.sent)
        self.set(mode="up")
        self.assertEqual(self.sequences(), [])
        self.set(mode="hang")
        self.reader.send_request("GET", "/v1/log?after=0")
        self.set(mode="up")
        with self.assertRaises(ConnectionBroken):
            self.reader.receive()
        self.assertEqual(self.counters()["reads"]["log"], 2)


class TestProxy(StandinCase):
    """The fault-injecting proxy in front of an upstream."""

    def start_proxy(self, **rule):
        self.start_upstream(service_s=0)
        port = free_port()
        self.proxied = f"127.0.0.1:{port}"
        settings = {
            "control": f"127.0.0.1:{port + 1}",
            "sources": {"dc1": ["127.0.1."], "dc2": ["127.0.2."]},
            "listeners": [
                {"address": self.proxied, "target": self.address, "group": "dc3"}
            ],
            "rules": {"*>dc3": rule},
        }
        self.start("proxy", settings)
        self.proxy = self.client(settings["control"])
        self.affected = self.client(self.proxied, "127.0.1.1")
        self.unaffected = self.client(self.proxied, "127.0.2.1")

    def set(self, **command):
        self.assertEqual(self.proxy.request_json("POST", "/control", command), {})

    def test_reset_cuts_one_pair_only(self):
        """Guards against a cut that spares open connections or affects other pairs."""
        self.start_proxy()
        for client in (self.affected, self.unaffected):
            self.assertEqual(self.ask(client, "q1/0").status, 200)
        self.set(rules={"dc1>dc3": {"existing": "reset", "new": "refuse"}})
        for _ in range(2):
            with self.assertRaises(ConnectionBroken):
                self.ask(self.affected, "q2/0")
        self.assertEqual(self.ask(self.unaffected, "q3/0").status, 200)
        self.set(restore=True)
        self.assertEqual(self.ask(self.affected, "q4/0").status, 200)
        ran = [run.request_id for run in self.runs()]
        self.assertEqual(ran, ["q1/0", "q1/0", "q3/0", "q4/0"])

    def test_stall_holds_bytes_until_the_end_of_the_cut(self):
        """Guards against a stalled link that forwards bytes or loses them."""
        self.start_proxy()
        self.ask(self.affected, "q1/0")
        self.set(rules={"dc1>dc3": {"existing": "stall", "new": "black_hole"}})
        held = self.client(self.proxied, "127.0.1.2")
        self.send(self.affected, "q2/0")
        self.send(held, "q3/0")
        self.assertEqual(self.ask(self.unaffected, "q4/0").status, 200)
        self.assertEqual([run.request_id for run in self.runs()], ["q1/0", "q4/0"])
        self.set(restore=True)
        self.assertEqual(self.affected.receive().status, 200)
        self.assertEqual(held.receive().status, 200)
        self.assertEqual(len(self.runs()), 4)

    def test_connection_given_up_in_a_black_hole_never_opens(self):
        """Guards against abandoned connections that all open when a black hole ends."""
        self.start_proxy()
        self.set(rules={"dc1>dc3": {"new": "black_hole"}})
        for number in range(3):
            given_up = self.client(self.proxied, "127.0.1.2")
            self.send(given_up, f"q{number}/0")
            given_up.close()
        self.set(restore=True)
        self.assertEqual(self.ask(self.affected, "q9/0").status, 200)
        self.assertEqual([run.request_id for run in self.runs()], ["q9/0"])
        self.assertEqual(
            self.proxy.request_json("GET", "/pairs")["dc1>dc3"]["opened"], 1
        )

    def test_delay_and_bandwidth_keep_the_bytes_in_order(self):
        """Guards against delayed chunks that are reordered or lost."""
        self.start_proxy(latency_s=0.001, jitter_s=0.005, bytes_per_s=20_000_000)
        echo = "x" * 500_000
        body = json.dumps({"echo": echo}).encode()
        for number in range(3):
            answer = self.ask(self.affected, f"q{number}/0", body=body)
            self.assertEqual(answer.json()[0]["echo"], echo)

    def test_loss_resets_connections(self):
        """Guards against a loss rule without effect."""
        self.start_proxy(loss=1.0)
        with self.assertRaises(ConnectionBroken):
            self.ask(self.affected, "q1/0")
        self.assertEqual(self.runs(), [])
        self.assertEqual(
            self.proxy.request_json("GET", "/pairs")["dc1>dc3"]["resets"], 1
        )


class EntryStub(ThreadingHTTPServer):
    """Answers like an entry; closes connections of queries if ``breaks`` is set."""

    daemon_threads = True

    def __init__(self, breaks):
        super().__init__(("127.0.0.1", 0), EntryStubHandler)
        self.breaks = breaks
        self.queries = []
        self.issued = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_port}"


class EntryStubHandler(BaseHTTPRequestHandler):
    """One connection to an ``EntryStub``."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):  # noqa: N802 - the name that the base class calls
        """Answer ids and queries."""
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.path == "/v1/ids":
            self.server.issued.append(f"h.1.{self.server.server_port}")
            self.server.issued[-1] += f".{len(self.server.issued)}"
            self._send({"ids": [self.server.issued[-1]]})
            return
        self.server.queries.append(body)
        if self.server.breaks:
            self.close_connection = True
            return
        has_one_snapshot = body["route"] != "mixed"
        row = {"shard": "x/s0", "snapshot": 41 if has_one_snapshot else 40}
        row["echo"] = body["parameters"]["echo"] if body["route"] != "wrong" else "?"
        coverage = {"total": 1, "covered": ["x/s0"], "missing": [], "fraction": 1.0}
        answer = {"id": body["id"], "outcome": "complete", "snapshot": 41}
        self._send(answer | {"coverage": coverage, "rows": {"x/s0": [row]}})

    def _send(self, value):
        data = json.dumps(value).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_args):
        """Write no access log."""


class TestLoad(StandinCase):
    """The load tool against stub entries."""

    def test_broken_requests_are_sent_again_and_answers_are_judged(self):
        """Guards against retries under a wrong id and unnoticed wrong rows."""
        entries = [EntryStub(breaks=True), EntryStub(breaks=False)]
        for entry in entries:
            self.addCleanup(entry.server_close)
            self.addCleanup(entry.shutdown)
        kind = {"rate": 100, "deadline_ms": 20_000}
        kinds = {name: kind | {"route": name} for name in ("read", "mixed", "wrong")}
        kinds["once"] = kind | {"route": "run", "idempotent": False}
        settings = {
            "entries": [entry.address for entry in entries],
            "health_period_s": 0,
            "seed": 5,
            "duration_s": 0.5,
            "kinds": kinds,
            "output": str(self.directory / "records"),
        }
        path = self.directory / "load.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "standins.load", str(path)]
        load = Process("load", command, self.directory / "load.out")
        load.start()
        self.addCleanup(load.stop)
        wait_until(lambda: not load.is_running)
        records = read_records(settings["output"])
        self.assertEqual({r.outcome for r in records}, {"complete"}, load.output)
        self.assertEqual({record.tries for record in records}, {1, 2})
        broken = [query["id"] for query in entries[0].queries]
        for record in records:
            self.assertEqual(record.rows_own, record.kind != "wrong")
            self.assertEqual(record.rows_one_snapshot, record.kind != "mixed")
            if record.kind == "once":
                self.assertEqual(record.id in broken, record.tries == 2)
            else:
                self.assertTrue(record.id.endswith(f".{record.tries}"))
                self.assertNotIn(record.id, broken)
        issued = set(entries[0].issued + entries[1].issued)
        self.assertEqual({r.id for r in records if r.kind == "once"}, issued)


class TestDeployment(unittest.TestCase):
    """The settings of the two deployments."""

    def test_sizes_and_addresses(self):
        """Guards against replicas that share a data centre or an address."""
        for name in PLANS:
            deployment = build_deployment(
                name, 20_000, with_proxy=True, peer_listen_field="peer_listen_address"
            )
            upstreams = deployment.upstream["upstreams"]
            self.assertEqual(len(upstreams), 50 * 2 + 2 * 4)
            self.assertEqual(len({h["data_centre"] for h in deployment.hosts}), 4)
            listeners = deployment.proxy["listeners"]
            targets = {item["target"] for item in listeners}
            listened = [item["address"] for item in listeners]
            listened += [upstream["address"] for upstream in upstreams.values()]
            listened += deployment.entries + deployment.admins
            self.assertEqual(len(set(listened)), len(listened))
            served = set()
            for service in deployment.document["services"].values():
                replicas = service["replicas"]
                data_centres = {replica["data_centre"] for replica in replicas.values()}
                self.assertEqual(len(data_centres), len(replicas))
                for replica in replicas:
                    self.assertIn(upstreams[replica]["address"], targets)
                    served.update(upstreams[replica]["snapshots"]["41"])
            expected = check.expected_shards([deployment.document])
            self.assertEqual(served, frozenset().union(*expected.values()))


class TestCheck(unittest.TestCase):
    """The comparison of records with the ledger."""

    document = {
        "snapshots": [{"id": 41, "indexes": {"x": {"s0": "x-1", "s1": "x-2"}}}],
        "routes": {"lookup": {"indexes": ["x"]}, "order": {"indexes": ["x"]}},
    }
    read = RECORD._replace(
        id="c-1", total=2, covered=("x/s0", "x/s1"), entry="", host=""
    )
    order = read._replace(
        id="h.1.1", route="order", idempotent=False, total=1, covered=("x/s0",)
    )

    def setUp(self):
        self.records = [self.read, self.order]
        self.entries = [
            ["a", "c-1/0", "x/s0", 41, "read", 100, 100, 101, "done"],
            ["b", "c-1/1", "x/s1", 41, "read", 100, 100, 101, "done"],
            ["a", "h.1.1/0", "x/s0", 41, "run", 100, 100, 101, "done"],
        ]
        self.events = [{"time": 98.5, "upstream": "a", "kind": "drain"}]
        self.connections = {"x-1": {"limit": 25, "max_seen": 25, "violations": 0}}

    def count(self, dropped=0):
        ledger = {
            "entries": self.entries,
            "total": len(self.entries),
            "dropped": dropped,
            "events": self.events,
        }
        return check.count_by_kind(
            check.find_violations(
                self.records, ledger, self.connections, [self.document]
            )
        )

    def assert_only(self, kind):
        expected = dict.fromkeys(check.VIOLATION_KINDS, 0)
        if kind is not None:
            expected[kind] = 1
        self.assertEqual(self.count(), expected)

    def test_true_answers_violate_nothing(self):
        """Guards against violations found in correct answers."""
        self.assert_only(None)

    def test_verdicts_on_rows(self):
        """Guards against rows of other requests or snapshots not counted once."""
        self.records[0] = self.read._replace(rows_one_snapshot=False)
        self.assert_only("mixed_snapshot")
        self.records[0] = self.read._replace(rows_own=False)
        self.assert_only("wrong_caller")

    def test_false_coverage(self):
        """Guards against each kind of wrong coverage that is not found."""
        covered_one = {"total": 1, "covered": ("x/s0",)}
        for change in (
            covered_one,
            covered_one | {"outcome": "partial", "missing": ("x/s2",), "total": 2},
            {"total": 3},
            {"outcome": "partial"},
            {"missing": ("x/s1",)},
            {"snapshot": 40},
            {"rows_match_coverage": False},
        ):
            with self.subTest(change):
                self.records[0] = self.read._replace(**change)
                self.assert_only("false_coverage")

    def test_claimed_shard_that_no_upstream_ran(self):
        """Guards against coverage that rests on unfinished runs or other snapshots."""
        for field, value in ((8, "cancelled"), (3, 40), (1, "c-2/1")):
            with self.subTest(value):
                original = self.entries[1][field]
                self.entries[1][field] = value
                self.assert_only("false_coverage")
                self.entries[1][field] = original

    def test_honest_partial_answer_violates_nothing(self):
        """Guards against a partial answer counted as false coverage."""
        self.records[0] = self.read._replace(
            outcome="partial", covered=("x/s0",), missing=("x/s1",)
        )
        self.assert_only(None)

    def test_refused_but_ran(self):
        """Guards against a run, even a cancelled one, after a "not run" answer."""
        self.records[0] = self.read._replace(outcome="refused_not_run")
        del self.entries[1]
        self.entries[0][8] = "cancelled"
        self.assert_only("refused_but_ran")

    def test_ran_twice(self):
        """Guards against a second run on another upstream that is not counted."""
        self.entries.append(["b", "h.1.1/1", *self.entries[2][2:]])
        self.assert_only("ran_twice")

    def test_work_after_leaving(self):
        """Guards against late runs that are missed, or counted within the 2 s."""
        late = ["a", "c-1/2", "x/s0", 41, "read", 100, 100.6, 101, "done"]
        self.entries.append(late)
        self.assert_only("work_after_leaving")
        self.events.append({"time": 100.55, "upstream": "a", "kind": "undrain"})
        self.assert_only(None)

    def test_over_connection_limit(self):
        """Guards against a violated limit that is not counted."""
        self.connections["x-1"] = {"limit": 25, "max_seen": 26, "violations": 1}
        self.assert_only("over_connection_limit")

    def test_incomplete_ledger_gives_no_verdict(self):
        """Guards against "no violations" as the result of an incomplete ledger."""
        with self.assertRaises(check.IncompleteLedgerError):
            self.count(dropped=1)
