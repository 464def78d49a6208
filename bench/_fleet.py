"""Processes of one run, their control ports and their CPU use."""

import contextlib
import json
import os
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from cicadalever.configuration import apply_patch
from standins._client import ConnectionBroken, HttpClient
from standins.deployment import PLANS, Deployment, build_deployment, find_base_port
from standins.process import Process

from ._scenarios import LINGER_S, Scenario
from ._sizing import service_time

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
STOP_GRACE_S = 15.0
POLL_INTERVAL_S = 0.02
CONTROL_TIMEOUT_S = 5.0
AUDIT_PAGE_EVENTS = 1000
SAMPLE_INTERVAL_S = 1.0
CPU_SATURATION_SHARE = 0.9


class FleetError(RuntimeError):
    """A process of the run did not start or did not end in time."""


class BenchFleet:
    """Starts, controls and stops the stand-ins and the daemons of one run.

    ``versions`` holds (version, document) of every accepted configuration and
    ``patches`` the submitted patches. ``unreachable`` are the hosts that a fault
    has cut off, paused or ended. ``notes`` holds observations of the actions by name.
    """

    def __init__(self, scenario: Scenario, policy: str, directory: Path, rng):
        self.scenario = scenario
        self.policy = policy
        self.directory = directory
        self.deployment = build_fleet_settings(scenario, policy, find_base_port(rng))
        self.processes: dict[str, Process] = {}
        self.versions: list[tuple[int, dict]] = [(1, self.deployment.document)]
        self.patches: list[dict] = []
        self.unreachable: set[str] = set()
        self.notes: dict[str, object] = {}
        self.events: list[dict] = []

    @property
    def hosts(self) -> tuple[str, ...]:
        """Ids of all daemons."""
        return tuple(self.deployment.daemons)

    @property
    def document(self) -> dict:
        """The document of the newest version."""
        return self.versions[-1][1]

    def start(self) -> None:
        """Start the stand-ins, then all daemons but the absent ones.

        Raises FleetError when a process is not ready within ``START_TIMEOUT_S``.
        """
        self._paths = self.deployment.write(self.directory)
        for name in ("platform", "upstream", "proxy"):
            process = self._launch(name, f"standins.{name}", str(self._paths[name]))
            if not process.wait_ready(START_TIMEOUT_S):
                raise FleetError(f"{name} is not ready: {process.output[-500:]}")
        present = [host for host in self.hosts if host not in self.scenario.absent]
        for host in present:
            self.start_host(host)
        for host in present:
            self.wait_healthy(host)

    def start_host(self, host: str) -> None:
        """Start a daemon without waiting for it."""
        path = str(self._paths[host])
        self._launch(host, "cicadalever.daemon", "--settings", path)

    def wait_healthy(self, host: str) -> None:
        """Wait until a daemon is ready; raises FleetError when it ends or is late."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if self.is_healthy(host):
                return
            if not self.processes[host].is_running:
                break
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{host} is not ready: {self.processes[host].output[-500:]}")

    def is_healthy(self, host: str) -> bool:
        """Whether the daemon's caller interface reports that it is ready."""
        client = HttpClient(
            self.deployment.daemons[host]["caller_address"], timeout_s=1.0
        )
        try:
            return client.request("GET", "/v1/health").status == 200
        except ConnectionBroken:
            return False
        finally:
            client.close()

    def start_load(self, caller: str, settings: dict) -> Process:
        """Start a load process and wait until it is ready."""
        path = self.directory / f"load-{caller}.json"
        path.write_text(json.dumps(settings))
        process = self._launch(f"load-{caller}", "standins.load", str(path))
        if not process.wait_ready(START_TIMEOUT_S):
            raise FleetError(f"load {caller} is not ready: {process.output[-500:]}")
        return process

    def stop(self) -> dict[str, int | None]:
        """End all processes, daemons first; return the exit status of each."""
        daemons = [name for name in self.processes if name in self.hosts]
        others = [name for name in self.processes if name not in self.hosts]
        statuses: dict[str, int | None] = {}
        for names in (daemons, others):
            with ThreadPoolExecutor(max(1, len(names))) as pool:
                stopped = pool.map(self._stop_process, names)
                statuses |= dict(zip(names, stopped, strict=True))
        return statuses

    def control(self, name: str, command: dict, path: str = "/control") -> dict:
        """Send a command to the control port of a stand-in."""
        settings = getattr(self.deployment, name)
        return self._request("POST", settings["control"], path, command)

    def read(self, name: str, path: str) -> dict:
        """Read from the control port of a stand-in."""
        return self._request("GET", getattr(self.deployment, name)["control"], path)

    def submit(self, patch_id: str, operations: list[dict], offset: int = 0) -> None:
        """Submit a patch against the newest known version plus ``offset``.

        An accepted patch is also applied here, with the function that the daemons use.
        """
        version, document = self.versions[-1]
        patch = {
            "id": patch_id,
            "against": version + offset,
            "author": "bench",
            "operations": operations,
        }
        submitted = time.time()
        answer = self.control("platform", patch, "/v1/patches")
        if answer["accepted"]:
            accepted = apply_patch(document, version, patch)
            self.versions.append((accepted.version, accepted.document))
        self.patches.append(
            {
                "id": patch_id,
                "accepted": answer["accepted"],
                "version": answer["version"],
                "submitted": submitted,
                "unreachable": sorted(self.unreachable),
            }
        )

    def read_audit(self, host: str) -> list[dict] | None:
        """Return the audit trail of a daemon, or None if it does not answer."""
        address = self.deployment.daemons[host]["admin_address"]
        events: list[dict] = []
        after = 0
        try:
            while True:
                path = f"/v1/audit?after={after}&limit={AUDIT_PAGE_EVENTS}"
                page = self._request("GET", address, path)["events"]
                events += page
                if len(page) < AUDIT_PAGE_EVENTS:
                    return events
                after = page[-1]["sequence"]
        except (ConnectionBroken, ValueError, LookupError):
            return None

    def read_metrics(self, host: str) -> str | None:
        """Return the metrics of a daemon, or None if it does not answer."""
        address = self.deployment.daemons[host]["admin_address"]
        client = HttpClient(address, timeout_s=CONTROL_TIMEOUT_S)
        try:
            return client.request("GET", "/metrics").body.decode()
        except ConnectionBroken:
            return None
        finally:
            client.close()

    def _request(self, method: str, address: str, path: str, value=None) -> dict:
        client = HttpClient(address, timeout_s=CONTROL_TIMEOUT_S)
        try:
            return client.request_json(method, path, value)
        finally:
            client.close()

    def _launch(self, name: str, module: str, *arguments: str) -> Process:
        command = [sys.executable, "-m", module, *arguments]
        environment = dict(os.environ) | {"PYTHONPATH": str(ROOT)}
        output = self.directory / f"{name}.out"
        process = Process(name, command, output, environment)
        process.start()
        self.processes[name] = process
        return process

    def _stop_process(self, name: str) -> int | None:
        return self.processes[name].stop(STOP_GRACE_S)


