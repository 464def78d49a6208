"""CPU time and balance of the assignment of replicas to owners."""

import time
from collections import Counter

from cicadalever.membership import MemberTable, Ownership
from cicadalever.topology import Host, HostList, ListedHost, Replica

from ._fit import Slope

MEMBER_COUNTS = (100, 300, 570, 1140)
DATA_CENTRES = 11
REPLICA_COUNTS = (400, 800, 1600, 3200)
# Replicas whose owners are chosen in a measurement; each replica costs the same.
MEASURED_REPLICAS = 400


def measure_ownership() -> list[Slope]:
    """Measure the CPU time per replica after a change of the host list, and balance.

    The measure of balance is the number of replicas of the host that owns most.
    """
    choice_times = [(count, _time_choice(count)) for count in MEMBER_COUNTS]
    max_owned = [(count, _count_max_owned(count)) for count in REPLICA_COUNTS]
    return [
        Slope(
            "ownership-choice",
            "members",
            "CPU s per replica after a change",
            choice_times,
        ),
        Slope(
            "ownership-fullest",
            "replicas on 570 hosts in 11 data centres",
            "replicas of the host that owns most",
            max_owned,
        ),
    ]


def _build_ownership(members: int) -> Ownership:
    hosts = [
        Host(f"host-{n:04}", f"10.0.{n // 200}.{n % 200}:7002", _data_centre(n), "r")
        for n in range(members)
    ]
    table = MemberTable(hosts[0], 1)
    table.merge_host_list(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
    return Ownership(table)


def _data_centre(number: int) -> str:
    return f"dc{number % DATA_CENTRES:02}"


def _build_replica(number: int) -> Replica:
    name = f"catalogue-{number // 2:04}-{'ab'[number % 2]}"
    address = f"10.1.{number // 200}.{number % 200}:9001"
    data_centre = _data_centre(number // 2 + number % 2)
    return Replica(name, name[:-2], address, data_centre, 2, 12)


def _time_choice(members: int) -> float:
    ownership = _build_ownership(members)
    started = time.process_time()
    for number in range(MEASURED_REPLICAS):
        ownership.owner_of(_build_replica(number))
    return (time.process_time() - started) / MEASURED_REPLICAS


def _count_max_owned(replicas: int) -> int:
    ownership = _build_ownership(570)
    owners = (ownership.owner_of(_build_replica(number)) for number in range(replicas))
    return max(Counter(owner.id for owner in owners).values())
