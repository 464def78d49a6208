"""CPU time and bytes of a query at its entry, and latency of the whole path."""

import random
import selectors
import statistics
import threading
import time
from typing import NamedTuple

import pynng

from cicadalever.membership import Ack, MemberTable, Ping, PingRequest, Prober
from cicadalever.topology import Host
from cicadalever.transport import ReadAnswer, ReadAnswers, ReadBatch, decode, encode
from standins._client import HttpClient

from ._fit import Slope
from ._testbed import ROUTE, SEED, Testbed, TestbedHost, Upstreams, cpu_seconds

FAN_OUTS = (1, 10, 50, 100, 190)
QUERIES_BY_FAN_OUT = {1: 400, 10: 250, 50: 120, 100: 80, 190: 60}
LATENCY_QUERIES = 120
FEW_OWNERS = 10
WARM_UP_QUERIES = 20
IDLE_MEASUREMENT_S = 2.0
STOP_CHECK_INTERVAL_S = 0.1
ROWS_JSON = b'[{"shard":"catalogue/s000","snapshot":41,"echo":"0123456789abcdef"}]'
ENTRY = TestbedHost("entry", "dc-entry", ("entry",))
LATENCY_OWNERS = 5
CONNECT_TIMEOUT_S = 10.0
# An owner uses all slots of a replica only 1 s after it has taken it over.
TAKEOVER_WAIT_S = 1.2


class _QueryCost(NamedTuple):
    """Cost per query of one fan-out; ``sent`` and ``received`` are peer bytes."""

    fan_out: int
    cpu_s: float
    sent: float
    received: float


