"""Cost and balance of the choice of owners."""

import time
from collections import Counter

from cicadalever.membership import MemberTable, Ownership
from cicadalever.topology import Host, HostList, ListedHost, Replica

from ._fit import Slope

MEMBERS = (100, 300, 570, 1140)
DATA_CENTRES = 11
REPLICA_COUNTS = (400, 800, 1600, 3200)
# Owners of this many replicas are chosen; the cost is the same for each replica.
CHOSEN = 400


def measure_ownership() -> list[Slope]:
    """Measure CPU per replica after a change of the list, and the fullest host."""
    cpu = [(count, _choose(count)) for count in MEMBERS]
    fullest = [(count, _count_fullest(count)) for count in REPLICA_COUNTS]
    return [
        Slope("ownership-choice", "members", "CPU s per replica after a change", cpu),
        Slope(
            "ownership-fullest",
            "replicas on 570 hosts in 11 data centres",
            "replicas of the host that owns most",
            fullest,
        ),
    ]


def _build_ownership(members: int) -> Ownership:
    hosts = [
        Host(f"host-{n:04}", f"10.0.{n // 200}.{n % 200}:7002", _centre(n), "r")
        for n in range(members)
    ]
    table = MemberTable(hosts[0], 1)
    table.merge_host_list(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
    return Ownership(table)


def _centre(number: int) -> str:
    return f"dc{number % DATA_CENTRES:02}"


def _replica(number: int) -> Replica:
    name = f"catalogue-{number // 2:04}-{'ab'[number % 2]}"
    address = f"10.1.{number // 200}.{number % 200}:9001"
    centre = _centre(number // 2 + number % 2)
    return Replica(name, name[:-2], address, centre, 2, 12)


def _choose(members: int) -> float:
    ownership = _build_ownership(members)
    started = time.process_time()
    for number in range(CHOSEN):
        ownership.owner_of(_replica(number))
    return (time.process_time() - started) / CHOSEN


def _count_fullest(replicas: int) -> int:
    ownership = _build_ownership(570)
    owners = (ownership.owner_of(_replica(number)) for number in range(replicas))
    return max(Counter(owner.id for owner in owners).values())
