"""A small deployment of real processes for the integration tests.

The tests compare the answers to callers with the ledger of the upstreams. Each wait
ends when its condition is met; the time-out only ends a test that hangs.
"""

import atexit
import itertools
import json
import os
import random
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import jsonpatch

from standins import check
from standins._client import ConnectionBroken, HttpClient
from standins.deployment import (
    Plan,
    ServiceClass,
    build_deployment,
    find_base_port,
)
from standins.load import Record, read_records
from standins.load._answers import NO_ANSWER, JudgedAnswer, judge_answer
from standins.process import Process, module_process
from standins.upstream._parameters import Parameters

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
MAX_CALLERS = 64
SEED = int(os.environ.get("INTEGRATION_SEED", "1"))
PLAN = Plan(
    0.0005,
    (
        ServiceClass("storefront", 4, 2, 2, 14, 0.001),
        ServiceClass("shipping", 1, 3, 2, 75, 0.001, shards=3),
        ServiceClass("single", 1, 3, 2, 75, 0.001),
    ),
    {
        "lookup": (("storefront",), "read", "interactive", 5000),
        "report": (("storefront",), "read", "report", 10_000),
        "single": (("single",), "read", "interactive", 5000),
        "order": (("shipping",), "run", "interactive", 5000),
    },
    hosts=("dc1", "dc1", "dc2", "dc3"),
)


def wait_until(condition: Callable, what: str = "the expected state"):
    """Call ``condition`` until it returns a true value; return that value.

    ``what`` describes the awaited state in the error after ``WAIT_TIMEOUT_S``.
    """
    until = time.monotonic() + WAIT_TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > until:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(POLL_INTERVAL_S)
    return value


class JsonReply:
    """Status and decoded body of one answer; status 0 if there was none."""

    def __init__(self, status: int, body: dict):
        self.status = status
        self.body = body
        self.outcome = body.get("outcome")

    def __repr__(self):
        return f"JsonReply({self.status}, {self.body})"


