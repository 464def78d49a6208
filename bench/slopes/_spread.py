"""Simulated time until all members know a change, a loss or a reunion."""

import gc
import math

from cicadalever.membership import MemberState

from ._fit import Slope
from ._simulated_fleet import SimulatedFleet
from ._testbed import SEED

FLEET_SIZES = (6, 12, 24, 48, 100, 300, 570)
WARM_UP_S = 1.0
TIMEOUT_S = 120.0
# Runs per fleet size; their mean evens out early or late detection by chance.
RUNS_BY_SIZE = {6: 5, 12: 5, 24: 5, 48: 3, 100: 3, 300: 1, 570: 1}
# Three data centres of 52 members; the lost members are all in one.
MASS_LOSS_FLEET_SIZE = 156
LOSS_DATA_CENTRES = 3
MASS_LOSS_COUNTS = (1, 7, 13, 26, 39)
DATA_CENTRE_SIZES = (6, 13, 26, 52)
REUNION_FLEET_SIZES = (12, 24, 48, 96)
REUNION_DATA_CENTRES = 6
PARTITION_S = 8.0


def measure_spread() -> list[Slope]:
    """Measure how long a new version and the loss of a member take to reach all."""
    changes, losses, byte_counts = [], [], []
    for size in FLEET_SIZES:
        change_s, loss_s, loss_bytes = _mean_of_runs(size)
        changes.append((math.log2(size), change_s))
        losses.append((math.log2(size), loss_s))
        byte_counts.append((size, loss_bytes))
    unit = "log2 of the number of members"
    return [
        Slope("spread-change", unit, "simulated s from one host to all", changes),
        Slope("spread-loss", unit, "simulated s until all know the loss", losses),
        Slope(
            "spread-loss-bytes",
            "members",
            "bytes sent per member until all know the loss",
            byte_counts,
        ),
    ]


def measure_mass_loss() -> list[Slope]:
    """Measure the loss of several members of one data centre at once."""
    times, byte_counts = [], []
    for lost in MASS_LOSS_COUNTS:
        seconds, sent_bytes = _run_without_gc(
            _measure_losses_in_data_centre, MASS_LOSS_FLEET_SIZE, lost
        )
        times.append((lost, seconds))
        byte_counts.append((lost, sent_bytes))
    unit = (
        f"members lost at once of {MASS_LOSS_FLEET_SIZE} in {LOSS_DATA_CENTRES}"
        " data centres"
    )
    return [
        Slope("spread-mass-loss", unit, "simulated s until all know all", times),
        Slope(
            "spread-mass-loss-bytes",
            unit,
            "bytes sent per member until then",
            byte_counts,
        ),
    ]


def measure_data_centre_loss() -> list[Slope]:
    """Measure the loss of one of three data centres of equal size."""
    times, byte_counts = [], []
    for size in DATA_CENTRE_SIZES:
        seconds, sent_bytes = _run_without_gc(
            _measure_losses_in_data_centre, LOSS_DATA_CENTRES * size, size
        )
        times.append((size, seconds))
        byte_counts.append((size, sent_bytes))
    unit = f"members of the lost one of {LOSS_DATA_CENTRES} data centres"
    return [
        Slope("spread-centre-loss", unit, "simulated s until all know all", times),
        Slope(
            "spread-centre-loss-bytes",
            unit,
            "bytes sent per member until then",
            byte_counts,
        ),
    ]


def measure_reunion() -> list[Slope]:
    """Measure how long after a partition all members know each other again."""
    points = [
        (size, _run_without_gc(_time_reunion, size)) for size in REUNION_FLEET_SIZES
    ]
    unit = f"members of {REUNION_DATA_CENTRES} data centres in 3 regions"
    return [Slope("spread-reunion", unit, "simulated s until all know all", points)]


def _measure_losses_in_data_centre(size: int, count: int) -> tuple[float, float]:
    fleet = SimulatedFleet(size, SEED, data_centres=LOSS_DATA_CENTRES)
    fleet.run(WARM_UP_S)
    data_centre = fleet.members[0].host.data_centre
    members = [m for m in fleet.members if m.host.data_centre == data_centre]
    return _measure_loss(fleet, members[:count])


def _time_reunion(size: int) -> float:
    fleet = SimulatedFleet(size, SEED, data_centres=REUNION_DATA_CENTRES)
    fleet.run(WARM_UP_S)
    fleet.partition_region(fleet.members[0].host.region)
    fleet.run(PARTITION_S)
    fleet.partition_region(None)
    started = fleet.now

    def is_reunited() -> bool:
        return all(len(member.table.live()) == size for member in fleet.members)

    if is_reunited():
        raise RuntimeError(f"fleet of {size}: the partition had no effect")
    return _run_until(fleet, is_reunited) - started


def _mean_of_runs(size: int) -> tuple[float, float, float]:
    runs = [_measure_run(size, SEED + number) for number in range(RUNS_BY_SIZE[size])]
    return tuple(sum(values) / len(runs) for values in zip(*runs, strict=True))


def _measure_run(size: int, seed: int) -> tuple[float, float, float]:
    return _run_without_gc(_measure_change_and_loss, size, seed)


def _measure_change_and_loss(size: int, seed: int) -> tuple[float, float, float]:
    fleet = SimulatedFleet(size, seed)
    fleet.run(WARM_UP_S)
    change_s = _time_change(fleet)
    return change_s, *_measure_loss(fleet, [fleet.rng.choice(fleet.members)])


def _run_without_gc(work, *arguments):
    """Run ``work`` without garbage collection.

    A collection is slow when the simulated fleet holds a million member entries.
    """
    gc.collect()
    gc.disable()
    try:
        return work(*arguments)
    finally:
        gc.enable()


def _time_change(fleet: SimulatedFleet) -> float:
    started = fleet.now
    first = fleet.rng.choice(fleet.members)
    fleet.send_all(first, first.apply_version(2, fleet.now))
    return (
        _run_until(fleet, lambda: all(m.sequence == 2 for m in fleet.members)) - started
    )


def _measure_loss(fleet: SimulatedFleet, lost: list) -> tuple[float, float]:
    """Return the seconds until the others know all losses, and bytes sent by each."""
    started = fleet.now
    for member in lost:
        member.is_up = False
    remaining = [member for member in fleet.members if member.is_up]
    sent_bytes = sum(member.counts["sent"] for member in remaining)

    def is_loss_known() -> bool:
        return all(
            member.table.member(lost_member.host.id).reported >= MemberState.DEAD
            for member in remaining
            for lost_member in lost
        )

    ended = _run_until(fleet, is_loss_known)
    sent_bytes = sum(member.counts["sent"] for member in remaining) - sent_bytes
    return ended - started, sent_bytes / len(remaining)


def _run_until(fleet: SimulatedFleet, is_done) -> float:
    ended = fleet.run_until(fleet.now + TIMEOUT_S, is_done)
    if ended is None:
        raise RuntimeError(
            f"fleet of {fleet.size}: not all members are up to date after {TIMEOUT_S} s"
        )
    return ended
