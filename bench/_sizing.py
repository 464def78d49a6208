"""Service times, the capacity that follows from them, and the steady load.

One machine plays the whole fleet, so the service times are chosen such that the slots
of the upstreams, not the CPU of the machine, limit the fleet.
"""

from typing import NamedTuple

from standins.deployment import PLANS, Plan, ServiceClass

READ_SERVICE_S = 0.040
RUN_SERVICE_S = 0.040
REPORT_SERVICE_S = 0.400
# Reports may wait for 30 s, but a run of two minutes for two policies cannot.
REPORT_DEADLINE_MS = 10_000
# Shares of the capacity that the steady load uses. Lookups and batch reads share the
# slots of the first index, so together they use 55% of it.
LOOKUP_SHARE = 0.40
BATCH_SHARE = 0.15
REPORT_SHARE = 0.50
RUNS_PER_S = 10.0


class Workload(NamedTuple):
    """One route with its size; ``capacity`` is in queries/s if it runs alone.

    ``rate`` is the steady load in queries/s. ``label`` is lookup, batch, run or report.
    """

    label: str
    route: str
    rank: str
    idempotent: bool
    deadline_ms: int
    capacity: float
    rate: float


def service_time(plan: Plan, index: str) -> float:
    """Return the mean service time in seconds of the upstreams of ``index``."""
    for indexes, operation, rank, _ in plan.routes.values():
        if index in indexes and operation == "run":
            return RUN_SERVICE_S
        if index in indexes and rank == "report":
            return REPORT_SERVICE_S
    return READ_SERVICE_S


def service_capacity(plan: Plan, service_class: ServiceClass) -> float:
    """Return how many reads/s the replicas of one service complete."""
    slots = service_class.replicas * service_class.slots
    return slots / service_time(plan, service_class.index)


def list_workloads(deployment: str) -> dict[str, Workload]:
    """Return the work of a deployment by label."""
    plan = PLANS[deployment]
    classes = {item.index: item for item in plan.classes}
    result = {}
    for route, (indexes, operation, rank, deadline_ms) in plan.routes.items():
        used = [classes[index] for index in indexes]
        capacity = min(_query_capacity(plan, item, operation) for item in used)
        label = _workload_label(operation, rank)
        if label == "report":
            deadline_ms = min(deadline_ms, REPORT_DEADLINE_MS)
        rate = _steady_rate(label, capacity)
        is_read = operation == "read"
        result[label] = Workload(
            label, route, rank, is_read, deadline_ms, capacity, rate
        )
    return result


def _query_capacity(plan: Plan, item: ServiceClass, operation: str) -> float:
    """Return the queries/s: a read takes every shard, a run one shard of one."""
    if operation == "run":
        return service_capacity(plan, item) * item.services
    return service_capacity(plan, item) / item.shards


def _workload_label(operation: str, rank: str) -> str:
    if operation == "run":
        return "run"
    return {"interactive": "lookup", "batch": "batch", "report": "report"}[rank]


def _steady_rate(label: str, capacity: float) -> float:
    shares = {"lookup": LOOKUP_SHARE, "batch": BATCH_SHARE, "report": REPORT_SHARE}
    return RUNS_PER_S if label == "run" else capacity * shares[label]
