"""Run of one scenario under one policy."""

import json
import random
import time
from pathlib import Path
from typing import Any, NamedTuple

from standins.check import find_violations, read_runs
from standins.load import Record, read_records

from ._actions import ACTIONS
from ._fleet import CPU_SATURATION_SHARE, BenchFleet, CpuSampler, FleetError
from ._measure import Evidence, summarize_run
from ._scenarios import Scenario, Stream
from ._sizing import list_workloads

# Another program may take a port between its choice and the bind of the process.
START_TRIES = 3
LOAD_GRACE_S = 20.0
# Time for reads that no caller waits for any more to end before the ledger is read.
SETTLE_S = 0.5
LEDGER_PAGE_ENTRIES = 20_000
CLIENT_LATENCY_S = 0.003
# If a process waits for a core for more than this share of the time, the shared machine
# adds latency that a fleet on separate machines would not have.
MAX_CPU_WAIT_SHARE = 0.05


class RunResult(NamedTuple):
    """Figures of one policy and the records that they summarize.

    ``started`` is the Unix time of the start of the load.
    """

    figures: dict[str, Any]
    records: list[Record]
    started: float


def run_policy(scenario: Scenario, policy: str, directory: Path) -> RunResult:
    """Run ``scenario`` under ``policy``; all files go to ``directory``.

    Raises FleetError when a process does not start or a load does not end in time.
    """
    directory.mkdir(parents=True, exist_ok=True)
    fleet = _start_fleet(scenario, policy, directory)
    sampler = CpuSampler(fleet)
    try:
        sampler.start()
        evidence = _run_load(fleet)
        sampler.stop()
    finally:
        statuses = fleet.stop()
    entries = {h: d["caller_address"] for h, d in fleet.deployment.daemons.items()}
    figures = {
        "scenario": scenario.name,
        "seed": scenario.seed,
        "deployment": scenario.deployment,
        "policy": policy,
        **summarize_run(evidence, scenario.phases, entries),
        "capacity_per_s": {
            w.route: round(w.capacity, 1)
            for w in list_workloads(scenario.deployment).values()
        },
        "notes": {k: v for k, v in evidence.notes.items() if k != "next_snapshot"},
        "actions": [
            [round(at - evidence.started, 2), name, _omit_long_arguments(arguments)]
            for at, name, arguments in evidence.actions
        ],
        **_summarize_cpu(sampler),
    }
    failed = {name: s for name, s in statuses.items() if name in fleet.hosts and s}
    figures["daemon_exit_statuses"] = failed
    _write_evidence(evidence, directory)
    return RunResult(figures, list(evidence.records), evidence.started)


def _start_fleet(scenario: Scenario, policy: str, directory: Path) -> BenchFleet:
    """Start all processes; retry with other ports when a process fails to start."""
    tries = 0
    while True:
        fleet = BenchFleet(scenario, policy, directory, random.Random())
        tries += 1
        try:
            fleet.start()
            return fleet
        except BaseException as error:
            fleet.stop()
            if not isinstance(error, FleetError) or tries == START_TRIES:
                raise


def build_load_settings(fleet: BenchFleet, caller: str, streams: list[Stream]) -> dict:
    """Return the settings of one load process."""
    return {
        "entries": fleet.deployment.entries,
        "kinds": {
            stream.name: {
                "route": stream.workload.route,
                "rate": stream.rate,
                "deadline_ms": stream.workload.deadline_ms,
                "rank": stream.workload.rank,
                "idempotent": stream.workload.idempotent,
                "parameters": stream.parameters,
                "start_s": stream.start_s,
                "end_s": stream.end_s,
            }
            for stream in streams
        },
        "duration_s": fleet.scenario.duration_s,
        "seed": fleet.scenario.seed,
        "caller": caller,
        "client_latency_s": CLIENT_LATENCY_S,
        "output": str(fleet.directory / f"records-{caller}.jsonl"),
    }


