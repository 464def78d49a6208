"""Service times of upstreams, the resulting capacity and the steady load.

The whole fleet runs on one machine. Service times are so long that the slots of the
upstreams limit the fleet, not the CPU of the machine.
"""

from typing import NamedTuple

from standins.deployment import PLANS, Plan, ServiceClass

READ_SERVICE_S = 0.040
RUN_SERVICE_S = 0.040
REPORT_SERVICE_S = 0.400
# Shorter than the 30 s of deployments, so that a run of both policies ends in two
# minutes.
REPORT_DEADLINE_MS = 10_000
# Share of its capacity that each route uses in the steady load. Lookups and batch reads
# share the slots of the first index and together use 55% of them.
LOOKUP_SHARE = 0.40
BATCH_SHARE = 0.15
REPORT_SHARE = 0.50
RUNS_PER_S = 10.0


class Workload(NamedTuple):
    """One route with its capacity and its steady load, both in queries/s.

    ``capacity`` is that of the route without other load, ``rate`` the steady load.
    ``label`` is lookup, batch, run or report.
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
    """Return the reads/s that the replicas of one service can complete."""
    slots = service_class.replicas * service_class.slots
    return slots / service_time(plan, service_class.index)


def list_workloads(deployment: str) -> dict[str, Workload]:
    """Return the workloads of a deployment by label."""
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
    """Return the queries/s; a query reads all shards, a run uses one service."""
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