class IntegrationFleet:
    """The running processes, and records of all answers that callers got.

    ``documents`` holds all accepted versions of the configuration document,
    ``patches`` all submitted patches.
    """

    def __init__(self, directory: Path, with_proxy: bool):
        base_port = find_base_port(random.Random(), tries=200)
        self.deployment = build_deployment(
            "small",
            base_port,
            seed=SEED,
            with_proxy=with_proxy,
            peer_listen_field="peer_listen_address",
            plan=PLAN,
        )
        for settings in self.deployment.daemons.values():
            settings["linger_s"] = 1.0
        self.directory = directory
        self.paths = self.deployment.write(directory)
        self.hosts = list(self.deployment.daemons)
        self.documents = [self.deployment.document]
        self.version = 1
        self.patches: list[dict] = []
        self.records: list[Record] = []
        self.callers = ThreadPoolExecutor(MAX_CALLERS)
        self.processes: dict[str, Process] = {}
        self._numbers = itertools.count(1)

    @property
    def document(self) -> dict:
        """The newest accepted document."""
        return self.documents[-1]

    # Processes

    def start(self, absent_hosts: tuple[str, ...] = ()) -> None:
        """Start all processes except ``absent_hosts``; wait until the hosts serve."""
        names = ["platform", "upstream"]
        if self.deployment.proxy is not None:
            names.append("proxy")
        for name in names:
            self.start_standin(name)
        present = [host for host in self.hosts if host not in absent_hosts]
        for host in present:
            self.start_host(host)
        self.wait_for_members(present)
        for host in present:
            wait_until(lambda host=host: self.ask(host).outcome == "complete")

    def start_standin(self, name: str) -> None:
        """Start a stand-in in its initial state; wait until it is ready."""
        self._spawn(name, f"standins.{name}")
        if not self.processes[name].wait_ready():
            raise AssertionError(self.processes[name].output)

    def start_host(self, host: str) -> None:
        """Start the daemon of a host."""
        self._spawn(host, "cicadalever.daemon", "--settings")

    def restart_stopped_hosts(self) -> None:
        """Start the daemons that a failed test has left stopped; wait for them."""
        started = [host for host in self.hosts if host in self.processes]
        stopped = [host for host in started if not self.processes[host].is_running]
        for host in stopped:
            self.start_host(host)
        if stopped:
            self.wait_for_members(started)

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()
        self.callers.shutdown(cancel_futures=True)

    def _spawn(self, name: str, module: str, *options: str) -> None:
        output = self.directory / f"{name}.{next(self._numbers)}.out"
        process = module_process(name, module, self.paths[name], output)
        process.command[-1:-1] = options
        process.start()
        self.processes[name] = process

    def wait_for_members(self, hosts: list[str]) -> None:
        """Wait until ``hosts`` are ready and each sees exactly them as alive."""
        for host in hosts:
            if not self.processes[host].is_running:
                raise AssertionError(f"{host} ended: {self.processes[host].output}")
        for host in hosts:
            wait_until(lambda host=host: self.is_ready(host), f"{host} to be ready")
        for host in hosts:
            wait_until(
                lambda host=host: self.alive_hosts(host) == set(hosts),
                f"{host} to see all members as alive",
            )

    def is_ready(self, host: str) -> bool:
        """Whether a load balancer would send requests to the host."""
        return self.call_admin(host, "/v1/health").status == 200

    def alive_hosts(self, host: str) -> set[str]:
        """Return the hosts that a host sees as alive."""
        members = self.call_admin(host, "/v1/members").body.get("members", ())
        return {m["host_id"] for m in members if m["state"] == "alive"}

    def wait_for_fresh_view(self, host: str) -> None:
        """Wait until a host that was paused has a fresh view of the members again."""
        wait_until(
            lambda: self.call_admin(host, "/v1/status").body.get("view_fresh"),
            f"a fresh view of {host}",
        )

    # Callers

    def call(self, address: str, method: str, target: str, body: bytes) -> JsonReply:
        """Send one request over a connection of its own."""
        client = HttpClient(address, timeout_s=WAIT_TIMEOUT_S)
        try:
            response = client.request(method, target, body)
            return JsonReply(response.status, response.json())
        except (ConnectionBroken, ValueError) as error:
            return JsonReply(0, {"reason": str(error)})
        finally:
            client.close()

    def call_admin(
        self, host: str, target: str, value: dict | None = None
    ) -> JsonReply:
        """Call the administration interface of a host."""
        address = self.deployment.daemons[host]["admin_address"]
        method = "GET" if value is None else "POST"
        return self.call(address, method, target, json.dumps(value or {}).encode())

    def entry_address(self, host: str) -> str:
        """Return the caller address of a host."""
        return self.deployment.daemons[host]["caller_address"]

    def ask(self, host: str, route: str = "lookup", **fields) -> JsonReply:
        """Send a query to a host and record its answer."""
        number = next(self._numbers)
        query = {"id": f"q-{number}", "route": route} | fields
        query.setdefault("parameters", {"key": f"k{number}", "echo": number})
        sent_unix = time.time()
        reply = self.call(
            self.entry_address(host), "POST", "/v1/queries", json.dumps(query).encode()
        )
        self._record(host, query, reply, sent_unix)
        return reply

    def ask_async(self, host: str, route: str = "lookup", **fields) -> Future:
        """Send a query from another thread."""
        return self.callers.submit(self.ask, host, route, **fields)

    def issue_id(self, host: str) -> str:
        """Get an id for a non-idempotent request."""
        reply = self.call(self.entry_address(host), "POST", "/v1/ids", b'{"count": 1}')
        return reply.body["ids"][0]

    def start_load(self, duration_s: float, hosts: list[str] | None = None, **kinds):
        """Start the load tool; the returned future gives its records.

        ``kinds`` maps a route to fields of ``LoadKind``. The default is 60 requests per
        second, no two of them alike.
        """
        default = {"rate": 60, "deadline_ms": 5000, "popular_share": 0}
        kinds = {
            route: {"route": route, "idempotent": route != "order"} | default | fields
            for route, fields in kinds.items()
        }
        number = next(self._numbers)
        name = f"load{number}"
        output = self.directory / f"{name}.jsonl"
        settings = {
            "entries": [self.entry_address(host) for host in hosts or self.hosts],
            "kinds": kinds,
            "duration_s": duration_s,
            "seed": SEED,
            "caller": name,
            "health_period_s": 0.2,
            "output": str(output),
        }
        self.paths[name] = self.directory / f"{name}.json"
        self.paths[name].write_text(json.dumps(settings))
        self._spawn(name, "standins.load")
        process = self.processes[name]

        def finish() -> list[Record]:
            wait_until(lambda: not process.is_running, "the end of the load")
            records = read_records(output)
            self.records += records
            return records

        return self.callers.submit(finish)

    def _record(
        self, host: str, query: dict, reply: JsonReply, sent_unix: float
    ) -> None:
        echo = query["parameters"].get("echo")
        judged = JudgedAnswer(reply.outcome or NO_ANSWER)
        if reply.outcome is not None and "snapshot" in reply.body:
            judged = judge_answer(reply.body, query["id"], echo)
        self.records.append(
            Record(
                id=query["id"],
                kind=query["route"],
                route=query["route"],
                rank="",
                idempotent=query["route"] != "order",
                sent_unix=sent_unix,
                latency_s=time.time() - sent_unix,
                status=reply.status,
                tries=1,
                entry=host,
                **judged._asdict(),
            )
        )

    # Faults

    def control(self, name: str, **command) -> dict:
        """Send a command to the control port of a stand-in."""
        return self._control(name, "POST", "/control", command)

    def cut_links(self, source: str, targets: tuple[str, ...], **rule: str) -> None:
        """Set a proxy rule, by default a stall, on both directions of the links."""
        rule = rule or {"existing": "stall", "new": "black_hole"}
        pairs = [f"{source}>{target}" for target in targets]
        pairs += [f"{t}>{source}" for t in targets if t != "platform"]
        self.control("proxy", rules=dict.fromkeys(pairs, rule))

    def heal(self) -> None:
        """Restore the proxy rules of the deployment."""
        self.control("proxy", restore=True)

    def submit_patch(self, *operations: dict, against: int | None = None) -> dict:
        """Submit a patch to the platform; keep its document if it is accepted."""
        number = next(self._numbers)
        patch = {
            "id": f"patch-{number}",
            "against": self.version if against is None else against,
            "author": "test",
            "operations": list(operations),
        }
        self.patches.append(patch)
        verdict = self._control("platform", "POST", "/v1/patches", patch)
        if verdict["accepted"]:
            self.version = verdict["version"]
            document = jsonpatch.apply_patch(self.document, list(operations))
            self.documents.append(document)
        return verdict

    def resubmit_patches(self) -> None:
        """Submit all patches again, to a platform that was restarted."""
        for patch in self.patches:
            self._control("platform", "POST", "/v1/patches", patch)

    def platform_reads(self) -> int:
        """Return how many reads the platform has answered."""
        reads = self._control("platform", "GET", "/counters")["reads"]
        return sum(reads.values())

    def wait_for_version(self, hosts: list[str] | None = None) -> None:
        """Wait until the newest version is in force on ``hosts``."""
        for host in hosts or self.hosts:
            wait_until(
                lambda host=host: (
                    self.configuration_state(host).get("version") == self.version
                ),
                f"version {self.version} on {host}",
            )

    def configuration_state(self, host: str) -> dict:
        """Return the configuration state of a host."""
        return self.call_admin(host, "/v1/versions").body

    # State of the upstreams

    def ledger(self) -> dict:
        """Return the ledger of the upstreams."""
        return self._control("upstream", "GET", "/ledger")

    def runs_of(self, request_id: str) -> list[check.Run]:
        """Return the runs of one request."""
        runs = check.read_runs(self.ledger())
        return [run for run in runs if run.caller_request_id == request_id]

    def wait_for_runs(self, count: int) -> None:
        """Wait until the upstreams have started ``count`` more runs."""
        total = self.ledger()["total"]
        wait_until(lambda: self.ledger()["total"] >= total + count, "runs")

    def events(self, kind: str) -> list[dict]:
        """Return the events of one kind, such as ``crash``, of all upstreams."""
        return [event for event in self.ledger()["events"] if event["kind"] == kind]

    def connections(self) -> dict:
        """Return the connection counts of the services."""
        return self._control("upstream", "GET", "/connections")

    def owner_of(self, replica: str, asked_host: str) -> str:
        """Return the owner of a replica in the view of the host ``asked_host``."""
        upstreams = self.call_admin(asked_host, "/v1/upstreams").body["upstreams"]
        return next(u["owner"] for u in upstreams if u["replica"] == replica)

    def violations(self) -> list[check.Violation]:
        """Return the violations that records, ledger and connection counts show."""
        return check.find_violations(
            self.records, self.ledger(), self.connections(), self.documents
        )

    def _control(self, name: str, method: str, target: str, value=None) -> dict:
        address = getattr(self.deployment, name)["control"]
        client = HttpClient(address, timeout_s=WAIT_TIMEOUT_S)
        try:
            response = client.request(
                method, target, b"" if value is None else json.dumps(value).encode()
            )
        finally:
            client.close()
        if response.status != 200:
            raise AssertionError(f"{name} {target}: {response.body!r}")
        return response.json()


