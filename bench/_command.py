"""Command line that runs one scenario under both policies."""

import json
import sys
import tempfile
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from standins.deployment import PLANS

from ._fleet import FleetError
from ._report import format_result, format_target_results, write_plot
from ._run import RunResult, run_policy
from ._scenarios import SCENARIO_NAMES, build_scenario
from ._sizing import list_workloads
from ._targets import check_targets

POLICIES = ("baseline", "current")
EXIT_FAILED = 1

ScenarioName = StrEnum("ScenarioName", {name: name for name in SCENARIO_NAMES})
DeploymentName = StrEnum("DeploymentName", {name: name for name in PLANS})


def run(
    scenario: Annotated[ScenarioName, typer.Argument(help="Scenario to run.")],
    seed: Annotated[
        int,
        typer.Option(help="Seed of the load, the faults and the hosts that they hit."),
    ] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per policy.")
    ] = False,
    deployment: Annotated[
        DeploymentName, typer.Option(help="Deployment to run.")
    ] = DeploymentName.semenanjung,
    plot: Annotated[
        Path | None,
        typer.Option(
            help="Write a plot of p99 latency and throughput over time to this file."
        ),
    ] = None,
    keep: Annotated[
        Path | None,
        typer.Option(
            help="Keep the files of the run, such as logs and the records, here."
        ),
    ] = None,
) -> None:
    """Run a scenario with real processes, first under the baseline policy.

    Ends with exit status 1 when a process does not start or does not end in time.
    """
    built_scenario = build_scenario(str(scenario), str(deployment), seed)
    results: dict[str, RunResult] = {}
    with tempfile.TemporaryDirectory() as temporary:
        for policy in POLICIES:
            directory = (keep or Path(temporary)) / policy
            try:
                results[policy] = run_policy(built_scenario, policy, directory)
            except FleetError as error:
                print(f"bench: {policy}: {error}", file=sys.stderr)
                raise typer.Exit(EXIT_FAILED) from error
            figures = results[policy].figures
            if as_json:
                print(json.dumps(figures), flush=True)
            else:
                print(format_result(figures) + "\n", flush=True)
    if not as_json:
        current, baseline = results["current"].figures, results["baseline"].figures
        workloads = list_workloads(str(deployment))
        print(
            format_target_results(
                check_targets(str(scenario), current, baseline, workloads)
            )
        )
    if plot is not None:
        write_plot(results, plot)


def main() -> None:
    """Run the command line."""
    typer.run(run)
