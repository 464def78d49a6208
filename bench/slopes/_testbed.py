"""Testbed of one measurement: platform, upstreams and daemons as processes."""

import json
import random
import re
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from standins._client import ConnectionBroken, HttpClient
from standins.deployment import SNAPSHOT_ID, find_base_port
from standins.process import Process, module_process

SEED = 7
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
INDEX = "catalogue"
ROUTE = "scan"
DEADLINE_MS = 10_000
DAEMON_PORTS = 3
_PEER_BYTES = re.compile(r"^cicadalever_peer_bytes_total\{(.*)\} (\S+)$", re.MULTILINE)


class TestbedHost(NamedTuple):
    """One host of a testbed.

    A fake host has no daemon: the measurement sends and receives its messages. Only
    listed hosts are on the host list of the platform.
    """

    id: str
    data_centre: str
    roles: tuple[str, ...]
    is_fake: bool = False
    is_listed: bool = True


class Upstreams(NamedTuple):
    """Upstreams of a testbed: one replica and one shard per service.

    They are spread evenly over ``data_centres`` and ``processes``. ``service_s`` is the
    mean service time. Fake upstreams are in the configuration but do not run.
    """

    count: int
    data_centres: tuple[str, ...] = ("dc1",)
    slots: int = 4
    service_s: float = 0.002
    processes: int = 1
    is_fake: bool = False


