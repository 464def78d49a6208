"""Resources of idle daemons and their reads from the platform."""

import statistics
import time

from ._fit import Slope
from ._testbed import Testbed, TestbedHost, Upstreams, cpu_seconds, resident_bytes

DATA_CENTRE_SIZES = (3, 6, 12, 24)
SETTLE_S = 4.0
MEASUREMENT_S = 5.0
RESTART_TIMEOUT_S = 30.0
AFTER_RESTART_S = 2.0
SAMPLE_INTERVAL_S = 0.1
UPSTREAMS = Upstreams(12)
BOTH_ROLES = ("entry", "owner")


def measure_daemons() -> list[Slope]:
    """Measure data centres of several sizes, idle and when all daemons restart."""
    points_by_name: dict[str, list[tuple[float, float]]] = {}
    for size in DATA_CENTRE_SIZES:
        for name, value in _measure_data_centre(size).items():
            points_by_name.setdefault(name, []).append((size, value))
    unit = "daemons of one data centre"
    return [
        Slope("daemon-idle-cpu", unit, "share of a core", points_by_name["cpu"]),
        Slope("daemon-idle-bytes", unit, "bytes sent/s", points_by_name["bytes"]),
        Slope("daemon-resident", unit, "bytes resident", points_by_name["resident"]),
        Slope(
            "platform-reads-steady",
            unit,
            "reads/s, a waiting watch counts as one",
            points_by_name["steady"],
        ),
        Slope(
            "platform-reads-restart",
            unit,
            "most reads in one second, a waiting watch counts as one",
            points_by_name["restart"],
        ),
        Slope(
            "platform-reads-restart-total",
            unit,
            "reads from the start of all until 2 s after all are ready",
            points_by_name["restart_total"],
        ),
    ]


def _measure_data_centre(size: int) -> dict[str, float]:
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
    restart = max(count_reads_per_second(samples))
    return values | {"restart": restart, "restart_total": total}


def _measure_idle(testbed: Testbed) -> dict[str, float]:
    pids = [testbed.daemon(host).pid for host in testbed.hosts]
    cpu_before = [cpu_seconds(pid) for pid in pids]
    bytes_before = [_sent_bytes(testbed, host) for host in testbed.hosts]
    started = time.monotonic()
    samples = _sample_counters(testbed, started + MEASUREMENT_S)
    bytes_after = [_sent_bytes(testbed, host) for host in testbed.hosts]
    elapsed_s = time.monotonic() - started
    cpu_after = [cpu_seconds(pid) for pid in pids]
    cpu_s = statistics.fmean(cpu_after) - statistics.fmean(cpu_before)
    sent = statistics.fmean(bytes_after) - statistics.fmean(bytes_before)
    return {
        "cpu": cpu_s / elapsed_s,
        "bytes": sent / elapsed_s,
        "resident": statistics.fmean(resident_bytes(pid) for pid in pids),
        "steady": statistics.fmean(count_reads_per_second(samples)),
    }


def _sent_bytes(testbed: Testbed, host: TestbedHost) -> float:
    totals = testbed.peer_bytes(host)
    return sum(v for (direction, _), v in totals.items() if direction == "sent")


def _sample_restart(testbed: Testbed) -> list[tuple[float, int, int]]:
    until = time.monotonic() + RESTART_TIMEOUT_S
    samples = _sample_counters(testbed, time.monotonic())
    while not testbed.is_ready() and time.monotonic() < until:
        samples += _sample_counters(testbed, time.monotonic())
    return samples + _sample_counters(testbed, time.monotonic() + AFTER_RESTART_S)


def _sample_counters(testbed: Testbed, until: float) -> list[tuple[float, int, int]]:
    """Sample the counters of the platform until the monotonic time ``until``.

    Returns at least one (time in s, reads so far, watches waiting).
    """
    samples = []
    while not samples or time.monotonic() < until:
        counters = testbed.platform_counters()
        reads = sum(counters["reads"].values())
        samples.append((time.monotonic(), reads, counters["waiting"]))
        time.sleep(SAMPLE_INTERVAL_S)
    return samples


def count_reads_per_second(samples: list[tuple[float, int, int]]) -> list[float]:
    """Return the reads of each window of 1 s plus the most watches waiting in it.

    ``samples`` are (time in s, reads so far, watches waiting). A window starts at each
    sample that has 1 s of samples after it.
    """
    result = []
    for index, (start, reads, _) in enumerate(samples):
        window = [sample for sample in samples[index:] if sample[0] - start <= 1.0]
        if samples[-1][0] - start < 1.0:
            break
        waiting = max(sample[2] for sample in window)
        result.append(window[-1][1] - reads + waiting)
    return result
