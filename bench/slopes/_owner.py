"""Cost of a shard read on its owner and of a control message."""

import itertools
import time
from collections.abc import Callable

import pynng

from cicadalever.membership import Ack, Ping, VersionDigest
from cicadalever.owners import OwnedReplica, QueuedRead
from cicadalever.scheduling import Rank
from cicadalever.topology import Host, Replica
from cicadalever.transport import (
    ReadAnswers,
    ReadBatch,
    ReadMode,
    ReadRequest,
    decode,
    encode,
)
from standins.deployment import SNAPSHOT_ID

from ._fit import Slope
from ._testbed import INDEX, Testbed, TestbedHost, Upstreams, cpu_seconds

REPLICAS = 40
OWNER = TestbedHost("owner", "dc1", ("owner",))
# The bench plays the entry. It is not listed, so the daemon does not probe it.
FAKE_ENTRY = TestbedHost("client", "dc1", ("entry",), is_fake=True, is_listed=False)
IN_FLIGHT = 80
READS = (500, 1000, 2000, 4000)
PINGS = (500, 1000, 2000, 4000)
QUEUED = (500, 1000, 2000, 4000)
IDLE_S = 2.0
# Load of other processes raises CPU times through shared caches and cores, so the
# least of several runs is the best estimate.
REPEATS = 2
TAKEOVER_S = 1.2
RECEIVE_TIMEOUT_MS = 5000


class _FakeEntry:
    """Sends frames to one daemon and receives its answers."""

    def __init__(self, listen: str, target: str):
        self.address = listen
        self.receiver = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS, recv_buffer_size=4096
        )
        self.receiver.listen(f"tcp://{listen}")
        self.sender = pynng.Push0(send_timeout=RECEIVE_TIMEOUT_MS)
        self.sender.dial(f"tcp://{target}", block=True)

    def send(self, message: object) -> None:
        self.sender.send(encode(message))

    def receive(self, wanted: type) -> object:
        """Return the next message of a type; others are dropped."""
        while True:
            message = decode(self.receiver.recv())
            if isinstance(message, wanted):
                return message

    def close(self) -> None:
        self.sender.close()
        self.receiver.close()


def measure_owner() -> list[Slope]:
    """Measure one owner daemon: reads alone in a message, in tens, and pings."""
    with Testbed([OWNER, FAKE_ENTRY], Upstreams(REPLICAS)) as testbed:
        client = _FakeEntry(
            testbed.peer_address(FAKE_ENTRY), testbed.peer_address(OWNER)
        )
        pid = testbed.daemon(OWNER).pid
        queries = itertools.count()
        try:
            _run_reads(client, queries, 400, 1)
            # The owner uses all slots of a replica 1 s after it took it over.
            time.sleep(TAKEOVER_S)
            idle_rate = _idle_rate(pid)

            def measure_least_cpu(work: Callable[..., None], *arguments) -> float:
                costs = [
                    _measure_cpu(pid, idle_rate, work, *arguments)
                    for _ in range(REPEATS)
                ]
                return min(costs)

            single = [
                (n, measure_least_cpu(_run_reads, client, queries, n, 1)) for n in READS
            ]
            tens = [
                (n, measure_least_cpu(_run_reads, client, queries, n, 10))
                for n in READS
            ]
            pings = [(n, measure_least_cpu(_send_pings, client, n)) for n in PINGS]
        finally:
            client.close()
    unit = "CPU s of the daemon"
    return [
        Slope("owner-read", "reads, one per message", unit, single),
        Slope("owner-read-in-tens", "reads, ten per message", unit, tens),
        Slope("daemon-ping", "pings answered", unit, pings),
    ]


def measure_queue() -> list[Slope]:
    """Measure queueing in an owner's replica aggregate, in this process."""
    points = [(n, min(_time_queue(n) for _ in range(3))) for n in QUEUED]
    return [Slope("owner-queue", "reads queued, started and ended", "CPU s", points)]


def _idle_rate(pid: int) -> float:
    before = cpu_seconds(pid)
    started = time.monotonic()
    time.sleep(IDLE_S)
    return (cpu_seconds(pid) - before) / (time.monotonic() - started)


def _measure_cpu(pid: int, idle_rate: float, work, *arguments) -> float:
    """Return the CPU time of ``work`` without what the idle daemon would use."""
    before = cpu_seconds(pid)
    started = time.monotonic()
    work(*arguments)
    elapsed_s = time.monotonic() - started
    return cpu_seconds(pid) - before - idle_rate * elapsed_s


def _run_reads(client: _FakeEntry, queries, count: int, per_message: int) -> None:
    """Run ``count`` reads with at most ``IN_FLIGHT`` under way."""
    replicas = itertools.cycle(range(REPLICAS))
    waiting = sent = done = failed = 0
    while done < count:
        while sent < count and waiting + per_message <= IN_FLIGHT:
            reads = [
                _build_request(number, next(replicas)) for number in range(per_message)
            ]
            client.send(_build_batch(client.address, next(queries), reads))
            sent += per_message
            waiting += per_message
        answers = client.receive(ReadAnswers).answers
        failed += sum(bool(answer.code) for answer in answers)
        waiting -= len(answers)
        done += len(answers)
    if failed:
        raise RuntimeError(f"{failed} of {count} reads failed")


def _build_request(number: int, replica: int) -> ReadRequest:
    name = f"u{replica:03}-a"
    return ReadRequest(number, name, f"{INDEX}/s{replica:03}", ReadMode.NORMAL)


def _build_batch(sender: str, query: int, reads: list[ReadRequest]) -> ReadBatch:
    return ReadBatch(
        sender,
        f"{query:x}",
        f"request-{query:x}",
        int(Rank.INTERACTIVE),
        time.time() + 10.0,
        "read",
        SNAPSHOT_ID,
        1,
        b'{"echo":"0123456789abcdef"}',
        reads,
    )


def _send_pings(client: _FakeEntry, count: int) -> None:
    host = Host("client", client.address, "dc1", "r1", ("entry",))
    for number in range(count):
        digest = VersionDigest(1, 1, 0.5)
        client.send(Ping(host, 1, 0, False, number, digest, ()))
        client.receive(Ack)


def _time_queue(count: int) -> float:
    """Return CPU seconds of ``count`` reads that all wait before one starts."""
    replica = Replica("u-a", "u", "127.0.0.1:1", "dc1", 1, 2)
    owned = OwnedReplica(replica, {Rank.BATCH: 0.1}, now=0.0, takeover=False)
    owned.submit(build_queued_read(0), 0.0)
    running = owned.start_next(0.0)
    reads = [build_queued_read(number) for number in range(1, count + 1)]
    started = time.process_time()
    for read in reads:
        owned.submit(read, 0.0)
    for _ in reads:
        owned.finish(running.item, None, 0.001, 0.0)
        running = owned.start_next(0.0)
    return time.process_time() - started


def build_queued_read(number: int) -> QueuedRead:
    return QueuedRead(
        ("127.0.0.1:2", f"{number:x}", 0),
        f"request-{number:x}",
        int(Rank.INTERACTIVE),
        1e9,
        "read",
        SNAPSHOT_ID,
        f"{INDEX}/s000",
        1,
        ReadMode.NORMAL,
        b"{}",
    )
