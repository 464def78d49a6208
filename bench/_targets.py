"""Checks of the figures of a run against the targets of docs/design.md, section 1.3."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ._sizing import Workload

MAX_STRAGGLER_P99_RATIO = 0.5
MAX_EXTRA_LOAD = 0.05
MAX_FLOOD_P99_RATIO = 1.5
MIN_FLOOD_BATCH_SHARE = 0.95
MIN_FLOOD_COMPLETED_SHARE = 0.90
MIN_BATCH_SHARE = 0.10
MIN_REPORT_SHARE = 0.05
MAX_IN_FORCE_S = 1.0
MAX_HOST_START_S = 2.0
MAX_CRASHED_UPSTREAMS = 2


class TargetResult(NamedTuple):
    """One target with the measured value; ``met`` is None if it was not measured."""

    target: str
    measured: str
    met: bool | None


Figures = Mapping[str, Any]


def check_targets(
    scenario: str,
    current: Figures,
    baseline: Figures | None,
    workloads: Mapping[str, Workload],
) -> list[TargetResult]:
    """Return whether the figures of the current policy meet the targets of a scenario.

    ``workloads`` holds the workloads of the deployment by label.
    """
    results = [_check_violations(current["violations"])]
    if scenario in _CHECKS:
        results += _CHECKS[scenario](current, baseline, workloads)
    return results


def _check_violations(violations: Mapping[str, int | None]) -> TargetResult:
    found = {name: count for name, count in violations.items() if count}
    text = ", ".join(f"{name} {count}" for name, count in found.items()) or "0"
    return TargetResult("violations: 0", text, not found)


def _at_most(target: str, value: float | None, limit: float) -> TargetResult:
    if value is None:
        return TargetResult(target, "not measured", None)
    return TargetResult(target, f"{value:.3g}", value <= limit)


def _at_least(target: str, value: float | None, limit: float) -> TargetResult:
    if value is None:
        return TargetResult(target, "not measured", None)
    return TargetResult(target, f"{value:.3g}", value >= limit)


def _ratio(value: float | None, base: float | None) -> float | None:
    return None if value is None or not base else value / base


def _route_figure(figures: Figures | None, route: str, name: str) -> float | None:
    route_figures = ((figures or {}).get("routes") or {}).get(route)
    return None if route_figures is None else route_figures[name]


def _check_straggler(current, baseline, workloads) -> list[TargetResult]:
    route = workloads["lookup"].route
    ratio = _ratio(
        _route_figure(current, route, "p99_ms"),
        _route_figure(baseline, route, "p99_ms"),
    )
    return [
        _at_most(
            "p99 of lookups at most 0.5 of the baseline's",
            ratio,
            MAX_STRAGGLER_P99_RATIO,
        ),
        _at_most("extra load at most 0.05", current["extra_load"], MAX_EXTRA_LOAD),
    ]


def _check_flood_reports(current, baseline, workloads) -> list[TargetResult]:
    lookup, batch = workloads["lookup"].route, workloads["batch"].route
    ratio = _ratio(
        _route_figure(current["flood"], lookup, "p99_ms"),
        _route_figure(current["steady"], lookup, "p99_ms"),
    )
    share = _ratio(
        _route_figure(current["flood"], batch, "completed"),
        _route_figure(current["flood"], batch, "offered"),
    )
    return [
        _at_most("p99 of lookups at most 1.5 of steady", ratio, MAX_FLOOD_P99_RATIO),
        _at_least("batch reads completed at least 0.95", share, MIN_FLOOD_BATCH_SHARE),
    ]


def _check_flood_lookups(current, baseline, workloads) -> list[TargetResult]:
    def completed_rate(label: str) -> float | None:
        return _route_figure(
            current["flood"], workloads[label].route, "completed_per_s"
        )

    rates = [completed_rate("lookup"), completed_rate("batch")]
    completed_per_s = sum(value or 0.0 for value in rates)
    return [
        _at_least(
            "completed lookups and batch reads at least 0.9 of capacity",
            completed_per_s / workloads["lookup"].capacity,
            MIN_FLOOD_COMPLETED_SHARE,
        ),
        _at_least(
            "batch reads keep at least 0.1 of capacity",
            _ratio(completed_rate("batch"), workloads["batch"].capacity),
            MIN_BATCH_SHARE,
        ),
        _at_least(
            "reports keep at least 0.05 of capacity",
            _ratio(completed_rate("report"), workloads["report"].capacity),
            MIN_REPORT_SHARE,
        ),
    ]


def _check_in_force(current, baseline, workloads) -> list[TargetResult]:
    result = _at_most(
        "in force on every reachable host within 1 s",
        current["config_in_force_s"],
        MAX_IN_FORCE_S,
    )
    if current.get("config_never_in_force"):
        missing = current["config_never_in_force"]
        result = result._replace(measured=f"never on {missing} hosts", met=False)
    return [result]


def _check_outage(current, baseline, workloads) -> list[TargetResult]:
    lost = sum((r or {}).get("unknown", 0) for r in current["ranks"].values())
    start_s = current["notes"].get("new_host_serves_s")
    return [
        _at_most("no answer is lost", lost, 0),
        _at_most("a new host serves within 2 s", start_s, MAX_HOST_START_S),
    ]


def _check_drain(current, baseline, workloads) -> list[TargetResult]:
    status = current["notes"].get("exit_status")
    met = None if status is None else status == 0
    return [TargetResult("the daemon ends with status 0", str(status), met)]


def _check_poison(current, baseline, workloads) -> list[TargetResult]:
    worst = max(current["crashed_by_request"].values(), default=None)
    return [
        _at_most("at most 2 upstreams lost per request", worst, MAX_CRASHED_UPSTREAMS)
    ]


def _check_host_loss(current, baseline, workloads) -> list[TargetResult]:
    failed = current.get("failed_elsewhere")
    return [_at_most("no request of other hosts fails", failed, 0)]


_CHECKS: dict[str, Callable[..., list[TargetResult]]] = {
    "straggler": _check_straggler,
    "flood-reports": _check_flood_reports,
    "flood-lookups": _check_flood_lookups,
    "config-roll": _check_in_force,
    "config-outage": _check_outage,
    "drain": _check_drain,
    "poison": _check_poison,
    "host-loss": _check_host_loss,
}
