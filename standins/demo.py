"""Shows the whole path on one machine: six daemons, upstreams and the platform.

``python -m standins.demo`` asks, patches and drains with the command-line tool and
ends with 0 if every step went as expected. ``--keep`` starts the same deployment and
keeps it until Ctrl-C, so that the commands can be tried by hand.
"""

import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence
from pathlib import Path

from .demo_fleet import DemoFleet, PortRange, ProcessFailure
from .process import Process

DEPLOYMENT = "semenanjung"
# The balancer of the demo does not exist, so a host needs to linger only briefly.
DAEMON_SETTINGS = {"linger_s": 0.5}
COMMAND_TIMEOUT_S = 60.0
SHOWN_LINES = 14
KEPT_LINES = 8
TOOL = (sys.executable, "-m", "cicadalever.cli")
REPLICA = "storefront-01-a"


class Demo:
    """Runs the steps of the demo against a started fleet."""

    def __init__(self, fleet: DemoFleet):
        self.fleet = fleet
        self._hosts = list(fleet.daemons)
        self._drained: set[str] = set()
        self._environment = {**os.environ, **environment_of(fleet)}

    def run(self) -> None:
        """Run all steps; raises ``ProcessFailure`` at the first that goes wrong."""
        self._ask()
        self._show_state()
        self._change_configuration()
        self._drain_a_host()

    def _ask(self) -> None:
        _title("Storefront lookups: every storefront shard, rank interactive")
        for key in ("A7", "B12", "C3"):
            self._ask_key("lookup", key)
        _title("Stock check: every shard of two indexes, rank batch")
        self._ask_key("stock-check", "A7")
        _title("Order: runs at most once, on the shard that its key selects")
        self._ask_key("order", "order-1", "--once")
        _title("Report: sent again while it is refused, rank report")
        self._ask_key("report", "night", "--wait")

    def _show_state(self) -> None:
        _title("State of the six hosts")
        self._tool("status")
        _title("The hosts as the first one sees them")
        self._tool("members")

    def _change_configuration(self) -> None:
        first, second = self._drain_patch("drain-1", 1), self._drain_patch("drain-2", 1)
        _title(f"A patch that drains the replica {REPLICA}")
        file = self._write_patch(first)
        self._tool("check-patch", file)
        self._submit(first)
        self._wait_for_verdicts(1)
        _title("A second patch against the same version is refused")
        self._tool("check-patch", self._write_patch(second), expected=3)
        self._submit(second)
        self._wait_for_verdicts(2)
        self._tool("versions", "--verdicts")
        self._tool("audit", "--kind", "version_accepted")
        self._tool("audit", "--kind", "version_refused")
        _title("The draining replica takes no new work; answers stay complete")
        self._ask_key("lookup", "A7")

    def _drain_a_host(self) -> None:
        host = self._hosts[-1]
        _title(f"Drain of the host {host}")
        self._drained.add(host)
        self._tool("drain", "--admin", self.fleet.admin_address_of(host))
        process = self.fleet.daemons[host]
        self.fleet.wait_until(
            f"the end of {host}", lambda: not process.is_running, timeout_s=30.0
        )
        if (status := process.stop()) != 0:
            raise ProcessFailure(f"{host} ended with status {status}", process)
        print(f"{host} ended with status 0")
        self._wait_for_owners(host)
        self._tool("members")
        self._ask_key("stock-check", "A7")

    def _ask_key(self, route: str, key: str, *options: str) -> None:
        """Ask a route; the upstreams return the echo, so each row shows its caller."""
        parameters = "--param", f"key={key}", "--param", f"echo={key}"
        self._tool("ask", route, *options, *parameters)

    def _tool(self, *words: str, expected: int = 0) -> None:
        """Run one command of the tool, print it and what it prints."""
        print(f"\n$ {shlex.join(['cicadalever', *words])}", flush=True)
        try:
            done = subprocess.run(
                [*TOOL, *words],
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            reason = f"'{shlex.join(words)}' did not end in {COMMAND_TIMEOUT_S:g} s"
            raise ProcessFailure(reason, self._find_concerned()) from None
        print("\n".join(shorten(done.stdout.splitlines())), flush=True)
        if done.returncode != expected:
            reason = (
                f"'{shlex.join(words)}' ended with {done.returncode}, "
                f"expected {expected}"
            )
            raise ProcessFailure(reason, self._find_concerned())

    def _find_concerned(self) -> Process:
        """Return a process that ended without being asked to, else the host asked."""
        for process in self.fleet.processes:
            if not process.is_running and process.name not in self._drained:
                return process
        return self.fleet.daemons[self._hosts[0]]

    def _drain_patch(self, patch_id: str, against: int) -> dict:
        path = f"/services/storefront-01/replicas/{REPLICA}/draining"
        operation = {"op": "replace", "path": path, "value": True}
        return {
            "id": patch_id,
            "against": against,
            "author": "demo",
            "operations": [operation],
        }

    def _write_patch(self, patch: dict) -> str:
        file = self.fleet.directory / f"{patch['id']}.json"
        file.write_text(json.dumps(patch, indent=1))
        return str(file)

    def _submit(self, patch: dict) -> None:
        answer = self.fleet.submit_patch(patch)
        print(f"\nsubmitted {patch['id']} to the platform as log entry", end=" ")
        print(answer["sequence"], flush=True)

    def _wait_for_verdicts(self, sequence: int) -> None:
        for host, process in self.fleet.daemons.items():
            self.fleet.wait_until(
                f"log entry {sequence} on host {host}",
                lambda host=host: (
                    (view := self.fleet.read_admin_view(host, "/v1/versions"))
                    is not None
                    and view["sequence"] >= sequence
                ),
                process,
            )

    def _wait_for_owners(self, gone: str) -> None:
        """Wait until the first host knows a new owner for each replica of ``gone``."""
        first = self._hosts[0]

        def is_moved() -> bool:
            view = self.fleet.read_admin_view(first, "/v1/upstreams")
            return view is not None and all(
                row["owner"] not in (gone, None) for row in view["upstreams"]
            )

        process = self.fleet.daemons[first]
        self.fleet.wait_until(
            f"new owners of the replicas of {gone}", is_moved, process
        )


def environment_of(fleet: DemoFleet) -> dict[str, str]:
    """Return the variables that tell the tool the addresses of ``fleet``."""
    deployment = fleet.deployment
    return {
        "CICADALEVER_ENTRY": deployment.entries[0],
        "CICADALEVER_ADMIN": " ".join(deployment.admins),
    }


def shorten(lines: Sequence[str]) -> list[str]:
    """Leave out the middle of a long output; an answer ends with its summary."""
    if len(lines) <= SHOWN_LINES:
        return list(lines)
    left_out = len(lines) - SHOWN_LINES
    head = SHOWN_LINES - KEPT_LINES
    return [*lines[:head], f"... {left_out} more lines", *lines[-KEPT_LINES:]]


def main(arguments: Sequence[str] = ()) -> int:
    """Start the fleet, run the demo or wait, and stop everything; return the status."""
    if unknown := set(arguments) - {"--keep"}:
        print(f"demo: unknown argument {min(unknown)}", file=sys.stderr)
        return 2
    # SIGTERM must end the children too, so it becomes an exception.
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="cicadalever-demo-") as directory:
        try:
            return _run_in(Path(directory), keep="--keep" in arguments)
        except ProcessFailure as failure:
            report(failure)
            return 1
        except KeyboardInterrupt:
            print("demo: interrupted", file=sys.stderr)
            return 130


