"""Command line of the load tool."""

import json
import sys
from pathlib import Path

from standins.process import READY_LINE

from ._generator import LoadGenerator
from ._records import summarize, write_records


def main() -> None:
    """Run the load of a settings file, write the records and print a summary."""
    if len(sys.argv) != 2:
        sys.exit("usage: python -m standins.load SETTINGS.json")
    settings = json.loads(Path(sys.argv[1]).read_text())
    print(READY_LINE, flush=True)
    records = LoadGenerator(settings).run()
    write_records(records, settings["output"])
    print(json.dumps(summarize(records)), flush=True)