class Testbed:
    """Starts the processes of a measurement and stops them at the end of ``with``.

    For each N of ``fan_outs``, the route ``scan-N`` reads the first N shards; the route
    ``scan`` reads all.
    """

    def __init__(
        self,
        hosts: list[TestbedHost],
        upstreams: Upstreams,
        *,
        fan_outs: tuple[int, ...] = (),
        seed: int = SEED,
    ):
        self.hosts = hosts
        self.upstreams = upstreams
        self.fan_outs = fan_outs
        self.seed = seed
        self._processes: dict[str, Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="slopes-")
        count = 2 + upstreams.processes + upstreams.count + DAEMON_PORTS * len(hosts)
        rng = random.Random(time.time_ns())
        # Tests and benchmarks that run at the same time use low loopback addresses,
        # where they may take a port between its choice and its use here.
        self._ip = f"127.{rng.randrange(64, 255)}.{rng.randrange(255)}.1"
        self._base_port = find_base_port(rng, count)

    def __enter__(self) -> "Testbed":
        """Start everything and wait until all daemons are ready."""
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """Stop all processes."""
        self._stop()

    def peer_address(self, host: TestbedHost) -> str:
        """Return the address at which a host receives messages of peers."""
        return self._daemon_address(host, 0)

    def caller_address(self, host: TestbedHost) -> str:
        """Return the address at which a host receives requests of callers."""
        return self._daemon_address(host, 1)

    def daemon(self, host: TestbedHost) -> Process:
        """Return the process of a host."""
        return self._processes[host.id]

    def metrics_of(self, host: TestbedHost) -> str:
        """Return the metrics of a daemon in the text format of Prometheus."""
        client = HttpClient(self._daemon_address(host, 2))
        body = client.request("GET", "/metrics").body.decode()
        client.close()
        return body

    def peer_bytes(self, host: TestbedHost) -> dict[tuple[str, str], float]:
        """Return the peer bytes of a daemon so far by (direction, message type)."""
        totals = {}
        for labels, value in _PEER_BYTES.findall(self.metrics_of(host)):
            fields = dict(re.findall(r'(\w+)="(\w+)"', labels))
            totals[fields["direction"], fields["type"]] = float(value)
        return totals

    def platform_counters(self) -> dict:
        """Return the counters of the platform stand-in."""
        client = HttpClient(self._address(1))
        value = client.request_json("GET", "/counters")
        client.close()
        return value

    def start_daemons(self) -> None:
        """Start the daemons of all hosts that are not fake."""
        for host in self.hosts:
            if not host.is_fake:
                self._start_process(
                    host.id, "cicadalever.daemon", self._build_daemon_settings(host)
                )

    def stop_daemons(self) -> None:
        """Kill all daemons, as the loss of a data centre does."""
        for host in self.hosts:
            if host.id in self._processes:
                self._processes.pop(host.id).kill()

    def wait_ready(self) -> None:
        """Wait until all daemons report ready; raises RuntimeError on a timeout."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(
                    f"not all daemons are ready after {READY_TIMEOUT_S:g} s"
                )
            time.sleep(POLL_S)

    def is_ready(self) -> bool:
        """Return whether all daemons report that they are ready."""
        return all(host.is_fake or self._is_ready(host) for host in self.hosts)

    def _is_ready(self, host: TestbedHost) -> bool:
        client = HttpClient(self._daemon_address(host, 2))
        try:
            return client.request("GET", "/v1/health").status == 200
        except ConnectionBroken:
            return False
        finally:
            client.close()

    def _start(self) -> None:
        document = self._build_document()
        self._start_process(
            "platform", "standins.platform", self._build_platform_settings(document)
        )
        if not self.upstreams.is_fake:
            for number in range(self.upstreams.processes):
                value = self._build_upstream_settings(document, number)
                self._start_process(f"upstream-{number}", "standins.upstream", value)
        for name, process in self._processes.items():
            if not process.wait_ready():
                raise RuntimeError(f"{name} did not start:\n{process.output[-2000:]}")
        self.start_daemons()
        self.wait_ready()

    def _stop(self) -> None:
        for process in self._processes.values():
            process.kill()
        self._directory.cleanup()

    def _start_process(self, name: str, module: str, settings: dict) -> None:
        directory = Path(self._directory.name)
        path = directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = module_process(name, module, path, directory / f"{name}.out")
        if module == "cicadalever.daemon":
            process.command = [*process.command[:3], "--settings", str(path)]
        self._processes[name] = process
        process.start()

    def _address(self, offset: int) -> str:
        return f"{self._ip}:{self._base_port + offset}"

    def _daemon_address(self, host: TestbedHost, port: int) -> str:
        first = 2 + self.upstreams.processes + self.upstreams.count
        return self._address(first + DAEMON_PORTS * self.hosts.index(host) + port)

    def _upstream_address(self, number: int) -> str:
        return self._address(2 + self.upstreams.processes + number)

    def _build_daemon_settings(self, host: TestbedHost) -> dict:
        return {
            "host_id": host.id,
            "data_centre": host.data_centre,
            "region": "r1",
            "roles": list(host.roles),
            "caller_address": self.caller_address(host),
            "admin_address": self._daemon_address(host, 2),
            "peer_address": self.peer_address(host),
            "platform_url": f"http://{self._address(0)}",
            "random_seed": self.seed,
        }

    def _build_platform_settings(self, document: dict) -> dict:
        hosts = [
            {
                "id": host.id,
                "address": self.peer_address(host),
                "data_centre": host.data_centre,
                "region": "r1",
                "roles": list(host.roles),
                "state": "live",
            }
            for host in self.hosts
            if host.is_listed
        ]
        return {
            "address": self._address(0),
            "control": self._address(1),
            "document": document,
            "hosts": hosts,
            "host_lag_s": 0.0,
        }

    def _build_document(self) -> dict:
        upstreams = self.upstreams
        services = {}
        for number in range(upstreams.count):
            replica = {
                "address": self._upstream_address(number),
                "data_centre": upstreams.data_centres[
                    number % len(upstreams.data_centres)
                ],
                "draining": False,
            }
            services[f"u{number:03}"] = {
                "slots": upstreams.slots,
                "connections": 25,
                "replicas": {f"u{number:03}-a": replica},
            }
        names = list(services)
        indexes = {INDEX: {f"s{name[1:]}": name for name in names}}
        for count in self.fan_outs:
            indexes[f"{INDEX}-{count}"] = {f"s{n[1:]}": n for n in names[:count]}
        routes = {
            f"{ROUTE}-{count}": {
                "indexes": [f"{INDEX}-{count}"],
                "kind": ROUTE,
                "operation": "read",
            }
            for count in self.fan_outs
        }
        routes[ROUTE] = {"indexes": [INDEX], "kind": ROUTE, "operation": "read"}
        return {
            "services": services,
            "snapshots": [{"id": SNAPSHOT_ID, "indexes": indexes}],
            "routes": routes,
            "kinds": {ROUTE: {"rank": "interactive", "deadline_ms": DEADLINE_MS}},
            "policy": {
                "floors": {"batch": 0.10, "report": 0.05},
                "hedge_quantile": 0.95,
                "extra_load": 0.05,
            },
        }

    def _build_upstream_settings(self, document: dict, process: int) -> dict:
        upstreams = {}
        snapshot = document["snapshots"][0]["indexes"]
        for number in range(process, self.upstreams.count, self.upstreams.processes):
            service = f"u{number:03}"
            shards = [
                f"{index}/{shard}"
                for index, names in snapshot.items()
                for shard, name in names.items()
                if name == service
            ]
            upstreams[f"{service}-a"] = {
                "service": service,
                "address": self._upstream_address(number),
                "slots": self.upstreams.slots,
                "connect_s": 0.0,
                "service_s": self.upstreams.service_s,
                "jitter": 0.2,
                "snapshots": {str(SNAPSHOT_ID): shards},
            }
        return {
            "control": self._address(2 + process),
            "seed": self.seed,
            "services": {
                value["service"]: {"connections": 25} for value in upstreams.values()
            },
            "upstreams": upstreams,
        }


def cpu_seconds(pid: int) -> float:
    """Return the CPU time in seconds of all current threads of a process.

    It is read from ``schedstat``, in nanoseconds, since ``/proc/PID/stat`` counts in
    steps of 10 ms.
    """
    total_ns = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1e9


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident size of a process in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE).group(1)) * 1024
