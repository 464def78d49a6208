"""Runs nose2 and ends with one line that counts passed and failed tests."""

import re
import subprocess
import sys

COUNT_LINE = re.compile(r"^Ran (\d+) tests? in ", re.MULTILINE)
FAILED_LINE = re.compile(r"^FAILED \((.*)\)$", re.MULTILINE)
SKIPPED = re.compile(r"skipped=(\d+)")
FAILURES = re.compile(r"(?:failures|errors|unexpected successes)=(\d+)")


def summarize(output: str) -> str:
    """Return "N passed, N failed, N skipped" for the output of nose2."""
    match = COUNT_LINE.search(output)
    total = int(match.group(1)) if match else 0
    verdict = FAILED_LINE.search(output)
    failed = sum(map(int, FAILURES.findall(verdict.group(1)))) if verdict else 0
    skipped = sum(map(int, SKIPPED.findall(output)))
    return f"{total - failed - skipped} passed, {failed} failed, {skipped} skipped"


def main() -> int:
    """Run nose2 with the given arguments and return its exit status."""
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
    print(summarize("".join(lines)))
    return status


if __name__ == "__main__":
    sys.exit(main())