def build_fleet_settings(scenario: Scenario, policy: str, base_port: int) -> Deployment:
    """Return the settings of all processes; traffic among them passes the proxy."""
    deployment = build_deployment(
        scenario.deployment,
        base_port,
        seed=scenario.seed,
        with_proxy=True,
        peer_listen_field="peer_listen_address",
    )
    plan = PLANS[scenario.deployment]
    indexes = {item.index for item in plan.classes}
    for upstream in deployment.upstream["upstreams"].values():
        index = next(i for i in indexes if upstream["service"].startswith(i))
        upstream["service_s"] = service_time(plan, index)
    for daemon in deployment.daemons.values():
        daemon["policy"] = policy
        daemon["linger_s"] = LINGER_S
    listed = [host for host in deployment.hosts if host["id"] not in scenario.absent]
    deployment.platform["hosts"] = listed
    return deployment


class CpuSample(NamedTuple):
    """CPU figures at the monotonic time ``at``.

    ``used`` and ``waited`` are seconds per process so far, ``busy_ticks`` and
    ``total_ticks`` clock ticks of all cores since the start of the machine.
    """

    at: float
    used: dict[str, float]
    waited: dict[str, float]
    busy_ticks: int
    total_ticks: int


class CpuSampler:
    """Samples the CPU share of every process and of the whole machine.

    ``shares`` and ``wait_shares`` map a process to the shares of a core that it used
    and the shares of the time that it was ready to run without getting a core.
    ``busy_shares`` are the busy shares of all cores, and ``own_shares`` the shares of
    all cores that the processes of this run used. Each list has one value per sample.
    A process whose figures the system does not give is left out.
    """

    def __init__(self, fleet: BenchFleet):
        self.fleet = fleet
        self.shares: dict[str, list[float]] = {}
        self.wait_shares: dict[str, list[float]] = {}
        self.busy_shares: list[float] = []
        self.own_shares: list[float] = []
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._end.set()
        self._thread.join()

    def max_shares(self) -> dict[str, float]:
        """Return the largest mean share of two successive samples per process."""
        return {name: max_pair_mean(values) for name, values in self.shares.items()}

    def _run(self) -> None:
        previous = self._read()
        while not self._end.wait(SAMPLE_INTERVAL_S):
            current = self._read()
            self._add(previous, current)
            previous = current

    def _add(self, previous: CpuSample, current: CpuSample) -> None:
        seconds = current.at - previous.at
        shares = compute_rates(previous.used, current.used, seconds)
        waits = compute_rates(previous.waited, current.waited, seconds)
        for samples, new in ((self.shares, shares), (self.wait_shares, waits)):
            for name, share in new.items():
                samples.setdefault(name, []).append(share)
        self.own_shares.append(sum(shares.values()) / (os.cpu_count() or 1))
        total = current.total_ticks - previous.total_ticks
        if total:
            self.busy_shares.append((current.busy_ticks - previous.busy_ticks) / total)

    def _read(self) -> CpuSample:
        used = self._read_each(Process.cpu_seconds)
        waited = self._read_each(read_cpu_wait)
        return CpuSample(time.monotonic(), used, waited, *read_machine_cpu())

    def _read_each(self, read: Callable[[Process], float]) -> dict[str, float]:
        result = {}
        for name, process in list(self.fleet.processes.items()):
            # The process may end after the check, before its file is read.
            with contextlib.suppress(OSError, IndexError):
                if process.is_running:
                    result[name] = read(process)
        return result


def read_cpu_wait(process: Process) -> float:
    """Return the seconds that the main thread has waited for a core while runnable."""
    fields = Path(f"/proc/{process.pid}/schedstat").read_text().split()
    return int(fields[1]) / 1e9


def compute_rates(
    previous: dict[str, float], current: dict[str, float], seconds: float
) -> dict[str, float]:
    """Return the increase per second of the values that are in both samples."""
    return {
        name: (value - previous[name]) / seconds
        for name, value in current.items()
        if name in previous
    }


def max_pair_mean(values: list[float]) -> float:
    """Return the largest mean of two successive values.

    Returns a single value itself and 0.0 for no values.
    """
    if len(values) < 2:
        return max(values, default=0.0)
    pairs = zip(values, values[1:], strict=False)
    return max((a + b) / 2 for a, b in pairs)


def read_machine_cpu() -> tuple[int, int]:
    """Return (busy, total) clock ticks of the machine since its start."""
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    ticks = [int(field) for field in fields[:8]]
    return sum(ticks) - ticks[3] - ticks[4], sum(ticks)
