"""Capacity page: figures at the expected size in two years, computed from slopes."""

import json
import math
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from cicadalever.membership._members import MAX_MEMBERS
from cicadalever.membership._ownership import candidate_count, connection_quota
from cicadalever.topology import Replica

from ._fit import Fit, Points

TEMPLATE_PATH = Path(__file__).with_name("capacity.md")
DAY_S = 86_400
# Load of a core for which capacity is planned, as a share.
UTILIZATION = 0.7
DATA_CENTRES_PER_REGION = (4, 4, 3)


class FleetSize(NamedTuple):
    """Expected size in two years, from docs/design.md, section 1.4.

    ``latency_ms`` is the latency target of a query.
    """

    nodes: int = 570
    replicas: int = 3200
    data_centres: int = 11
    regions: int = 3
    queries_per_s: float = 130_000
    shards_per_query: int = 190
    changes_per_day: float = 330
    losses_per_day: float = 6
    restarts_per_day: float = 1200
    latency_ms: float = 73


class SavedSlope(NamedTuple):
    """A slope read from the JSON output of the measurements."""

    fit: Fit
    points: Points

    def value_at(self, x: float) -> float:
        """Return the measured value at ``x``; raises KeyError if there is none."""
        return dict(self.points)[x]


def read_slopes(lines: Iterable[str]) -> dict[str, SavedSlope]:
    """Return the slopes in the output of ``python -m bench.slopes --json``."""
    result = {}
    for line in lines:
        value = json.loads(line)
        fields = ("slope", "intercept", "residual", "residual_relative")
        fit = Fit(*(value[field] for field in fields))
        points = [(x, y) for x, y in value["points"]]
        result[value["name"]] = SavedSlope(fit, points)
    return result


def render_page(slopes: Mapping[str, SavedSlope], template: str) -> str:
    """Fill in the template of the page; its fields are keys of ``compute_figures``."""
    return template.format_map(compute_figures(slopes, FleetSize()))


def compute_figures(
    slopes: Mapping[str, SavedSlope], size: FleetSize
) -> dict[str, float]:
    """Return all figures of the page by name."""
    figures = _compute_load(size)
    for part in (_compute_query_path, _compute_control, _compute_memory):
        figures |= part(slopes, size, figures)
    for part in (_compute_platform_reads, _compute_failures, _compute_latency):
        figures |= part(slopes, size, figures)
    for name, measured in slopes.items():
        key = name.replace("-", "_")
        figures[f"{key}__slope"] = measured.fit.slope
        figures[f"{key}__intercept"] = measured.fit.intercept
        figures[f"{key}__residual"] = 100 * measured.fit.relative_residual
    return figures


def _compute_load(size: FleetSize) -> dict[str, float]:
    reads_per_s = size.queries_per_s * size.shards_per_query
    own_share = 1 / size.nodes
    return {
        **size._asdict(),
        "node_queries": size.queries_per_s / size.nodes,
        "fleet_reads_m": reads_per_s / 1e6,
        "node_reads": reads_per_s / size.nodes,
        "replica_reads": reads_per_s / size.replicas,
        "node_owner_reads": reads_per_s / size.nodes**2,
        "owners_per_query": size.nodes * (1 - (1 - own_share) ** size.shards_per_query),
        "hosts_per_centre": size.nodes / size.data_centres,
        "replicas_per_node": size.replicas / size.nodes,
        "max_members": MAX_MEMBERS,
    }


def _compute_query_path(slopes, size: FleetSize, figures) -> dict[str, float]:
    entry = slopes["entry-query"].fit
    owner = slopes["owner-read"].fit
    queue = slopes["owner-queue"].fit
    sent = slopes["entry-bytes-sent"].fit.at(size.shards_per_query)
    received = slopes["entry-bytes-received"].fit.at(size.shards_per_query)
    entry_s = entry.at(size.shards_per_query)
    entry_cores = entry_s * figures["node_queries"]
    owner_cores = owner.slope * figures["node_reads"]
    cores = entry_cores + owner_cores
    node_bytes = (sent + received) * figures["node_queries"]
    read_s = owner.slope + entry_s / size.shards_per_query
    near, region = _compute_read_locality()
    return {
        "entry_query_ms": 1000 * entry_s,
        "entry_shard_us": 1e6 * entry.slope,
        "entry_base_ms": 1000 * entry.intercept,
        "entry_cores": entry_cores,
        "owner_read_us": 1e6 * owner.slope,
        "owner_tens_us": 1e6 * slopes["owner-read-in-tens"].fit.slope,
        "owner_cores": owner_cores,
        "queue_us": 1e6 * queue.slope,
        "queue_cores": queue.slope * figures["node_reads"],
        "cores": cores,
        "daemons": cores / UTILIZATION,
        "fleet_daemons": cores / UTILIZATION * size.nodes,
        "core_reads": 1 / read_s,
        "ratio": figures["node_reads"] * read_s,
        "owner_core_reads": 1 / owner.slope,
        "owners_per_replica": figures["replica_reads"] * owner.slope,
        "slot_us": 2e6 / figures["replica_reads"],
        "query_sent_kb": sent / 1000,
        "query_received_kb": received / 1000,
        "node_mb": node_bytes / 1e6,
        "near_share": 100 * near,
        "region_share": 100 * region,
        "far_share": 100 * (1 - near - region),
        "near_mb": near * node_bytes / 1e6,
        "region_mb": region * node_bytes / 1e6,
        "far_mb": (1 - near - region) * node_bytes / 1e6,
    }


