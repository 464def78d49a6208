"""Runs nose2 and prints the numbers of passed, failed and skipped tests.

Failures of tests that KNOWN-RED.txt lists do not count for the exit status.
"""

import re
import subprocess
import sys
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", re.MULTILINE)
COUNT_LINE = re.compile(r"^Ran (\d+) tests? in ", re.MULTILINE)
FAILED_LINE = re.compile(r"^FAILED \((.*)\)$", re.MULTILINE)
SKIPPED = re.compile(r"skipped=(\d+)")
FAILURES = re.compile(r"(?:failures|errors|unexpected successes)=(\d+)")


def read_known_red() -> set[str]:
    """Return the ids of tests that KNOWN-RED.txt lists as failing by a known fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.partition("|")[0].strip() for entry in entries}


def only_known_red_failed(output: str) -> bool:
    """Tell whether KNOWN-RED.txt lists all failed tests; if so, print their ids.

    Returns False if no test failed.
    """
    failed = set(FAILED_TEST.findall(output))
    if not failed or not failed <= read_known_red():
        return False
    for test in sorted(failed):
        print(f"passed over, see KNOWN-RED.txt: {test}")
    return True


def summarize(output: str) -> str:
    """Return "N passed, N failed, N skipped" for the output of nose2."""
    match = COUNT_LINE.search(output)
    total = int(match.group(1)) if match else 0
    failed_line = FAILED_LINE.search(output)
    failed = sum(map(int, FAILURES.findall(failed_line.group(1)))) if failed_line else 0
    skipped = sum(map(int, SKIPPED.findall(output)))
    return f"{total - failed - skipped} passed, {failed} failed, {skipped} skipped"


def main() -> int:
    """Run nose2 with the given arguments and return its exit status.

    Returns 0 if KNOWN-RED.txt lists all failed tests.
    """
    command = [sys.executable, "-W", "ignore", "-m", "nose2", *sys.argv[1:]]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    lines = []
    for line in process.stdout:
        sys.stdout.write(line)
        sys.stdout.flush()
        lines.append(line)
    status = process.wait()
    output = "".join(lines)
    if status and COUNT_LINE.search(output) and only_known_red_failed(output):
        status = 0
    print(summarize(output))
    return status


if __name__ == "__main__":
    sys.exit(main())