class _FakeOwner:
    """Answers every read and every ping immediately.

    Its failure detector gets no ticks, so it probes and suspects no host.
    """

    def __init__(self, host: Host, others: list[Host], rng):
        self.host = host
        self.receiver = pynng.Pull0(recv_buffer_size=1024)
        self.receiver.listen(f"tcp://{host.address}")
        table = MemberTable(host, time.time_ns() // 1_000_000)
        self.prober = Prober(table, rng, seeds=[other.address for other in others])
        self._senders: dict[str, pynng.Push0] = {}

    def handle_received(self) -> None:
        """Handle all messages that the socket has received."""
        while True:
            try:
                frame = self.receiver.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle(decode(frame))

    def send(self, address: str, message: object) -> None:
        """Send a message, or drop it if the send buffer is full."""
        sender = self._senders.get(address)
        if sender is None:
            sender = pynng.Push0(send_buffer_size=64)
            sender.dial(f"tcp://{address}", block=False)
            self._senders[address] = sender
        try:
            sender.send(encode(message), block=False)
        except pynng.exceptions.NNGException:
            return

    def close(self) -> None:
        """Close all sockets."""
        for sender in self._senders.values():
            sender.close()
        self.receiver.close()

    def _handle(self, message: object) -> None:
        if isinstance(message, ReadBatch):
            answers = [
                ReadAnswer(
                    read.number, "", "", message.snapshot, ROWS_JSON, 0.0, 0.002, False
                )
                for read in message.reads
            ]
            self.send(message.sender, ReadAnswers(message.query, answers))
        elif isinstance(message, Ping | Ack | PingRequest):
            for address, answer in self.prober.receive(message, time.monotonic()):
                self.send(address, answer)


class _FakeOwners:
    """Runs all fake owners in one thread; they know no host but the entry."""

    def __init__(self, testbed: Testbed, hosts: list[TestbedHost], entry: Host):
        self._stop = threading.Event()
        rng = random.Random(SEED)
        self._owners = [
            _FakeOwner(_topology_host(testbed, host), [entry], rng)
            for host in hosts
            if host.is_fake
        ]
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()
        for owner in self._owners:
            owner.close()

    def _serve(self) -> None:
        selector = selectors.DefaultSelector()
        for owner in self._owners:
            selector.register(owner.receiver.recv_fd, selectors.EVENT_READ, owner)
        while not self._stop.is_set():
            for key, _ in selector.select(STOP_CHECK_INTERVAL_S):
                key.data.handle_received()
        selector.close()


def measure_entry() -> list[Slope]:
    """Measure the entry with an owner per shard, and with ``FEW_OWNERS`` owners."""
    many_owners = _measure_fan_outs(max(FAN_OUTS))
    few_owners = _measure_fan_outs(FEW_OWNERS)
    cpu_unit = "CPU s of the entry per query"
    return [
        Slope(
            "entry-query",
            "shards, each with its own owner",
            cpu_unit,
            _cpu_points(many_owners),
        ),
        Slope(
            "entry-query-ten-owners",
            f"shards of at most {FEW_OWNERS} owners",
            cpu_unit,
            _cpu_points(few_owners),
        ),
        Slope(
            "entry-bytes-sent",
            "shards, each with its own owner",
            "bytes to owners per query",
            [(point.fan_out, point.sent) for point in many_owners],
        ),
        Slope(
            "entry-bytes-received",
            "shards, each with its own owner",
            "bytes from owners per query",
            [(point.fan_out, point.received) for point in many_owners],
        ),
    ]


def measure_latency() -> list[Slope]:
    """Measure queries through entry, owners and upstreams with a 5 ms service time."""
    data_centres = tuple(f"dc{number}" for number in range(LATENCY_OWNERS))
    hosts = [ENTRY, *(TestbedHost(f"owner-{c}", c, ("owner",)) for c in data_centres)]
    upstreams = Upstreams(
        max(FAN_OUTS), data_centres, slots=2, service_s=0.005, processes=3
    )
    medians, tails = [], []
    with Testbed(hosts, upstreams, fan_outs=FAN_OUTS) as testbed:
        client = HttpClient(testbed.caller_address(ENTRY))
        _warm_up(client)
        time.sleep(TAKEOVER_WAIT_S)
        for fan_out in FAN_OUTS:
            times = [_time_query(client, fan_out) for _ in range(LATENCY_QUERIES)]
            medians.append((fan_out, 1000 * statistics.median(times)))
            tails.append((fan_out, 1000 * statistics.quantiles(times, n=100)[98]))
        client.close()
    unit = "shards over 5 owners, upstreams of 5 ms"
    return [
        Slope("path-latency-p50", unit, "ms of wall time", medians),
        Slope("path-latency-p99", unit, "ms of wall time", tails),
    ]


def _measure_fan_outs(owner_count: int) -> list[_QueryCost]:
    data_centres = tuple(f"dc{number:03}" for number in range(owner_count))
    hosts = [
        ENTRY,
        *(TestbedHost(f"fake-{c}", c, ("owner",), is_fake=True) for c in data_centres),
    ]
    upstreams = Upstreams(max(FAN_OUTS), data_centres, is_fake=True)
    with Testbed(hosts, upstreams, fan_outs=FAN_OUTS) as testbed:
        owners = _FakeOwners(testbed, hosts, _topology_host(testbed, ENTRY))
        owners.start()
        client = HttpClient(testbed.caller_address(ENTRY))
        try:
            _warm_up(client)
            idle_rate = _measure_idle_rate(testbed)
            return [_measure_fan_out(testbed, client, n, idle_rate) for n in FAN_OUTS]
        finally:
            client.close()
            owners.stop()


def _measure_fan_out(
    testbed: Testbed, client: HttpClient, fan_out: int, idle_rate: float
) -> _QueryCost:
    count = QUERIES_BY_FAN_OUT[fan_out]
    pid = testbed.daemon(ENTRY).pid
    bytes_before = testbed.peer_bytes(ENTRY)
    before = cpu_seconds(pid)
    started = time.monotonic()
    for _ in range(count):
        _run_query(client, fan_out)
    elapsed_s = time.monotonic() - started
    cpu_s = cpu_seconds(pid) - before - idle_rate * elapsed_s
    bytes_after = testbed.peer_bytes(ENTRY)
    sent, received = (
        bytes_after.get(key, 0.0) - bytes_before.get(key, 0.0)
        for key in (("sent", "ReadBatch"), ("received", "ReadAnswers"))
    )
    return _QueryCost(fan_out, cpu_s / count, sent / count, received / count)


def _measure_idle_rate(testbed: Testbed) -> float:
    """Return the CPU time per second, a share of a core, of the idle entry."""
    pid = testbed.daemon(ENTRY).pid
    before = cpu_seconds(pid)
    started = time.monotonic()
    time.sleep(IDLE_MEASUREMENT_S)
    return (cpu_seconds(pid) - before) / (time.monotonic() - started)


def _warm_up(client: HttpClient) -> None:
    """Query until the entry reaches all owners, then send queries of each fan-out.

    The first part ends after ``CONNECT_TIMEOUT_S`` at the latest.
    """
    until = time.monotonic() + CONNECT_TIMEOUT_S
    while not _is_query_complete(client, max(FAN_OUTS)):
        if time.monotonic() > until:
            break
    for fan_out in FAN_OUTS:
        for _ in range(WARM_UP_QUERIES):
            _run_query(client, fan_out)


def _time_query(client: HttpClient, fan_out: int) -> float:
    started = time.perf_counter()
    _run_query(client, fan_out)
    return time.perf_counter() - started


def _run_query(client: HttpClient, fan_out: int) -> None:
    answer = _send_query(client, fan_out)
    if answer["outcome"] != "complete":
        raise RuntimeError(
            f"fan-out {fan_out}: {str(answer.get('coverage', answer))[-500:]}"
        )


def _is_query_complete(client: HttpClient, fan_out: int) -> bool:
    return _send_query(client, fan_out)["outcome"] == "complete"


def _send_query(client: HttpClient, fan_out: int) -> dict:
    body = {"id": "q1", "route": f"{ROUTE}-{fan_out}", "parameters": {"echo": "e1"}}
    return client.request_json("POST", "/v1/queries", body)


def _topology_host(testbed: Testbed, host: TestbedHost) -> Host:
    return Host(host.id, testbed.peer_address(host), host.data_centre, "r1", host.roles)


def _cpu_points(points: list[_QueryCost]) -> list[tuple[float, float]]:
    return [(point.fan_out, point.cpu_s) for point in points]
