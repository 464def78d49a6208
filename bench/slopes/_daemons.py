"""Idle cost of real daemons and their reads at the platform."""

import statistics
import time

from ._fit import Slope
from ._testbed import Testbed, TestbedHost, Upstreams, cpu_seconds, resident_bytes

SIZES = (3, 6, 12, 24)
SETTLE_S = 4.0
MEASURED_S = 5.0
RESTART_LIMIT_S = 30.0
AFTER_RESTART_S = 2.0
SAMPLE_S = 0.1
UPSTREAMS = Upstreams(12)
BOTH_ROLES = ("entry", "owner")


def measure_daemons() -> list[Slope]:
    """Measure data centres of several sizes: idle, then restarted at once."""
    columns: dict[str, list[tuple[float, float]]] = {}
    for size in SIZES:
        for name, value in _measure(size).items():
            columns.setdefault(name, []).append((size, value))
    unit = "daemons of one data centre"
    return [
        Slope("daemon-idle-cpu", unit, "share of a core", columns["cpu"]),
        Slope("daemon-idle-bytes", unit, "bytes sent/s", columns["bytes"]),
        Slope("daemon-resident", unit, "bytes resident", columns["resident"]),
        Slope(
            "platform-reads-steady",
            unit,
            "reads/s, a waiting watch counts as one",
            columns["steady"],
        ),
        Slope(
            "platform-reads-restart",
            unit,
            "most reads in one second, a waiting watch counts as one",
            columns["restart"],
        ),
        Slope(
            "platform-reads-restart-total",
            unit,
            "reads from the start of all until 2 s after all are ready",
            columns["restart_total"],
        ),
    ]


def _measure(size: int) -> dict[str, float]:
    hosts = [
        TestbedHost(f"host-{number:02}", "dc1", BOTH_ROLES) for number in range(size)
    ]
    with Testbed(hosts, UPSTREAMS) as testbed:
        time.sleep(SETTLE_S)
        values = _measure_idle(testbed)
        testbed.stop_daemons()
        testbed.start_daemons()
        samples = _sample_restart(testbed)
    total = samples[-1][1] - samples[0][1]
    restart = max(count_per_second(samples))
    return values | {"restart": restart, "restart_total": total}


def _measure_idle(testbed: Testbed) -> dict[str, float]:
    pids = [testbed.daemon(host).pid for host in testbed.hosts]
    cpu_before = [cpu_seconds(pid) for pid in pids]
    bytes_before = [_sent(testbed, host) for host in testbed.hosts]
    started = time.monotonic()
    samples = _sample(testbed, started + MEASURED_S)
    bytes_after = [_sent(testbed, host) for host in testbed.hosts]
    elapsed_s = time.monotonic() - started
    cpu_after = [cpu_seconds(pid) for pid in pids]
    cpu_s = statistics.fmean(cpu_after) - statistics.fmean(cpu_before)
    sent = statistics.fmean(bytes_after) - statistics.fmean(bytes_before)
    return {
        "cpu": cpu_s / elapsed_s,
        "bytes": sent / elapsed_s,
        "resident": statistics.fmean(resident_bytes(pid) for pid in pids),
        "steady": statistics.fmean(count_per_second(samples)),
    }


def _sent(testbed: Testbed, host: TestbedHost) -> float:
    totals = testbed.peer_bytes(host)
    return sum(v for (direction, _), v in totals.items() if direction == "sent")


def _sample_restart(testbed: Testbed) -> list[tuple[float, int, int]]:
    until = time.monotonic() + RESTART_LIMIT_S
    samples = _sample(testbed, time.monotonic())
    while not testbed.is_ready() and time.monotonic() < until:
        samples += _sample(testbed, time.monotonic())
    return samples + _sample(testbed, time.monotonic() + AFTER_RESTART_S)


def _sample(testbed: Testbed, until: float) -> list[tuple[float, int, int]]:
    """Return (time, reads so far, watches waiting) at least once, until a time."""
    samples = []
    while not samples or time.monotonic() < until:
        counters = testbed.platform_counters()
        reads = sum(counters["reads"].values())
        samples.append((time.monotonic(), reads, counters["waiting"]))
        time.sleep(SAMPLE_S)
    return samples


def count_per_second(samples: list[tuple[float, int, int]]) -> list[float]:
    """Return reads begun in each window of 1 s plus the most watches waiting in it.

    ``samples`` are (time in s, reads so far, watches waiting now).
    """
    result = []
    for index, (start, reads, _) in enumerate(samples):
        window = [sample for sample in samples[index:] if sample[0] - start <= 1.0]
        if samples[-1][0] - start < 1.0:
            break
        waiting = max(sample[2] for sample in window)
        result.append(window[-1][1] - reads + waiting)
    return result