class IntegrationTestCase(unittest.TestCase):
    """Runs tests against a fleet that all classes with the same attributes share.

    After each test, the answers to all callers are compared with the ledger, and the
    connection counts with their limits. A test leaves all hosts running and connected.
    If it fails before that, the next test starts the stopped hosts again.
    """

    with_proxy = False
    absent_hosts: tuple[str, ...] = ()
    _shared_fleets: dict[tuple, IntegrationFleet] = {}

    @classmethod
    def setUpClass(cls):
        key = (cls.with_proxy, cls.absent_hosts)
        if key not in cls._shared_fleets:
            directory = tempfile.TemporaryDirectory()
            atexit.register(directory.cleanup)
            cls._shared_fleets[key] = IntegrationFleet(
                Path(directory.name), cls.with_proxy
            )
            atexit.register(cls._shared_fleets[key].stop)
            cls._shared_fleets[key].start(cls.absent_hosts)
        cls.fleet = cls._shared_fleets[key]

    def setUp(self):
        self.fleet.restart_stopped_hosts()
        self.fleet.records.clear()
        self._known_violations = Counter(self.fleet.violations())

    def set_upstream_parameters(self, services: list[str], **values) -> None:
        """Change parameters of upstreams until the end of the test."""
        defaults = Parameters()._asdict()
        former = {name: defaults[name] for name in values}
        self.fleet.control("upstream", services=services, set=values)
        self.addCleanup(self.fleet.control, "upstream", services=services, set=former)

    def tearDown(self):
        new = Counter(self.fleet.violations()) - self._known_violations
        self.assertEqual(list(new)[:5], [])
