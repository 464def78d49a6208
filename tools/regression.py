"""Plays quick scores of sites and compares them with the last committed ones.

    .venv/bin/python tools/regression.py BENCH SITE...

BENCH is the program of the users' bench and SITE a site file. The exit status is 1 if
the worth of a day fell by ``NOTABLE_FALL`` or more, or a gate was not passed.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
# Two plays of one day differ by less than this.
NOTABLE_FALL = 0.03


class Entry(NamedTuple):
    """A score in the journal; ``worths`` has the worth of each day by its name."""

    id: str
    site: str
    score: float
    passed: bool
    worths: dict[str, float]


def read_entry(path: Path) -> Entry | None:
    """Return the finished score in a journal file, or None if it has none."""
    try:
        fields = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    if fields.get("cmd") != "score" or not fields.get("days"):
        return None
    return Entry(
        fields["id"],
        fields["site"],
        fields["score"],
        fields["figures"].get("gate") == 1.0,
        {day["name"]: day["G"] for day in fields["days"]},
    )


def committed_entries() -> list[Entry]:
    """Return the scores that are committed, the oldest first."""
    command = ["git", "ls-files", "journal/*.json"]
    names = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    entries = (read_entry(ROOT / name) for name in sorted(names))
    return [entry for entry in entries if entry is not None]


def compare(new: Entry, old: Entry | None) -> list[str]:
    """Return a line for the score and each day, with falls marked."""
    gate = "passed" if new.passed else "NOT PASSED"
    before = "-" if old is None else f"{old.score:.3f} ({old.id})"
    lines = [f"{new.site}: {new.score:.3f}, before {before}; gate {gate}"]
    for name, worth in new.worths.items():
        if old is None or name not in old.worths:
            continue
        fall = old.worths[name] - worth
        mark = "  FELL" if fall >= NOTABLE_FALL else ""
        lines.append(f"  {name:12} {worth:.3f}, before {old.worths[name]:.3f}{mark}")
    return lines


def play(bench: str, site: str) -> Entry | None:
    """Play a quick score and return its entry."""
    before = set(JOURNAL.glob("*.json"))
    command = [bench, "score", site, "--quick", "--why", "regression run"]
    subprocess.run(command, cwd=ROOT, check=False)
    entries = (read_entry(path) for path in set(JOURNAL.glob("*.json")) - before)
    return next((entry for entry in entries if entry is not None), None)


def main() -> int:
    """Play all sites and print one table."""
    if len(sys.argv) < 3:
        print(__doc__, file=sys.stderr)
        return 2
    bench, *sites = sys.argv[1:]
    committed = committed_entries()
    table, failed = [], False
    for site in sites:
        new = play(bench, site)
        if new is None:
            table.append(f"{site}: no finished score")
            failed = True
            continue
        same_site = [entry for entry in committed if entry.site == new.site]
        lines = compare(new, same_site[-1] if same_site else None)
        failed = failed or not new.passed or any("FELL" in line for line in lines)
        table += lines
    print("\n".join(table))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
