"""Child processes of tests, the benchmark and the demo."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

READY_LINE = "ready"
POLL_INTERVAL_S = 0.01


class Process:
    """One child process whose output goes to a file.

    >>> process = Process("say", [sys.executable, "-c", "print('ready')"], "say.out")
    >>> process.start()
    >>> process.wait_ready()
    True
    >>> process.stop()
    0
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        output_path: str | Path,
        environment: Mapping[str, str] | None = None,
    ):
        self.name = name
        self.command = command
        self.output_path = Path(output_path)
        self.environment = environment
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int | None:
        """Process id, or None before the start."""
        return self._child.pid if self._child is not None else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def output(self) -> str:
        """What the process has written since its last start."""
        return self.output_path.read_text(errors="replace")

    def start(self) -> None:
        """Start the process; its output replaces that of an earlier start."""
        with self.output_path.open("wb") as output:
            self._child = subprocess.Popen(
                list(self.command),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=None if self.environment is None else dict(self.environment),
            )

    def wait_ready(self, timeout_s: float = 30.0) -> bool:
        """Wait for the ready line; False if the process ends or the time runs out."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            is_running = self.is_running
            if READY_LINE in self.output.splitlines():
                return True
            if not is_running:
                return False
            time.sleep(POLL_INTERVAL_S)
        return False

    def stop(self, grace_s: float = 10.0) -> int | None:
        """End the process with SIGTERM, after ``grace_s`` with SIGKILL.

        Returns its exit status, or None when it was never started.
        """
        if self._child is None:
            return None
        if self.is_running:
            # A suspended process would not handle SIGTERM.
            self._child.send_signal(signal.SIGCONT)
            self._child.terminate()
            try:
                self._child.wait(grace_s)
            except subprocess.TimeoutExpired:
                self._child.kill()
        return self._child.wait()

    def kill(self) -> int | None:
        """End the process with SIGKILL, which simulates the loss of its host."""
        if self._child is None:
            return None
        self._child.kill()
        return self._child.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process with SIGCONT."""
        self._child.send_signal(signal.SIGCONT)

    def cpu_seconds(self) -> float:
        """Return the user and system time that the running process has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def module_process(
    name: str, module: str, settings_path: str | Path, output_path: str | Path
) -> Process:
    """Return the process ``python -m module settings_path``."""
    command = [sys.executable, "-m", module, str(settings_path)]
    return Process(name, command, output_path)
