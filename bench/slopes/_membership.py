"""Cost of membership per daemon against the size of a simulated fleet."""

import gc
import random
import statistics
import time
from collections.abc import Iterable
from typing import NamedTuple

from cicadalever.membership import MemberTable, Ping, Prober, VersionDigest
from cicadalever.topology import Host

from ._fit import Slope
from ._simulated_fleet import SimulatedFleet
from ._testbed import SEED

FLEET_SIZES = (6, 12, 24, 48, 100, 300, 570, 1140)
WARM_UP_S = 1.0
# Simulated seconds times members. Which delegate is pinged is random, so small fleets
# run longer for a stable mean.
MEASURED_MEMBER_SECONDS = 2400
MIN_MEASURED_S = 3.0
MAX_MEASURED_S = 30.0
# Number of delegates, and of other members, whose CPU time is measured. Bytes and pings
# are counted for all members.
SAMPLED_MEMBERS = 4
PEER_COUNTS = (100, 300, 570, 1140)
DIGEST_PASSES = 100


class _Rates(NamedTuple):
    """Means per member and second: shares of a core, bytes sent and pings received.

    ``remote`` and ``region`` are bytes to other data centres and to other regions.
    """

    cpu: float
    cpu_delegate: float
    sent: float
    sent_delegate: float
    remote: float
    region: float
    pings_delegate: float


def measure_membership() -> list[Slope]:
    """Measure CPU, bytes and pings of one member in fleets of ``FLEET_SIZES``."""
    rates = {size: _measure_without_gc(size) for size in FLEET_SIZES}
    core_unit = "share of a core of failure detector and codec"
    units = {
        "membership-cpu": ("cpu", core_unit),
        "membership-cpu-delegate": ("cpu_delegate", core_unit),
        "membership-bytes": ("sent", "bytes sent/s"),
        "membership-bytes-delegate": ("sent_delegate", "bytes sent/s"),
        "membership-bytes-remote": (
            "remote",
            "bytes sent/s to other data centres, mean of all members",
        ),
        "membership-bytes-region": (
            "region",
            "bytes sent/s to other regions, mean of all members",
        ),
        "membership-pings-delegate": ("pings_delegate", "pings received/s"),
    }
    return [
        Slope(
            name,
            "members",
            unit,
            [(size, getattr(rate, field)) for size, rate in rates.items()],
        )
        for name, (field, unit) in units.items()
    ]


def measure_digests() -> list[Slope]:
    """Measure the part of a membership tick that reads the digests of all peers."""
    points = [(count, _time_digest_pass(count)) for count in PEER_COUNTS]
    return [
        Slope("membership-digests", "peers heard", "CPU s per membership tick", points)
    ]


def _time_digest_pass(count: int) -> float:
    own = Host("own", "10.0.0.1:7002", "dc00", "region-0")
    prober = Prober(MemberTable(own, 1), random.Random(SEED))
    for number in range(count):
        address = f"10.1.{number // 200}.{number % 200}:7002"
        host = Host(f"host-{number:04}", address, "dc00", "region-0")
        digest = VersionDigest(1, 1, 0.5)
        prober.receive(Ping(host, 1, 0, False, number, digest, ()), 0.0)
    started = time.process_time()
    for _ in range(DIGEST_PASSES):
        _ = prober.newest_peer_digest
        prober.platform_contact_age(0.0)
    return (time.process_time() - started) / DIGEST_PASSES


def _measure_without_gc(size: int) -> _Rates:
    gc.collect()
    gc.disable()
    try:
        return _measure_rates(SimulatedFleet(size, SEED), size)
    finally:
        gc.enable()


def _measure_rates(fleet: SimulatedFleet, size: int) -> _Rates:
    ids = fleet.delegates()
    delegates = [m for m in fleet.members if m.host.id in ids]
    others = [m for m in fleet.members if m.host.id not in ids] or delegates
    for member in delegates[:SAMPLED_MEMBERS] + others[:SAMPLED_MEMBERS]:
        fleet.send_initial_digests(member)
    fleet.run(WARM_UP_S)
    for member in fleet.members:
        member.cpu_ns = 0
        member.counts.clear()
    seconds = MEASURED_MEMBER_SECONDS / size
    seconds = min(max(seconds, MIN_MEASURED_S), MAX_MEASURED_S)
    fleet.run(seconds)
    return _Rates(
        _mean(m.cpu_ns / 1e9 for m in others[:SAMPLED_MEMBERS]) / seconds,
        _mean(m.cpu_ns / 1e9 for m in delegates[:SAMPLED_MEMBERS]) / seconds,
        _mean(m.counts["sent"] for m in others) / seconds,
        _mean(m.counts["sent"] for m in delegates) / seconds,
        _mean(m.counts["remote"] for m in fleet.members) / seconds,
        _mean(m.counts["region"] for m in fleet.members) / seconds,
        _mean(m.counts["Ping"] for m in delegates) / seconds,
    )


def _mean(values: Iterable[float]) -> float:
    return statistics.fmean(values)
