"""Actions of scenarios on the running fleet.

The names of the functions in ``ACTIONS`` are the names of actions in scenarios and in
the printed figures.
"""

import threading
import time
from collections.abc import Callable

from standins.deployment import PLANS, SNAPSHOT_ID, shards_by_service

from ._fleet import POLL_INTERVAL_S, START_TIMEOUT_S, BenchFleet


def set_read_upstreams(fleet: BenchFleet, values: dict) -> None:
    """Change parameters of all upstreams except those that run orders or jobs."""
    plan = PLANS[fleet.scenario.deployment]
    # Names of services start with the name of their index.
    run_indexes = [route[0][0] for route in plan.routes.values() if route[1] == "run"]
    upstreams = fleet.deployment.upstream["upstreams"].items()
    names = [
        name
        for name, settings in upstreams
        if not settings["service"].startswith(tuple(run_indexes))
    ]
    fleet.control("upstream", {"upstreams": names, "set": values})


def patch(
    fleet: BenchFleet, patch_id: str, operations: list[dict], against_offset: int = 0
) -> None:
    """Submit a patch against the newest version plus ``against_offset``."""
    fleet.submit(patch_id, operations, against_offset)


def platform_mode(fleet: BenchFleet, mode: str) -> None:
    """Set the mode of the platform stand-in, ``refuse`` or ``up``."""
    fleet.control("platform", {"mode": mode})


def start_host(fleet: BenchFleet, host: str) -> None:
    """Start an absent host; a thread records after how many seconds it is ready."""
    begin = time.monotonic()
    fleet.start_host(host)
    thread = threading.Thread(target=_record_start, args=(fleet, host, begin))
    thread.start()


def _record_start(fleet: BenchFleet, host: str, begin: float) -> None:
    fleet.notes["new_host_serves_s"] = None
    while time.monotonic() < begin + START_TIMEOUT_S:
        if fleet.is_healthy(host):
            fleet.notes["new_host_serves_s"] = round(time.monotonic() - begin, 3)
            return
        time.sleep(POLL_INTERVAL_S)


def drain_upstream(fleet: BenchFleet, upstream: str) -> None:
    """Let one upstream drain."""
    fleet.control("upstream", {"upstreams": [upstream], "action": "drain"})


def terminate(fleet: BenchFleet, host: str) -> None:
    """List a host as leaving and end its daemon with SIGTERM.

    A thread records the exit status and the time until the end in seconds.
    """
    fleet.control("platform", {"host_states": {host: "leaving"}})
    fleet.unreachable.add(host)
    thread = threading.Thread(target=_record_exit, args=(fleet, host))
    thread.start()


def _record_exit(fleet: BenchFleet, host: str) -> None:
    begin = time.monotonic()
    status = fleet.processes[host].stop(60.0)
    fleet.notes["exit_status"] = status
    fleet.notes["exit_s"] = round(time.monotonic() - begin, 3)


def cut(fleet: BenchFleet, data_centre: str) -> None:
    """Cut a data centre off from the others and the platform.

    Open connections stall and new ones get no answer.
    """
    rule = {"existing": "stall", "new": "black_hole"}
    proxy = fleet.deployment.proxy
    groups = [*proxy["sources"], "platform"]
    rules = {}
    for other in groups:
        if other == data_centre:
            continue
        rules[f"{data_centre}>{other}"] = rule
        if other != "platform":
            rules[f"{other}>{data_centre}"] = rule
    fleet.control("proxy", {"rules": rules})
    fleet.unreachable |= _hosts_of(fleet, data_centre)


def heal(fleet: BenchFleet) -> None:
    """Reconnect all data centres."""
    fleet.control("proxy", {"restore": True})
    for data_centre in fleet.deployment.proxy["sources"]:
        fleet.unreachable -= _hosts_of(fleet, data_centre)


def hold_next_snapshot(fleet: BenchFleet, rotation: int) -> None:
    """Add a snapshot with rotated shard maps to all upstreams."""
    indexes = fleet.document["snapshots"][-1]["indexes"]
    snapshot = rotate_snapshot(SNAPSHOT_ID + 1, indexes, rotation)
    fleet.notes["next_snapshot"] = snapshot
    _set_snapshots(fleet, [fleet.document["snapshots"][-1], snapshot])


def publish_next_snapshot(fleet: BenchFleet) -> None:
    """Add the next snapshot to the configuration."""
    value = fleet.notes["next_snapshot"]
    operation = {"op": "add", "path": "/snapshots/-", "value": value}
    fleet.submit("publish-snapshot", [operation])


def drop_old_snapshot(fleet: BenchFleet) -> None:
    """Remove the old snapshot from all upstreams, one service after the other."""
    _set_snapshots(fleet, [fleet.notes["next_snapshot"]])


def remove_old_snapshot(fleet: BenchFleet) -> None:
    """Remove the old snapshot from the configuration."""
    fleet.submit("remove-snapshot", [{"op": "remove", "path": "/snapshots/0"}])


def pause(fleet: BenchFleet, host: str) -> None:
    """Suspend a daemon with SIGSTOP."""
    fleet.processes[host].pause()
    fleet.unreachable.add(host)


def resume(fleet: BenchFleet, host: str) -> None:
    """Continue a suspended daemon with SIGCONT."""
    fleet.processes[host].resume()
    fleet.unreachable.discard(host)


def kill(fleet: BenchFleet, host: str) -> None:
    """End a daemon with SIGKILL."""
    fleet.processes[host].kill()
    fleet.unreachable.add(host)


def rotate_snapshot(snapshot_id: int, indexes: dict, rotation: int) -> dict:
    """Return a snapshot in which other services serve the shards of each index.

    ``indexes`` maps an index to its services by shard; each shard gets the service
    that comes ``rotation`` places later in that order.
    """
    rotated = {}
    for index, shards in indexes.items():
        services = list(shards.values())
        shift = rotation % len(services)
        moved = services[shift:] + services[:shift]
        rotated[index] = dict(zip(shards, moved, strict=True))
    return {"id": snapshot_id, "indexes": rotated}


def _set_snapshots(fleet: BenchFleet, snapshots: list[dict]) -> None:
    shards_by_snapshot = {str(s["id"]): shards_by_service(s) for s in snapshots}
    for service in fleet.document["services"]:
        value = {
            name: shards.get(service, []) for name, shards in shards_by_snapshot.items()
        }
        command = {"services": [service], "set": {"snapshots": value}}
        fleet.control("upstream", command)


def _hosts_of(fleet: BenchFleet, data_centre: str) -> set[str]:
    daemons = fleet.deployment.daemons.items()
    return {host for host, value in daemons if value["data_centre"] == data_centre}


ACTIONS: dict[str, Callable[..., None]] = {
    function.__name__: function
    for function in (
        set_read_upstreams,
        patch,
        platform_mode,
        start_host,
        drain_upstream,
        terminate,
        cut,
        heal,
        hold_next_snapshot,
        publish_next_snapshot,
        drop_old_snapshot,
        remove_old_snapshot,
        pause,
        resume,
        kill,
    )
}
