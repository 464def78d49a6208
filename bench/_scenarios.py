"""Scenarios: load and timed actions, chosen at random from a seed."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.deployment import (
    DATA_CENTRES,
    HOST_DATA_CENTRES,
    PLANS,
    build_deployment,
)

from ._sizing import Workload, list_workloads

WARM_UP_S = 4.0
DURATION_S = 24.0
FLOOD_STEADY_END_S = 13.0
# The first second of a flood is not measured: queues and admission windows still adapt.
FLOOD_START_S = 14.0
FLOOD_END_S = 25.0
STEADY_CALLER = "c"
FLOOD_CALLER = "f"
POISON_CALLER = "p"
# Longer than the 0.5 s that the load balancer takes to notice a draining host.
LINGER_S = 2.0


class Stream(NamedTuple):
    """Requests of one route with ``rate`` arrivals per second on average.

    ``start_s`` and ``end_s`` are seconds since the start of the run; an ``end_s`` of
    None stands for its end. Each ``caller`` is a separate process.
    """

    caller: str
    name: str
    workload: Workload
    rate: float
    start_s: float = 0.0
    end_s: float | None = None
    parameters: dict[str, Any] = {}


class Action(NamedTuple):
    """One step of a scenario, ``at_s`` seconds after the start of the run.

    ``name`` is a key of ``_actions.ACTIONS``.
    """

    at_s: float
    name: str
    arguments: dict[str, Any] = {}


class Phase(NamedTuple):
    """A part of the run, in seconds since its start, with figures of its own."""

    name: str
    start_s: float
    end_s: float


class Scenario(NamedTuple):
    """Load, actions and measured phases of one run.

    ``absent`` hosts do not start with the others and are not on the host list.
    """

    name: str
    deployment: str
    seed: int
    duration_s: float
    streams: tuple[Stream, ...]
    actions: tuple[Action, ...] = ()
    phases: tuple[Phase, ...] = ()
    absent: tuple[str, ...] = ()


class ScenarioContext:
    """Deployment, random generator and workloads from which a scenario is built.

    The same name, deployment and seed give the same choices.
    """

    def __init__(self, name: str, deployment: str, seed: int):
        self.name = name
        self.deployment = deployment
        self.seed = seed
        self.rng = random.Random(f"{name}/{deployment}/{seed}")
        self.workloads = list_workloads(deployment)
        document = build_deployment(deployment, 0).document
        self.services = sorted(document["services"])
        self.replicas_of = {
            name: sorted(service["replicas"])
            for name, service in document["services"].items()
        }
        self.policy = document["policy"]

    def choose_host(self) -> str:
        """Return the id of a random host."""
        return f"{self.deployment}-{1 + self.rng.randrange(len(HOST_DATA_CENTRES))}"

    def choose_read_service(self) -> str:
        """Return a random service of the index that lookups read."""
        index = PLANS[self.deployment].classes[0].index
        return self.rng.choice([s for s in self.services if s.startswith(index)])

    def choose_time(self, low: float, high: float) -> float:
        """Return a random time in seconds since the start of the run."""
        return round(self.rng.uniform(low, high), 2)


class FaultPlan(NamedTuple):
    """Actions and streams that one fault adds to the steady load."""

    actions: tuple[Action, ...] = ()
    streams: tuple[Stream, ...] = ()


def build_steady_streams(workloads: dict[str, Workload]) -> tuple[Stream, ...]:
    """Return the steady mix of lookups, batch reads, runs and reports."""
    return tuple(
        Stream(STEADY_CALLER, label, item, item.rate)
        for label, item in workloads.items()
    )


def plan_stragglers(context: ScenarioContext) -> FaultPlan:
    """Make 1 read in 100 take 20 times as long, on all upstreams of reads."""
    change = {"straggler_fraction": 0.01, "straggler_factor": 20.0}
    return FaultPlan((Action(0.0, "set_read_upstreams", {"values": change}),))


def plan_patches(context: ScenarioContext) -> FaultPlan:
    """Submit six patches that are accepted, each followed by one that is refused."""
    actions = []
    for number in range(6):
        at_s = context.choose_time(5 + 3 * number, 6.5 + 3 * number)
        value = round(context.rng.uniform(0.90, 0.98), 3)
        operation = {"op": "replace", "path": "/policy/hedge_quantile", "value": value}
        arguments = {"patch_id": f"accepted-{number}", "operations": [operation]}
        actions.append(Action(at_s, "patch", arguments))
        refused = {"patch_id": f"refused-{number}", "operations": [operation]}
        if context.rng.random() < 0.5:
            refused["against_offset"] = context.rng.choice([-1, 1, 5])
        else:
            refused["operations"] = [operation | {"value": 7}]
        actions.append(Action(round(at_s + 1.2, 2), "patch", refused))
    return FaultPlan(tuple(actions))


def plan_platform_outage(context: ScenarioContext) -> FaultPlan:
    """Take the platform down for a while."""
    start_s = context.choose_time(5, 6)
    return FaultPlan(
        (
            Action(start_s, "platform_mode", {"mode": "refuse"}),
            Action(start_s + 13, "platform_mode", {"mode": "up"}),
        )
    )


def plan_upstream_drain(context: ScenarioContext) -> FaultPlan:
    """Drain one replica; it refuses work 5 s later."""
    replica = context.rng.choice(context.replicas_of[context.choose_read_service()])
    return FaultPlan(
        (Action(context.choose_time(5, 7), "drain_upstream", {"upstream": replica}),)
    )


def plan_daemon_stop(context: ScenarioContext) -> FaultPlan:
    """End a daemon with SIGTERM."""
    return FaultPlan(
        (
            Action(
                context.choose_time(10, 12),
                "terminate",
                {"host": context.choose_host()},
            ),
        )
    )


def plan_partition(context: ScenarioContext) -> FaultPlan:
    """Cut a data centre off from the others and the platform; patch meanwhile."""
    data_centre = context.rng.choice(DATA_CENTRES)
    start_s = context.choose_time(7, 8)
    operation = {"op": "replace", "path": "/policy/hedge_quantile", "value": 0.94}
    patch = {"patch_id": "during-partition", "operations": [operation]}
    return FaultPlan(
        (
            Action(start_s, "cut", {"data_centre": data_centre}),
            Action(start_s + 4, "patch", patch),
            Action(start_s + 9, "heal"),
        )
    )


def plan_poison_requests(context: ScenarioContext) -> FaultPlan:
    """Repeat two lookups and a batch read that crash each upstream that runs them.

    Every repetition has a new id and an entry that the load process chooses.
    """
    streams = []
    for number, label in enumerate(("lookup", "lookup", "batch")):
        name = f"poison{number}"
        key = f"{name}-{context.rng.randrange(10**6)}"
        parameters = {"key": key, "echo": key, "poison": 1}
        start_s = context.choose_time(5 + 3 * number, 6 + 3 * number)
        workload = context.workloads[label]
        stream = Stream(POISON_CALLER, name, workload, 3.0, start_s, 20.0, parameters)
        streams.append(stream)
    return FaultPlan(streams=tuple(streams))


def plan_repartition(context: ScenarioContext) -> FaultPlan:
    """Publish a snapshot with another shard map and remove the old one from upstreams.

    The old one is removed right after the publication, while earlier queries still run
    and some hosts may not have the new version.
    """
    start_s = context.choose_time(8, 9)
    return FaultPlan(
        (
            Action(
                start_s, "hold_next_snapshot", {"rotation": context.rng.randint(1, 7)}
            ),
            Action(start_s + 1, "publish_next_snapshot"),
            Action(start_s + 1, "drop_old_snapshot"),
            Action(start_s + 4, "remove_old_snapshot"),
        )
    )


def plan_daemon_pauses(context: ScenarioContext) -> FaultPlan:
    """Pause two daemons, one of them longer than the failure detector's timeout."""
    actions = []
    for start_s, length_s in ((6.0, 4.5), (15.0, 1.3)):
        host = context.choose_host()
        at_s = round(start_s + context.rng.random(), 2)
        actions.append(Action(at_s, "pause", {"host": host}))
        actions.append(Action(round(at_s + length_s, 2), "resume", {"host": host}))
    return FaultPlan(tuple(actions))


