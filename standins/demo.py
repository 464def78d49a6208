"""Demo of a whole deployment on one machine: six daemons, upstreams and the platform.

``python -m standins.demo`` sends queries, submits patches and drains a host with the
command-line tool. It exits with 0 if every step had the expected result. With
``--keep``, it starts the same deployment and keeps it running until Ctrl-C, so that the
commands can be tried by hand.
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
# The demo has no load balancer that has to notice a draining host, so a short linger
# time is enough.
DAEMON_SETTINGS = {"linger_s": 0.5}
COMMAND_TIMEOUT_S = 60.0
SHOWN_LINES = 14
TAIL_LINES = 8
CLI_COMMAND = (sys.executable, "-m", "cicadalever.cli")
DRAINED_REPLICA = "storefront-01-a"


class Demo:
    """Runs the steps of the demo against a fleet that is running."""

    def __init__(self, fleet: DemoFleet):
        self.fleet = fleet
        self._hosts = list(fleet.daemons)
        self._drained: set[str] = set()
        self._environment = {**os.environ, **environment_of(fleet)}

    def run(self) -> None:
        """Run all steps; raises ``ProcessFailure`` at the first that fails."""
        self._run_queries()
        self._show_state()
        self._change_configuration()
        self._drain_host()

    def _run_queries(self) -> None:
        _print_title("Storefront lookups: every storefront shard, rank interactive")
        for key in ("A7", "B12", "C3"):
            self._query_key("lookup", key)
        _print_title("Stock check: every shard of two indexes, rank batch")
        self._query_key("stock-check", "A7")
        _print_title("Order: runs at most once, on the shard that its key selects")
        self._query_key("order", "order-1", "--once")
        _print_title("Report: sent again while it is refused, rank report")
        self._query_key("report", "night", "--wait")

    def _show_state(self) -> None:
        _print_title("State of the six hosts")
        self._run_cli("status")
        _print_title("The hosts as the first one sees them")
        self._run_cli("members")

    def _change_configuration(self) -> None:
        first, second = self._drain_patch("drain-1", 1), self._drain_patch("drain-2", 1)
        _print_title(f"A patch that drains the replica {DRAINED_REPLICA}")
        file = self._write_patch(first)
        self._run_cli("check-patch", file)
        self._submit(first)
        self._wait_for_verdicts(1)
        _print_title("A second patch against the same version is refused")
        self._run_cli("check-patch", self._write_patch(second), expected=3)
        self._submit(second)
        self._wait_for_verdicts(2)
        self._run_cli("versions", "--verdicts")
        self._run_cli("audit", "--kind", "version_accepted")
        self._run_cli("audit", "--kind", "version_refused")
        _print_title("The draining replica takes no new work; answers stay complete")
        self._query_key("lookup", "A7")

    def _drain_host(self) -> None:
        host = self._hosts[-1]
        _print_title(f"Drain of the host {host}")
        self._drained.add(host)
        self._run_cli("drain", "--admin", self.fleet.admin_address_of(host))
        process = self.fleet.daemons[host]
        self.fleet.wait_until(
            f"the end of {host}", lambda: not process.is_running, timeout_s=30.0
        )
        if (status := process.stop()) != 0:
            raise ProcessFailure(f"{host} ended with status {status}", process)
        print(f"{host} ended with status 0")
        self._wait_for_owners(host)
        self._run_cli("members")
        self._query_key("stock-check", "A7")

    def _query_key(self, route: str, key: str, *options: str) -> None:
        """Query a route; the upstreams return the echo, so each row shows its query."""
        parameters = "--param", f"key={key}", "--param", f"echo={key}"
        self._run_cli("ask", route, *options, *parameters)

    def _run_cli(self, *arguments: str, expected: int = 0) -> None:
        """Run a command of the command-line tool; print the command and its output."""
        print(f"\n$ {shlex.join(['cicadalever', *arguments])}", flush=True)
        try:
            completed = subprocess.run(
                [*CLI_COMMAND, *arguments],
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            reason = f"'{shlex.join(arguments)}' did not end in {COMMAND_TIMEOUT_S:g} s"
            raise ProcessFailure(reason, self._find_suspect()) from None
        print("\n".join(shorten(completed.stdout.splitlines())), flush=True)
        if completed.returncode != expected:
            reason = (
                f"'{shlex.join(arguments)}' ended with {completed.returncode}, "
                f"expected {expected}"
            )
            raise ProcessFailure(reason, self._find_suspect())

    def _find_suspect(self) -> Process:
        """Return a process that ended unexpectedly, else the daemon that is queried."""
        for process in self.fleet.processes:
            if not process.is_running and process.name not in self._drained:
                return process
        return self.fleet.daemons[self._hosts[0]]

    def _drain_patch(self, patch_id: str, against: int) -> dict:
        path = f"/services/storefront-01/replicas/{DRAINED_REPLICA}/draining"
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
    """Return the environment variables with which the tool finds ``fleet``."""
    deployment = fleet.deployment
    return {
        "CICADALEVER_ENTRY": deployment.entries[0],
        "CICADALEVER_ADMIN": " ".join(deployment.admins),
    }


def shorten(lines: Sequence[str]) -> list[str]:
    """Cut the middle of a long output, because an answer ends with its summary."""
    if len(lines) <= SHOWN_LINES:
        return list(lines)
    left_out = len(lines) - SHOWN_LINES
    head = SHOWN_LINES - TAIL_LINES
    return [*lines[:head], f"... {left_out} more lines", *lines[-TAIL_LINES:]]


def main(arguments: Sequence[str] = ()) -> int:
    """Run the demo, or keep its fleet running; return the exit status."""
    if unknown := set(arguments) - {"--keep"}:
        print(f"demo: unknown argument {min(unknown)}", file=sys.stderr)
        return 2
    # SIGTERM must end the child processes too, so it is turned into an exception.
    signal.signal(signal.SIGTERM, _raise_interrupt)
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
            _start_fleet(fleet)
            if keep:
                _wait_for_interrupt(fleet)
            else:
                Demo(fleet).run()
        except BaseException:
            fleet.stop()
            raise
        failures = fleet.stop()
    finally:
        ports.close()
    if failures:
        raise ProcessFailure("; ".join(failures))
    print("\nall processes have ended")
    return 0


def _start_fleet(fleet: DemoFleet) -> None:
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
    """Print the failure and the end of the log of its process, if known."""
    print(f"\ndemo: failed: {failure}", file=sys.stderr)
    if failure.process is None:
        return
    print(f"demo: end of the log of {failure.process.name}:", file=sys.stderr)
    print("\n".join(failure.log), file=sys.stderr)


def _print_title(text: str) -> None:
    print(f"\n== {text}", flush=True)


def _raise_interrupt(signum: int, frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
