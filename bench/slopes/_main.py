"""Command line that measures slopes or prints the capacity page."""

import argparse
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from fnmatch import fnmatch
from pathlib import Path
from typing import NamedTuple

from ._capacity import TEMPLATE_PATH, read_slopes, render_page
from ._configuration import measure_configuration, measure_document
from ._daemons import measure_daemons
from ._entry import measure_entry, measure_latency
from ._fit import Slope, fit_line, to_json
from ._membership import measure_digests, measure_membership
from ._memory import measure_memory, measure_peer_memory
from ._owner import measure_owner, measure_queue
from ._ownership import measure_ownership
from ._spread import (
    measure_data_centre_loss,
    measure_mass_loss,
    measure_reunion,
    measure_spread,
)

MAX_PARALLEL_SIMULATIONS = 3

MeasureFunction = Callable[[], list[Slope]]


class _SlopeGroup(NamedTuple):
    """Slopes that one function measures together.

    Simulations start no processes and measure CPU or simulated time, not wall time, so
    they run in parallel.
    """

    measure: MeasureFunction
    names: tuple[str, ...]
    is_simulation: bool = False


SLOPE_GROUPS = (
    _SlopeGroup(measure_owner, ("owner-read", "owner-read-in-tens", "daemon-ping")),
    _SlopeGroup(measure_queue, ("owner-queue",)),
    _SlopeGroup(
        measure_entry,
        (
            "entry-query",
            "entry-query-ten-owners",
            "entry-bytes-sent",
            "entry-bytes-received",
        ),
    ),
    _SlopeGroup(measure_latency, ("path-latency-p50", "path-latency-p99")),
    _SlopeGroup(
        measure_daemons,
        (
            "daemon-idle-cpu",
            "daemon-idle-bytes",
            "daemon-resident",
            "platform-reads-steady",
            "platform-reads-restart",
            "platform-reads-restart-total",
        ),
    ),
    _SlopeGroup(
        measure_memory,
        (
            "memory-member",
            "memory-replica",
            "memory-queued-read",
            "memory-issued-id",
            "memory-audit-event",
            "memory-upstream-connection",
        ),
    ),
    _SlopeGroup(measure_peer_memory, ("memory-peer-connection",)),
    _SlopeGroup(
        measure_configuration,
        (
            "configuration-change",
            "configuration-entry-bytes",
            "configuration-full-bytes",
        ),
    ),
    _SlopeGroup(measure_document, ("document-bytes",)),
    _SlopeGroup(measure_digests, ("membership-digests",)),
    _SlopeGroup(measure_ownership, ("ownership-choice", "ownership-fullest")),
    _SlopeGroup(
        measure_membership,
        (
            "membership-cpu",
            "membership-cpu-delegate",
            "membership-bytes",
            "membership-bytes-delegate",
            "membership-bytes-remote",
            "membership-bytes-region",
            "membership-pings-delegate",
        ),
        is_simulation=True,
    ),
    _SlopeGroup(
        measure_spread,
        ("spread-change", "spread-loss", "spread-loss-bytes"),
        is_simulation=True,
    ),
    _SlopeGroup(
        measure_mass_loss,
        ("spread-mass-loss", "spread-mass-loss-bytes"),
        is_simulation=True,
    ),
    _SlopeGroup(
        measure_data_centre_loss,
        ("spread-centre-loss", "spread-centre-loss-bytes"),
        is_simulation=True,
    ),
    _SlopeGroup(measure_reunion, ("spread-reunion",), is_simulation=True),
)


def main(arguments: list[str]) -> int:
    """Print the selected slopes or the capacity page; return the exit status."""
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object a line")
    parser.add_argument("--only", metavar="NAME", default="*", help="name or pattern")
    parser.add_argument("--list", action="store_true", help="print the names only")
    parser.add_argument(
        "--capacity", metavar="FILE", help="print the capacity page from saved JSON"
    )
    options = parser.parse_args(arguments)
    if options.capacity:
        lines = Path(options.capacity).read_text().splitlines()
        print(render_page(read_slopes(lines), TEMPLATE_PATH.read_text()), end="")
        return 0
    names = [name for group in SLOPE_GROUPS for name in group.names]
    chosen = {name for name in names if fnmatch(name, options.only)}
    if not chosen:
        print(f"slopes: no slope is named {options.only}", file=sys.stderr)
        return 2
    if options.list:
        print("\n".join(name for name in names if name in chosen))
        return 0
    groups = [group for group in SLOPE_GROUPS if not chosen.isdisjoint(group.names)]
    for slope in _measure_all(groups):
        if slope.name in chosen:
            print(to_json(slope) if options.json else _format_slope(slope), flush=True)
    return 0


def _measure_all(groups: list[_SlopeGroup]) -> Iterator[Slope]:
    for group in groups:
        if not group.is_simulation:
            yield from group.measure()
    simulations = [group.measure for group in groups if group.is_simulation]
    with ProcessPoolExecutor(MAX_PARALLEL_SIMULATIONS) as pool:
        for slopes in pool.map(_call, simulations):
            yield from slopes


def _call(measure: MeasureFunction) -> list[Slope]:
    """Call a measurement; a process pool can only run a function of a module."""
    return measure()


def _format_slope(slope: Slope) -> str:
    fit = fit_line(slope.points)
    return (
        f"{slope.name}: {fit.slope:.4g} {slope.unit_y} per {slope.unit_x}, intercept"
        f" {fit.intercept:.4g}, residual {fit.relative_residual:.1%} of the mean"
    )
