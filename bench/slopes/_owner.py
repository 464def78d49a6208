"""CPU time of a shard read and of a ping on an owner."""

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

REPLICA_COUNT = 40
OWNER = TestbedHost("owner", "dc1", ("owner",))
# Played by this process and not on the host list, so the daemon does not probe it.
FAKE_ENTRY = TestbedHost("client", "dc1", ("entry",), is_fake=True, is_listed=False)
MAX_READS_IN_FLIGHT = 80
READ_COUNTS = (500, 1000, 2000, 4000)
PING_COUNTS = (500, 1000, 2000, 4000)
QUEUED_COUNTS = (500, 1000, 2000, 4000)
IDLE_MEASUREMENT_S = 2.0
# Other processes raise CPU times through shared caches and cores, so the smallest of
# several measurements is the best estimate.
REPEATS = 2
TAKEOVER_WAIT_S = 1.2
RECEIVE_TIMEOUT_MS = 5000


class _FakeEntry:
    """Sends messages to one daemon and receives its answers."""

    def __init__(self, own_address: str, owner_address: str):
        self.address = own_address
        self.receiver = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS, recv_buffer_size=4096
        )
        self.receiver.listen(f"tcp://{own_address}")
        self.sender = pynng.Push0(send_timeout=RECEIVE_TIMEOUT_MS)
        self.sender.dial(f"tcp://{owner_address}", block=True)

    def send(self, message: object) -> None:
        self.sender.send(encode(message))

    def receive(self, message_type: type) -> object:
        """Return the next message of a type; drop others that arrive before."""
        while True:
            message = decode(self.receiver.recv())
            if isinstance(message, message_type):
                return message

    def close(self) -> None:
        self.sender.close()
        self.receiver.close()


def measure_owner() -> list[Slope]:
    """Measure an owner daemon: one and ten reads per message, and pings."""
    with Testbed([OWNER, FAKE_ENTRY], Upstreams(REPLICA_COUNT)) as testbed:
        entry = _FakeEntry(
            testbed.peer_address(FAKE_ENTRY), testbed.peer_address(OWNER)
        )
        pid = testbed.daemon(OWNER).pid
        queries = itertools.count()
        try:
            _run_reads(entry, queries, 400, 1)
            # The owner uses all slots of a replica only 1 s after taking it over.
            time.sleep(TAKEOVER_WAIT_S)
            idle_rate = _measure_idle_rate(pid)

            def measure_least_cpu(work: Callable[..., None], *arguments) -> float:
                costs = [
                    _measure_cpu(pid, idle_rate, work, *arguments)
                    for _ in range(REPEATS)
                ]
                return min(costs)

            single = [
                (n, measure_least_cpu(_run_reads, entry, queries, n, 1))
                for n in READ_COUNTS
            ]
            batches_of_ten = [
                (n, measure_least_cpu(_run_reads, entry, queries, n, 10))
                for n in READ_COUNTS
            ]
            pings = [(n, measure_least_cpu(_send_pings, entry, n)) for n in PING_COUNTS]
        finally:
            entry.close()
    unit = "CPU s of the daemon"
    return [
        Slope("owner-read", "reads, one per message", unit, single),
        Slope("owner-read-in-tens", "reads, ten per message", unit, batches_of_ten),
        Slope("daemon-ping", "pings answered", unit, pings),
    ]


def measure_queue() -> list[Slope]:
    """Measure the queue of an owned replica in this process."""
    points = [(n, min(_time_queue(n) for _ in range(3))) for n in QUEUED_COUNTS]
    return [Slope("owner-queue", "reads queued, started and ended", "CPU s", points)]


def _measure_idle_rate(pid: int) -> float:
    """Return the CPU time per second, a share of a core, of the idle daemon."""
    before = cpu_seconds(pid)
    started = time.monotonic()
    time.sleep(IDLE_MEASUREMENT_S)
    return (cpu_seconds(pid) - before) / (time.monotonic() - started)


def _measure_cpu(pid: int, idle_rate: float, work, *arguments) -> float:
    """Return the CPU time in seconds that ``work`` takes of the daemon ``pid``.

    ``idle_rate``, its CPU time per second without work, is subtracted.
    """
    before = cpu_seconds(pid)
    started = time.monotonic()
    work(*arguments)
    elapsed_s = time.monotonic() - started
    return cpu_seconds(pid) - before - idle_rate * elapsed_s


def _run_reads(entry: _FakeEntry, queries, count: int, per_message: int) -> None:
    """Run ``count`` reads with at most ``MAX_READS_IN_FLIGHT`` in flight."""
    replicas = itertools.cycle(range(REPLICA_COUNT))
    waiting = sent = done = failed = 0
    while done < count:
        while sent < count and waiting + per_message <= MAX_READS_IN_FLIGHT:
            reads = [
                _build_request(number, next(replicas)) for number in range(per_message)
            ]
            entry.send(_build_batch(entry.address, next(queries), reads))
            sent += per_message
            waiting += per_message
        answers = entry.receive(ReadAnswers).answers
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


def _send_pings(entry: _FakeEntry, count: int) -> None:
    host = Host("client", entry.address, "dc1", "r1", ("entry",))
    for number in range(count):
        digest = VersionDigest(1, 1, 0.5)
        entry.send(Ping(host, 1, 0, False, number, digest, ()))
        entry.receive(Ack)


def _time_queue(count: int) -> float:
    """Return the CPU time in seconds of ``count`` reads that are queued, then run."""
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
    """Return a read of its own query that can wait in the queue of a replica."""
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
