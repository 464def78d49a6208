"""Memory of each kind of state that a daemon holds."""

import gc
import json
import random
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence

import pynng
from loguru import logger

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.configuration import Configuration
from cicadalever.membership import MemberState, MemberTable, MemberUpdate, Ownership
from cicadalever.once import OnceTable
from cicadalever.owners import OwnedReplica
from cicadalever.scheduling import ReplicaSelector
from cicadalever.topology import Host, Replica
from cicadalever.transport._network import (
    RECEIVE_BUFFER_MESSAGES,
    SEND_BUFFER_MESSAGES,
)
from cicadalever.upstreams import UpstreamConnection

from ._configuration import build_document
from ._fit import Points, Slope
from ._owner import build_queued_read
from ._testbed import resident_bytes

COUNTS = (250, 500, 1000, 2000)
CONNECTION_COUNTS = (50, 100, 200, 400)
PEER_COUNTS = (50, 100, 200, 400)
SETTLE_S = 0.5
HOST_COUNT = 20


def measure_memory() -> list[Slope]:
    """Measure the memory of Python objects with tracemalloc."""
    unit = "bytes"
    return [
        Slope("memory-member", "members", unit, _trace_memory(_build_member_table)),
        Slope(
            "memory-replica",
            "replicas, two a service",
            unit,
            _trace_memory(_build_replica_state),
        ),
        Slope(
            "memory-queued-read",
            "reads in a queue",
            unit,
            _trace_memory(_build_owned_replica),
        ),
        Slope("memory-issued-id", "unused ids", unit, _trace_memory(_build_issued_ids)),
        Slope("memory-audit-event", "events", unit, _trace_memory(_build_audit_trail)),
        Slope(
            "memory-upstream-connection",
            "open connections, without kernel buffers",
            unit,
            _trace_memory(_build_connections, CONNECTION_COUNTS),
        ),
    ]


def measure_peer_memory() -> list[Slope]:
    """Measure the resident size of both ends of connections between daemons.

    The measurement has its own process: reused memory that was freed before would not
    show in the resident size.
    """
    code = "from bench.slopes._memory import print_peer_memory; print_peer_memory()"
    command = [sys.executable, "-W", "ignore", "-c", code]
    output = subprocess.run(command, check=True, capture_output=True).stdout
    points = [tuple(point) for point in json.loads(output)]
    unit = "peers, one connection each way"
    return [Slope("memory-peer-connection", unit, "bytes resident", points)]


def print_peer_memory() -> None:
    """Print the points of ``memory-peer-connection`` as JSON."""
    receiver = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
    receiver.listen("tcp://127.0.0.1:0")
    address = str(receiver.listeners[0].local_address)
    senders: list[pynng.Push0] = []
    points = []
    start = resident_bytes()
    for count in PEER_COUNTS:
        while len(senders) < count:
            sender = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            sender.dial(f"tcp://{address}", block=True)
            sender.send(b"first message")
            senders.append(sender)
        time.sleep(SETTLE_S)
        points.append((count, resident_bytes() - start))
    print(json.dumps(points))


def _trace_memory(
    build: Callable[[int], object], counts: Sequence[int] = COUNTS
) -> Points:
    build(10)
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        kept = build(count)
        gc.collect()
        points.append((count, tracemalloc.get_traced_memory()[0] - before))
        tracemalloc.stop()
        del kept
    return points


def _build_member_table(count: int) -> MemberTable:
    self_host = Host("own", "10.0.0.1:7002", "dc00", "region-0")
    table = MemberTable(self_host, 1_700_000_000_000)
    for number in range(count):
        # As after decoding, members do not share strings.
        host = Host(
            f"host-{number:04}",
            f"10.1.{number // 200}.{number % 200}:7002",
            f"dc{number % 11:02}",
            f"region-{number % 3}",
            (f"{'entry'}", f"{'owner'}"),
        )
        table.apply(
            MemberUpdate(host, MemberState.ALIVE, 1_700_000_000_000 + number), 0.0
        )
    table.take_changed()
    return table


def _build_replica_state(count: int) -> tuple:
    """Return the state of an entry for replicas: configuration, owners, latencies."""
    configuration = Configuration(1, 1, build_document(count // 2))
    ownership = Ownership(_build_member_table(HOST_COUNT))
    selector = ReplicaSelector(random.Random(0))
    for service in configuration.document["services"]:
        for replica in configuration.replicas_of(service):
            ownership.owner_of(replica)
            selector.started(replica.id, 0.0)
    return configuration, ownership, selector


def _build_owned_replica(count: int) -> OwnedReplica:
    replica = Replica("u-a", "u", "127.0.0.1:1", "dc1", 1, 2)
    owned = OwnedReplica(replica, {}, now=0.0, takeover=False)
    for number in range(count):
        owned.submit(build_queued_read(number), 0.0)
    return owned


def _build_issued_ids(count: int) -> OnceTable:
    table = OnceTable("host-1", 1_700_000_000_000)
    now = 0.0
    for _ in range(count // 10):
        now += 1.0
        table.issue(10, now)
    return table


def _build_audit_trail(count: int) -> AuditTrail:
    logger.disable("cicadalever")
    try:
        trail = AuditTrail("host-1", 10_000, time.time)
        for number in range(count):
            trail.record(
                AuditKind.OWNERSHIP_GAINED, number + 1000, replica=f"u{number:04}-a"
            )
        return trail
    finally:
        logger.enable("cicadalever")


def _build_connections(count: int) -> list[UpstreamConnection]:
    # For the connecting side, a connection is open before the listener accepts it.
    with socket.create_server(("127.0.0.1", 0), backlog=count) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connections = [UpstreamConnection(address) for _ in range(count)]
        for connection in connections:
            failure = connection._connect(1.0)
            if failure is not None:
                raise RuntimeError(failure.reason)
    return connections