def _run_in(directory: Path, *, keep: bool) -> int:
    ports = PortRange(random.SystemRandom())
    try:
        fleet = DemoFleet(DEPLOYMENT, directory, ports.base, DAEMON_SETTINGS)
        try:
            _start(fleet)
            if keep:
                _wait_for_interrupt(fleet)
            else:
                Demo(fleet).run()
        except BaseException:
            fleet.stop()
            raise
        faults = fleet.stop()
    finally:
        ports.close()
    if faults:
        raise ProcessFailure("; ".join(faults))
    print("\nall processes have ended")
    return 0


def _start(fleet: DemoFleet) -> None:
    services = fleet.deployment.document["services"]
    replicas = sum(len(service["replicas"]) for service in services.values())
    count = len(fleet.daemons)
    print(f"starting the platform, {replicas} upstreams of {len(services)} services")
    print(f"and {count} daemons of the deployment {fleet.deployment.name}", flush=True)
    fleet.start()
    print(
        f"{count} daemons are ready and agree on the owner of each replica", flush=True
    )


def _wait_for_interrupt(fleet: DemoFleet) -> None:
    for name, value in environment_of(fleet).items():
        print(f"export {name}={shlex.quote(value)}")
    print(f"settings and logs: {fleet.directory}")
    print("running until Ctrl-C", flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print()


def report(failure: ProcessFailure) -> None:
    """Print what failed and the end of the log of the process concerned."""
    print(f"\ndemo: failed: {failure}", file=sys.stderr)
    if failure.process is None:
        return
    print(f"demo: end of the log of {failure.process.name}:", file=sys.stderr)
    print("\n".join(failure.log), file=sys.stderr)


def _title(text: str) -> None:
    print(f"\n== {text}", flush=True)


def _interrupt(signum: int, frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