def plan_host_loss(context: ScenarioContext) -> FaultPlan:
    """End a daemon with SIGKILL."""
    return FaultPlan(
        (Action(context.choose_time(8, 10), "kill", {"host": context.choose_host()}),)
    )


FAULT_PLANNERS: dict[str, Callable[[ScenarioContext], FaultPlan]] = {
    "straggler": plan_stragglers,
    "config-roll": plan_patches,
    "platform-outage": plan_platform_outage,
    "upstream-drain": plan_upstream_drain,
    "daemon-stop": plan_daemon_stop,
    "partition": plan_partition,
    "poison": plan_poison_requests,
    "repartition": plan_repartition,
    "pause": plan_daemon_pauses,
    "host-loss": plan_host_loss,
}
FAULTS_BY_SCENARIO = {
    "steady": (),
    "straggler": ("straggler",),
    "config-roll": ("config-roll",),
    "drain": ("upstream-drain", "daemon-stop"),
    "partition": ("partition",),
    "poison": ("poison",),
    "repartition": ("repartition",),
    "pause": ("pause",),
    "host-loss": ("host-loss",),
}
# Faults of one group do not happen in one run: patches need the platform, and two
# faults that end or pause a daemon could choose the same one.
EXCLUSIVE_FAULTS = (
    {"config-roll", "platform-outage", "partition", "repartition"},
    {"daemon-stop", "pause", "host-loss"},
)
# Label of the flooded workload, and its total load during the flood as a multiple of
# its capacity.
FLOODS = {"flood-reports": ("report", 10.0), "flood-lookups": ("lookup", 5.0)}
SCENARIO_NAMES = (
    "steady",
    "straggler",
    "flood-reports",
    "flood-lookups",
    "config-roll",
    "config-outage",
    "drain",
    "partition",
    "poison",
    "repartition",
    "pause",
    "host-loss",
    "combined",
)