def _run_load(fleet: BenchFleet) -> Evidence:
    scenario = fleet.scenario
    for action in scenario.actions:
        if action.at_s <= 0:
            ACTIONS[action.name](fleet, **action.arguments)
    callers: dict[str, list[Stream]] = {}
    for stream in scenario.streams:
        callers.setdefault(stream.caller, []).append(stream)
    started = time.time()
    loads = [
        fleet.start_load(caller, build_load_settings(fleet, caller, streams))
        for caller, streams in callers.items()
    ]
    performed = _run_actions(fleet, started)
    _wait_for_load(loads, started + scenario.duration_s + LOAD_GRACE_S)
    time.sleep(SETTLE_S)
    records = []
    for caller in callers:
        records += read_records(fleet.directory / f"records-{caller}.jsonl")
    return _collect_evidence(fleet, started, records, performed)


def _run_actions(fleet: BenchFleet, started: float) -> list[tuple[float, str, dict]]:
    performed = []
    for action in fleet.scenario.actions:
        if action.at_s > 0:
            time.sleep(max(0.0, started + action.at_s - time.time()))
            at = time.time()
            ACTIONS[action.name](fleet, **action.arguments)
        else:
            at = started
        performed.append((at, action.name, action.arguments))
    return performed


def _wait_for_load(loads: list, until: float) -> None:
    for load in loads:
        while load.is_running and time.time() < until:
            time.sleep(0.05)
        if load.is_running:
            raise FleetError(
                f"{load.name} still runs {LOAD_GRACE_S:g} s after the scheduled end"
            )


def _collect_evidence(
    fleet: BenchFleet, started: float, records: list, performed: list
) -> Evidence:
    ledger = _read_ledger(fleet)
    connections = fleet.read("upstream", "/connections")
    documents = [document for _, document in fleet.versions]
    audits: dict[str, list[dict] | None] = dict.fromkeys(fleet.hosts)
    for host in fleet.hosts:
        if host in fleet.processes and fleet.processes[host].is_running:
            audits[host] = fleet.read_audit(host)
            metrics = fleet.read_metrics(host) or ""
            (fleet.directory / f"metrics-{host}.txt").write_text(metrics)
    fleet.notes["upstream_refusals"] = fleet.read("upstream", "/ledger/summary")[
        "refusals"
    ]
    fleet.notes["max_connections"] = max(c["max_seen"] for c in connections.values())
    streams = fleet.scenario.streams
    return Evidence(
        started=started,
        records=records,
        runs=read_runs(ledger),
        events=ledger["events"],
        violations=find_violations(records, ledger, connections, documents),
        audits=audits,
        patches=fleet.patches,
        actions=performed,
        deadlines={s.name: s.workload.deadline_ms / 1000 for s in streams},
        notes=fleet.notes,
    )


def _read_ledger(fleet: BenchFleet) -> dict:
    """Read the ledger in pages; events and total are those of the last page."""
    entries: list = []
    while True:
        path = f"/ledger?after={len(entries)}&limit={LEDGER_PAGE_ENTRIES}"
        page = fleet.read("upstream", path)
        entries += page["entries"]
        if len(entries) >= page["total"]:
            return page | {"entries": entries}


def _summarize_cpu(sampler: CpuSampler) -> dict[str, Any]:
    shares = {name: round(share, 2) for name, share in sampler.max_shares().items()}
    saturated = sorted(
        name for name, share in shares.items() if share > CPU_SATURATION_SHARE
    )
    waits = {name: _mean(shares) for name, shares in sampler.wait_shares.items()}
    max_wait = max(waits.values(), default=0.0)
    return {
        "cpu_max": shares,
        "cpu_saturated": saturated,
        "machine_busy_mean": _mean(sampler.busy_shares),
        "machine_own_mean": _mean(sampler.own_shares),
        "machine_busy_by_s": [round(share, 2) for share in sampler.busy_shares],
        "machine_busy_max": round(max(sampler.busy_shares, default=0.0), 2),
        "cpu_wait_mean": waits,
        "machine_limited": bool(saturated) or max_wait > MAX_CPU_WAIT_SHARE,
    }


def _mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 2) if values else 0.0


def _omit_long_arguments(arguments: dict) -> dict:
    return {k: v for k, v in arguments.items() if k not in ("values", "operations")}


def _write_evidence(evidence: Evidence, directory: Path) -> None:
    value = {
        "started": evidence.started,
        "runs": evidence.runs,
        "events": evidence.events,
        "violations": evidence.violations,
        "audits": evidence.audits,
        "patches": evidence.patches,
        "actions": evidence.actions,
    }
    (directory / "evidence.json").write_text(json.dumps(value))
