"""Tables and plots of the figures of a run."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from ._measure import ANSWERED_OUTCOMES, RANKS, quantile
from ._run import RunResult
from ._targets import TargetResult

COLUMNS = (
    ("offered", "offered"),
    ("completed", "complete"),
    ("partial", "partial"),
    ("refused_not_run", "refused"),
    ("unknown", "unknown"),
    ("p50_ms", "p50 ms"),
    ("p99_ms", "p99 ms"),
    ("coverage_mean", "coverage"),
    ("within_deadline", "in time"),
)
BUCKET_S = 1.0


def format_result(figures: Mapping[str, Any]) -> str:
    """Return the figures of one policy as a table and lines of text."""
    lines = [
        f"{figures['scenario']}, seed {figures['seed']}, {figures['deployment']}, "
        f"policy {figures['policy']}"
    ]
    capacity = figures["capacity_per_s"].items()
    lines.append("capacity/s: " + ", ".join(f"{k} {v:g}" for k, v in capacity))
    lines.append(_format_row("", [title for _, title in COLUMNS]))
    for phase in ("", "steady", "flood"):
        phase_figures = figures if not phase else figures.get(phase)
        if phase_figures is None:
            continue
        for group in ("ranks", "routes"):
            for name, values in phase_figures[group].items():
                if values is not None:
                    cells = [_format_cell(values[key]) for key, _ in COLUMNS]
                    lines.append(_format_row(f"{phase} {name}".strip(), cells))
    for name in ("extra_load", "upstreams_crashed", "config_in_force_s"):
        lines.append(f"{name}: {_format_cell(figures[name])}")
    violations = figures["violations"].items()
    text = ", ".join(f"{name} {_format_cell(value)}" for name, value in violations)
    lines.append(f"violations: {text}")
    lines.append(_format_cpu(figures))
    return "\n".join(lines)


def format_target_results(results: Sequence[TargetResult]) -> str:
    """Return one line per target of the current policy."""
    outcomes = {True: "met", False: "missed", None: "not measured"}
    return "\n".join(
        f"target {r.target}: {r.measured} - {outcomes[r.met]}" for r in results
    )


def _format_cpu(figures: Mapping[str, Any]) -> str:
    name, share = max(figures["cpu_max"].items(), key=lambda item: item[1])
    line = f"cpu: at most {share:.2f} of a core ({name})"
    line += f", machine busy {figures['machine_busy_mean']:.2f} on average"
    line += f" ({figures['machine_own_mean']:.2f} by this run)"
    if figures["machine_limited"]:
        wait = max(figures["cpu_wait_mean"].values(), default=0.0)
        saturated = ", ".join(figures["cpu_saturated"]) or "none"
        line += (
            "\nTHE MACHINE, NOT THE FLEET, LIMITED THIS RUN: processes waited for a "
            f"core up to {wait:.2f} of the time, saturated: {saturated}"
        )
    return line


def _format_row(title: str, cells: Sequence[str]) -> str:
    return f"{title:20}" + "".join(f"{cell:>10}" for cell in cells)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)


def write_plot(results: Mapping[str, RunResult], path: Path) -> None:
    """Write a plot of p99 latency and throughput over time to ``path``.

    It has one column per rank and one line per policy.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        2, len(RANKS), figsize=(14, 7), sharex=True, constrained_layout=True
    )
    for policy, result in results.items():
        for column, rank in enumerate(RANKS):
            seconds, p99, throughput = build_time_series(result, rank)
            axes[0][column].plot(seconds, p99, label=policy)
            axes[1][column].plot(seconds, throughput, label=policy)
            axes[0][column].set_title(rank)
            axes[1][column].set_xlabel("time of arrival in s")
    axes[0][0].set_ylabel("p99 in ms")
    axes[1][0].set_ylabel("completed per s")
    axes[0][0].legend()
    figure.savefig(path)
    pyplot.close(figure)


def build_time_series(
    result: RunResult, rank: str
) -> tuple[list[float], list[float], list[float]]:
    """Return times in s, p99 latencies in ms and completed requests/s.

    There is one value per ``BUCKET_S`` of scheduled arrivals with requests of ``rank``;
    a p99 is NaN if none of them was answered.
    """
    buckets: dict[int, list] = {}
    for record in result.records:
        if record.rank == rank:
            bucket = int((record.sent_unix - result.started) / BUCKET_S)
            buckets.setdefault(bucket, []).append(record)
    seconds, p99, throughput = [], [], []
    for bucket in sorted(buckets):
        group = buckets[bucket]
        latencies = [r.latency_s for r in group if r.outcome in ANSWERED_OUTCOMES]
        latency_s = quantile(latencies, 0.99)
        seconds.append(bucket * BUCKET_S)
        p99.append(float("nan") if latency_s is None else latency_s * 1000)
        completed = sum(r.outcome == "complete" for r in group)
        throughput.append(completed / BUCKET_S)
    return seconds, p99, throughput