def build_scenario(name: str, deployment: str, seed: int) -> Scenario:
    """Return a scenario; raises KeyError for an unknown name."""
    context = ScenarioContext(name, deployment, seed)
    if name in FLOODS:
        return _build_flood(context)
    if name == "config-outage":
        return _build_outage(context)
    faults = (
        draw_faults(context.rng) if name == "combined" else FAULTS_BY_SCENARIO[name]
    )
    return _assemble_scenario(
        context, [FAULT_PLANNERS[fault](context) for fault in faults]
    )


def draw_faults(rng: random.Random) -> tuple[str, ...]:
    """Return two or three random faults that can happen in one run."""
    wanted_count = rng.choice((2, 3))
    candidates = sorted(FAULT_PLANNERS)
    rng.shuffle(candidates)
    chosen: list[str] = []
    for fault in candidates:
        is_excluded = any(
            fault in group and group & set(chosen) for group in EXCLUSIVE_FAULTS
        )
        if not is_excluded and len(chosen) < wanted_count:
            chosen.append(fault)
    return tuple(chosen)


def _assemble_scenario(context: ScenarioContext, plans: list[FaultPlan]) -> Scenario:
    streams = list(build_steady_streams(context.workloads))
    actions: list[Action] = []
    for plan in plans:
        streams += plan.streams
        actions += plan.actions
    actions.sort(key=lambda action: action.at_s)
    return Scenario(
        context.name,
        context.deployment,
        context.seed,
        DURATION_S,
        tuple(streams),
        tuple(actions),
        (Phase("all", WARM_UP_S, DURATION_S),),
    )


def _build_flood(context: ScenarioContext) -> Scenario:
    label, factor = FLOODS[context.name]
    workload = context.workloads[label]
    flood = Stream(
        FLOOD_CALLER,
        f"flood-{label}",
        workload,
        workload.capacity * factor - workload.rate,
        FLOOD_STEADY_END_S,
        FLOOD_END_S,
    )
    phases = (
        Phase("all", WARM_UP_S, FLOOD_END_S),
        Phase("steady", WARM_UP_S, FLOOD_STEADY_END_S),
        Phase("flood", FLOOD_START_S, FLOOD_END_S),
    )
    scenario = _assemble_scenario(context, [FaultPlan(streams=(flood,))])
    return scenario._replace(duration_s=FLOOD_END_S, phases=phases)


def _build_outage(context: ScenarioContext) -> Scenario:
    """Interrupt the platform and then start a host that is not on the host list.

    Half of the seeds submit a patch before, since peers send the first document, with
    sequence 0, in another way than a later one.
    """
    plan = plan_platform_outage(context)
    host = context.choose_host()
    start = Action(plan.actions[0].at_s + 4, "start_host", {"host": host})
    plans = [plan, FaultPlan((start,))]
    if context.rng.random() < 0.5:
        operation = {"op": "replace", "path": "/policy/hedge_quantile", "value": 0.94}
        arguments = {"patch_id": "before-outage", "operations": [operation]}
        plans.append(FaultPlan((Action(3.0, "patch", arguments),)))
    scenario = _assemble_scenario(context, plans)
    return scenario._replace(absent=(host,))
