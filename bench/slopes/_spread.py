"""Time for news to reach every member, in simulated time."""

import gc
import math

from cicadalever.membership import MemberState

from ._fit import Slope
from ._simulated_fleet import SimulatedFleet
from ._testbed import SEED

SIZES = (6, 12, 24, 48, 100, 300, 570)
WARM_UP_S = 1.0
LIMIT_S = 120.0
# A member that is noticed late or early by chance is averaged out.
RUNS = {6: 5, 12: 5, 24: 5, 48: 3, 100: 3, 300: 1, 570: 1}
# Three data centres of 52. Members of one of them are lost.
MASS_SIZE = 156
MASS_CENTRES = 3
MASS_LOSSES = (1, 7, 13, 26, 39)
CENTRE_SIZES = (6, 13, 26, 52)
REUNION_SIZES = (12, 24, 48, 96)
REUNION_CENTRES = 6
PARTED_S = 8.0


def measure_spread() -> list[Slope]:
    """Measure the spread of a new version from one host, and of a member's loss."""
    changes, losses, costs = [], [], []
    for size in SIZES:
        change_s, loss_s, loss_bytes = _mean_of_runs(size)
        changes.append((math.log2(size), change_s))
        losses.append((math.log2(size), loss_s))
        costs.append((size, loss_bytes))
    unit = "log2 of the number of members"
    return [
        Slope("spread-change", unit, "simulated s from one host to all", changes),
        Slope("spread-loss", unit, "simulated s until all know the loss", losses),
        Slope(
            "spread-loss-bytes",
            "members",
            "bytes sent per member until all know the loss",
            costs,
        ),
    ]


def measure_mass_loss() -> list[Slope]:
    """Measure the loss of several members of one data centre at once."""
    times, costs = [], []
    for lost in MASS_LOSSES:
        seconds, sent = _without_collections(_lose_many, MASS_SIZE, lost)
        times.append((lost, seconds))
        costs.append((lost, sent))
    unit = f"members lost at once of {MASS_SIZE} in {MASS_CENTRES} data centres"
    return [
        Slope("spread-mass-loss", unit, "simulated s until all know all", times),
        Slope(
            "spread-mass-loss-bytes", unit, "bytes sent per member until then", costs
        ),
    ]


def measure_centre_loss() -> list[Slope]:
    """Measure the loss of one of three data centres of equal size."""
    times, costs = [], []
    for size in CENTRE_SIZES:
        seconds, sent = _without_collections(_lose_many, MASS_CENTRES * size, size)
        times.append((size, seconds))
        costs.append((size, sent))
    unit = f"members of the lost one of {MASS_CENTRES} data centres"
    return [
        Slope("spread-centre-loss", unit, "simulated s until all know all", times),
        Slope(
            "spread-centre-loss-bytes", unit, "bytes sent per member until then", costs
        ),
    ]


def measure_reunion() -> list[Slope]:
    """Measure how soon regions know each other again after a partition."""
    points = [(size, _without_collections(_reunite, size)) for size in REUNION_SIZES]
    unit = f"members of {REUNION_CENTRES} data centres in 3 regions"
    return [Slope("spread-reunion", unit, "simulated s until all know all", points)]


def _lose_many(size: int, count: int) -> tuple[float, float]:
    fleet = SimulatedFleet(size, SEED, data_centres=MASS_CENTRES)
    fleet.run(WARM_UP_S)
    centre = fleet.members[0].host.data_centre
    members = [m for m in fleet.members if m.host.data_centre == centre]
    return _lose(fleet, members[:count])


def _reunite(size: int) -> float:
    fleet = SimulatedFleet(size, SEED, data_centres=REUNION_CENTRES)
    fleet.run(WARM_UP_S)
    fleet.partition_region(fleet.members[0].host.region)
    fleet.run(PARTED_S)
    fleet.partition_region(None)
    started = fleet.now

    def is_whole() -> bool:
        return all(len(member.table.live()) == size for member in fleet.members)

    if is_whole():
        raise RuntimeError(f"fleet of {size}: the partition had no effect")
    return _wait(fleet, is_whole) - started


def _mean_of_runs(size: int) -> tuple[float, float, float]:
    runs = [_measure(size, SEED + number) for number in range(RUNS[size])]
    return tuple(sum(values) / len(runs) for values in zip(*runs, strict=True))


def _measure(size: int, seed: int) -> tuple[float, float, float]:
    return _without_collections(_spread_both, size, seed)


def _spread_both(size: int, seed: int) -> tuple[float, float, float]:
    fleet = SimulatedFleet(size, seed)
    fleet.run(WARM_UP_S)
    change_s = _spread_change(fleet)
    return change_s, *_lose(fleet, [fleet.rng.choice(fleet.members)])


def _without_collections(work, *arguments):
    """Run ``work`` without the collector, which is slow over a million members."""
    gc.collect()
    gc.disable()
    try:
        return work(*arguments)
    finally:
        gc.enable()


def _spread_change(fleet: SimulatedFleet) -> float:
    started = fleet.now
    first = fleet.rng.choice(fleet.members)
    fleet.send_all(first, first.take_version(2, fleet.now))
    return _wait(fleet, lambda: all(m.sequence == 2 for m in fleet.members)) - started


def _lose(fleet: SimulatedFleet, lost: list) -> tuple[float, float]:
    """Return seconds until all others know all losses, and bytes sent per member."""
    started = fleet.now
    for member in lost:
        member.is_up = False
    live = [member for member in fleet.members if member.is_up]
    sent = sum(member.counts["sent"] for member in live)

    def is_known() -> bool:
        return all(
            member.table.member(gone.host.id).reported >= MemberState.DEAD
            for member in live
            for gone in lost
        )

    ended = _wait(fleet, is_known)
    sent = sum(member.counts["sent"] for member in live) - sent
    return ended - started, sent / len(live)


def _wait(fleet: SimulatedFleet, is_done) -> float:
    ended = fleet.run_until(fleet.now + LIMIT_S, is_done)
    if ended is None:
        raise RuntimeError(f"fleet of {fleet.size}: not all know after {LIMIT_S} s")
    return ended
