"""The processes of the demo's deployment, which listen on loopback addresses."""

import random
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ._client import ConnectionBroken, HttpClient
from .deployment import (
    FIRST_PORT,
    FIRST_PROXY_OFFSET,
    LAST_PORT,
    PLATFORM_OFFSET,
    Deployment,
    build_deployment,
)
from .process import Process, module_process

READY_TIMEOUT_S = 30.0
LOG_TAIL_LINES = 40
# A deployment without the fault proxy uses only the offsets below those of the proxy.
# The holder of a range listens on its last port, which marks the range as taken.
PORTS_PER_RANGE = FIRST_PROXY_OFFSET
MARKER_OFFSET = PORTS_PER_RANGE - 1
MAX_RANGES = (LAST_PORT - FIRST_PORT) // PORTS_PER_RANGE
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 5.0
# A daemon finishes its requests first, so it may take longer than a stand-in.
STOP_TIMEOUT_S = 20.0


class ProcessFailure(Exception):  # noqa: N818 - names the event
    """A step failed; ``process`` is the one whose log may show the cause, if known.

    ``log`` holds the last lines that the process had written when the step failed, so
    the lines of the later shutdown do not replace them.
    """

    def __init__(self, reason: str, process: Process | None = None):
        super().__init__(reason)
        self.process = process
        self.log: list[str] = []
        if process is not None and process.output_path.exists():
            self.log = process.output.splitlines()[-LOG_TAIL_LINES:]


class PortRange:
    """A range of ports that no other ``PortRange`` on this machine uses.

    The ranges do not overlap, and the holder of one listens on its last port, so two
    processes that choose at the same moment cannot get the same range. ``base`` is the
    first port.
    """

    def __init__(self, rng: random.Random):
        self._socket, self.base = self._reserve(rng)

    def close(self) -> None:
        """Release the range."""
        self._socket.close()

    def _reserve(self, rng: random.Random) -> tuple[socket.socket, int]:
        for slot in rng.sample(range(MAX_RANGES), MAX_RANGES):
            base = FIRST_PORT + slot * PORTS_PER_RANGE
            marker = _listen(base + MARKER_OFFSET)
            if marker is None:
                continue
            if all(_is_free(port) for port in range(base, base + MARKER_OFFSET)):
                return marker, base
            marker.close()
        raise ProcessFailure(f"no {PORTS_PER_RANGE} successive ports are free")


class DemoFleet:
    """The stand-ins and the daemons of one deployment.

    Logs and settings are files in ``directory``. ``daemon_settings`` override the
    settings of every daemon.
    """

    def __init__(
        self,
        name: str,
        directory: str | Path,
        base_port: int,
        daemon_settings: dict | None = None,
    ):
        self.directory = Path(directory)
        self.deployment: Deployment = build_deployment(name, base_port)
        for settings in self.deployment.daemons.values():
            settings.update(daemon_settings or {})
        self._platform_address = f"127.0.0.1:{base_port + PLATFORM_OFFSET}"
        self._paths = self.deployment.write(self.directory)
        self._stand_ins = [
            self._build(name, f"standins.{name}") for name in ("platform", "upstream")
        ]
        self._daemons = {
            host: self._build_daemon(host) for host in self.deployment.daemons
        }

    @property
    def processes(self) -> list[Process]:
        """All processes, stand-ins first."""
        return [*self._stand_ins, *self._daemons.values()]

    @property
    def daemons(self) -> dict[str, Process]:
        """The daemons by host id."""
        return self._daemons

    def admin_address_of(self, host: str) -> str:
        """Return the administration address of a host."""
        return self.deployment.daemons[host]["admin_address"]

    def start(self) -> None:
        """Start everything; wait until all hosts agree on the owner of each replica."""
        for process in self._stand_ins:
            process.start()
        for process in self._stand_ins:
            if not process.wait_ready(READY_TIMEOUT_S):
                raise ProcessFailure(f"{process.name} did not get ready", process)
        for process in self._daemons.values():
            process.start()
        for host, process in self._daemons.items():
            self.wait_until(
                f"host {host} is ready",
                lambda host=host: self._is_ready(host),
                process,
            )
        self.wait_until("all hosts name the same owners", self._agree_on_owners)

    def stop(self) -> list[str]:
        """Stop everything, daemons first; return a line per unexpected exit status."""
        daemons = list(self._daemons.values())
        failures = _stop_processes(daemons, expected=0)
        # A stand-in has nothing to finish, so SIGTERM ends it by its default action.
        return failures + _stop_processes(self._stand_ins, expected=-15)

    def submit_patch(self, patch: dict) -> dict:
        """Submit a patch to the platform and return its answer."""
        return self._call(self._platform_address, "POST", "/v1/patches", patch)

    def wait_until(
        self,
        text: str,
        condition: Callable[[], bool],
        process: Process | None = None,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait for a condition; raise ``ProcessFailure`` if it is not met in time.

        ``text`` describes the condition. If ``process`` is given, its end fails the
        wait at once.
        """
        until = time.monotonic() + timeout_s
        while not condition():
            if process is not None and not process.is_running:
                raise ProcessFailure(f"{process.name} ended before {text}", process)
            if time.monotonic() > until:
                raise ProcessFailure(f"not within {timeout_s:g} s: {text}", process)
            time.sleep(POLL_INTERVAL_S)

    def read_admin_view(self, host: str, path: str) -> dict | None:
        """Read a view of a host's administration interface; None without an answer."""
        try:
            return self._call(self.admin_address_of(host), "GET", path)
        except (ConnectionBroken, ValueError):
            return None

    def _is_ready(self, host: str) -> bool:
        view = self.read_admin_view(host, "/v1/health")
        return view is not None and view["state"] == "ready"

    def _agree_on_owners(self) -> bool:
        views = [self.read_admin_view(host, "/v1/upstreams") for host in self._daemons]
        if None in views:
            return False
        maps = [
            {row["replica"]: row["owner"] for row in view["upstreams"]}
            for view in views
        ]
        owners = set(maps[0].values())
        # Once all hosts know each other, each of them owns some replicas.
        return owners == set(self._daemons) and all(each == maps[0] for each in maps)

    def _build(self, name: str, module: str) -> Process:
        path = self._paths[name]
        return module_process(name, module, path, self.directory / f"{name}.log")

    def _build_daemon(self, host: str) -> Process:
        process = self._build(host, "cicadalever.daemon")
        # The daemon takes its settings file as an option, the stand-ins as an argument.
        process.command.insert(-1, "--settings")
        return process

    @staticmethod
    def _call(address: str, method: str, path: str, value: dict | None = None) -> dict:
        client = HttpClient(address, timeout_s=CALL_TIMEOUT_S)
        try:
            return client.request_json(method, path, value)
        finally:
            client.close()


def _stop_processes(processes: list[Process], expected: int) -> list[str]:
    with ThreadPoolExecutor(len(processes)) as pool:
        statuses = list(
            pool.map(lambda process: process.stop(STOP_TIMEOUT_S), processes)
        )
    return [
        f"{process.name} ended with status {status}, expected {expected}"
        for process, status in zip(processes, statuses, strict=True)
        if status not in (None, expected)
    ]


def _listen(port: int) -> socket.socket | None:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    # With SO_REUSEADDR, only a listener blocks the port, not the closed connections of
    # an earlier run.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(("", port))
        listener.listen(1)
    except OSError:
        listener.close()
        return None
    return listener


def _is_free(port: int) -> bool:
    probe = _listen(port)
    if probe is None:
        return False
    probe.close()
    return True