def _compute_read_locality() -> tuple[float, float]:
    """Return the shares of reads in the own data centre and elsewhere in the region.

    The replicas of a service are in two random data centres. An entry prefers replicas
    in its region, without preference for its own data centre, and uses others only if
    its region has none.
    """
    total = sum(DATA_CENTRES_PER_REGION)
    near = region = 0.0
    for centres in DATA_CENTRES_PER_REGION:
        outside = math.comb(total - centres, 2) / math.comb(total, 2)
        in_own = 2 / total
        both_near = (centres - 1) / (total - 1)
        own = in_own * (1 - both_near / 2)
        share = centres / total
        near += share * own
        region += share * (1 - outside - own)
    return near, region


def _compute_control(slopes, size: FleetSize, figures) -> dict[str, float]:
    idle = slopes["daemon-idle-cpu"].fit.at(figures["hosts_per_centre"])
    small = slopes["membership-cpu"].value_at(48)
    ordinary = slopes["membership-cpu"].value_at(size.nodes)
    delegate = slopes["membership-cpu-delegate"].value_at(size.nodes)
    pings = slopes["membership-pings-delegate"].value_at(size.nodes)
    ping_s = slopes["daemon-ping"].fit.slope
    digests_s = slopes["membership-digests"].value_at(size.nodes)
    choice_s = slopes["ownership-choice"].value_at(size.nodes)
    choice_all_s = choice_s * size.replicas
    # Each replacement changes the host list twice: one host is removed, one is added.
    list_changes = 2 * size.restarts_per_day / DAY_S
    change_s = slopes["configuration-change"].fit.at(_document_kb(slopes, size))
    ordinary_cpu = idle + ordinary - small
    delegate_cpu = idle + delegate - small + (pings - 2) * ping_s
    return {
        "idle_percent": 100 * idle,
        "member_small_percent": 100 * small,
        "member_percent": 100 * ordinary,
        "delegate_percent": 100 * delegate,
        "delegate_pings": pings,
        "ping_us": 1e6 * ping_s,
        "digests_us": 1e6 * digests_s,
        "digests_percent": 100 * 10 * digests_s,
        "ordinary_cpu_percent": 100 * ordinary_cpu,
        "delegate_cpu_percent": 100 * delegate_cpu,
        "choice_us": 1e6 * choice_s,
        "choice_all_s": choice_all_s,
        "choice_query_ms": 1000 * choice_s * 2 * size.shards_per_query,
        "list_change_interval_s": 1 / list_changes,
        "choice_percent": 100 * choice_all_s * list_changes,
        "document_kb": _document_kb(slopes, size),
        "change_ms": 1000 * change_s,
        "changes_percent": 100 * change_s * size.changes_per_day / DAY_S,
        "node_control_percent": 100 * delegate_cpu * figures["daemons"],
        "member_bytes": slopes["membership-bytes"].value_at(size.nodes),
        "delegate_bytes": slopes["membership-bytes-delegate"].value_at(size.nodes),
        "remote_bytes": slopes["membership-bytes-remote"].value_at(size.nodes),
        "region_bytes": slopes["membership-bytes-region"].value_at(size.nodes),
        "daemon_bytes": slopes["daemon-idle-bytes"].value_at(24),
        "entry_bytes": slopes["configuration-entry-bytes"].fit.at(0),
        "fullest": slopes["ownership-fullest"].value_at(size.replicas),
        "fullest_ratio": slopes["ownership-fullest"].value_at(size.replicas)
        / figures["replicas_per_node"],
    }


def _document_kb(slopes, size: FleetSize) -> float:
    return slopes["document-bytes"].fit.at(size.replicas) / 1000


def _compute_memory(slopes, size: FleetSize, figures) -> dict[str, float]:
    base = slopes["daemon-resident"].fit.intercept
    counts = {
        "member": size.nodes,
        "replica": size.replicas,
        "peer-connection": size.nodes,
        "audit-event": 10_000,
        "issued-id": 100_000,
        "queued-read": 4096,
        "upstream-connection": 3 * figures["fullest"],
    }
    memory = {"resident_mb": base / 1e6}
    for name, count in counts.items():
        each = slopes[f"memory-{name}"].fit.slope
        key = name.replace("-", "_")
        memory[f"{key}_each"] = each
        memory[f"{key}_count"] = count
        memory[f"{key}_mb"] = each * count / 1e6
    total = memory["resident_mb"]
    total += sum(memory[f"{name.replace('-', '_')}_mb"] for name in counts)
    return memory | {"memory_mb": total, "node_memory_mb": total * figures["daemons"]}


def _compute_platform_reads(slopes, size: FleetSize, figures) -> dict[str, float]:
    steady = slopes["platform-reads-steady"].fit.at(figures["hosts_per_centre"])
    restart = slopes["platform-reads-restart"].fit.at(figures["hosts_per_centre"])
    total = slopes["platform-reads-restart-total"].fit.at(figures["hosts_per_centre"])
    others = (size.data_centres - 1) * steady
    replica = Replica("r", "s", "127.0.0.1:1", "dc", 2, 12)
    return {
        "steady_reads": steady,
        "fleet_steady_reads": size.data_centres * steady,
        "restart_reads": restart,
        "restart_total": total,
        "centre_restart_reads": restart + others,
        "fleet_restart_reads": size.data_centres * restart,
        "quota": connection_quota(replica),
        "candidates": candidate_count(replica),
        "local_connections": connection_quota(replica) * candidate_count(replica),
    }


def _compute_failures(slopes, size: FleetSize, figures) -> dict[str, float]:
    doublings = math.log2(size.nodes)
    loss_bytes = slopes["spread-loss-bytes"].value_at(size.nodes)
    centre_bytes = slopes["spread-centre-loss-bytes"].value_at(52)
    centre_s = slopes["spread-centre-loss"].value_at(52)
    changes_per_s = (size.losses_per_day + 2 * size.restarts_per_day) / DAY_S
    return {
        "change_s": slopes["spread-change"].fit.at(doublings),
        "loss_s": slopes["spread-loss"].fit.at(doublings),
        "loss_kb": loss_bytes / 1000,
        "loss_fleet_mb": loss_bytes * size.nodes / 1e6,
        "churn_bytes": loss_bytes * changes_per_s,
        "rack_s": slopes["spread-mass-loss"].fit.at(26),
        "rack_kb": slopes["spread-mass-loss-bytes"].fit.at(26) / 1000,
        "centre_s": centre_s,
        "centre_kb": centre_bytes / 1000,
        "centre_rate_kb": centre_bytes / centre_s / 1000,
        "reunion_s": slopes["spread-reunion"].fit.at(size.nodes),
        "reunion_96_s": slopes["spread-reunion"].value_at(96),
        "restart_kb_per_s": size.restarts_per_day * figures["document_kb"] / DAY_S,
        "unreached_share": 100 / size.data_centres,
    }


def _compute_latency(slopes, size: FleetSize, figures) -> dict[str, float]:
    entry_ms = figures["entry_query_ms"]
    # Mean wait in an M/D/1 queue: one server, Poisson arrivals, equal service times.
    wait_ms = entry_ms * UTILIZATION / (2 * (1 - UTILIZATION))
    owner_ms = figures["owner_read_us"] / 1000
    owner_wait_ms = owner_ms * UTILIZATION / (2 * (1 - UTILIZATION))
    # 3 ms from caller to entry, 1 ms from entry to owner, both there and back, and a
    # service time of 5 ms. To an owner in another region it is 60 ms there and back
    # instead of 2 ms.
    path_ms = 2 * 3 + entry_ms + wait_ms + 2 * 1 + owner_ms + owner_wait_ms + 5
    return {
        "entry_wait_ms": wait_ms,
        "owner_ms": owner_ms,
        "owner_wait_ms": owner_wait_ms,
        "path_ms": path_ms,
        "path_far_ms": path_ms + 60 - 2,
        "path_left_ms": size.latency_ms - path_ms,
        "path_p50_ms": slopes["path-latency-p50"].value_at(size.shards_per_query),
        "path_p99_ms": slopes["path-latency-p99"].value_at(size.shards_per_query),
    }
