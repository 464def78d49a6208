"""Cost of a query on its entry, and latency of the whole path."""

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
QUERIES = {1: 400, 10: 250, 50: 120, 100: 80, 190: 60}
LATENCY_QUERIES = 120
FEW_OWNERS = 10
WARM_UP_QUERIES = 20
IDLE_S = 2.0
STOP_CHECK_S = 0.1
ROWS = b'[{"shard":"catalogue/s000","snapshot":41,"echo":"0123456789abcdef"}]'
ENTRY = TestbedHost("entry", "dc-entry", ("entry",))
LATENCY_OWNERS = 5
CONNECT_TIMEOUT_S = 10.0
# An owner uses all slots of a replica 1 s after it took it over.
TAKEOVER_S = 1.2


class _Point(NamedTuple):
    """One fan-out: CPU seconds and peer bytes per query, both directions."""

    fan_out: int
    cpu_s: float
    sent: float
    received: float


class _FakeOwner:
    """Answers every read and every ping at once.

    Its failure detector gets no ticks: it probes nobody and so suspects nobody.
    """

    def __init__(self, host: Host, others: list[Host], rng):
        self.host = host
        self.receiver = pynng.Pull0(recv_buffer_size=1024)
        self.receiver.listen(f"tcp://{host.address}")
        table = MemberTable(host, time.time_ns() // 1_000_000)
        self.prober = Prober(table, rng, seeds=[other.address for other in others])
        self._senders: dict[str, pynng.Push0] = {}

    def handle_waiting(self) -> None:
        """Handle the messages that wait in the socket."""
        while True:
            try:
                frame = self.receiver.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle(decode(frame))

    def send(self, address: str, message: object) -> None:
        """Send a message; it is dropped when the peer cannot take it."""
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
                    read.number, "", "", message.snapshot, ROWS, 0.0, 0.002, False
                )
                for read in message.reads
            ]
            self.send(message.sender, ReadAnswers(message.query, answers))
        elif isinstance(message, Ping | Ack | PingRequest):
            for address, answer in self.prober.receive(message, time.monotonic()):
                self.send(address, answer)


class _FakeOwners:
    """Runs all fake owners in one thread; only the entry knows them."""

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
            for key, _ in selector.select(STOP_CHECK_S):
                key.data.handle_waiting()
        selector.close()


def measure_entry() -> list[Slope]:
    """Measure the entry with as many owners as shards and with few owners."""
    spread = _measure_fan_outs(max(FAN_OUTS))
    packed = _measure_fan_outs(FEW_OWNERS)
    cpu = "CPU s of the entry per query"
    return [
        Slope("entry-query", "shards, each with its own owner", cpu, _cpu(spread)),
        Slope(
            "entry-query-ten-owners",
            f"shards of at most {FEW_OWNERS} owners",
            cpu,
            _cpu(packed),
        ),
        Slope(
            "entry-bytes-sent",
            "shards, each with its own owner",
            "bytes to owners per query",
            [(point.fan_out, point.sent) for point in spread],
        ),
        Slope(
            "entry-bytes-received",
            "shards, each with its own owner",
            "bytes from owners per query",
            [(point.fan_out, point.received) for point in spread],
        ),
    ]


def measure_latency() -> list[Slope]:
    """Measure the whole path: caller, entry, owners and upstreams of 5 ms."""
    centres = tuple(f"dc{number}" for number in range(LATENCY_OWNERS))
    hosts = [ENTRY, *(TestbedHost(f"owner-{c}", c, ("owner",)) for c in centres)]
    upstreams = Upstreams(max(FAN_OUTS), centres, slots=2, service_s=0.005, processes=3)
    medians, tails = [], []
    with Testbed(hosts, upstreams, fan_outs=FAN_OUTS) as testbed:
        client = HttpClient(testbed.caller_address(ENTRY))
        _warm_up(client)
        time.sleep(TAKEOVER_S)
        for fan_out in FAN_OUTS:
            times = [_timed_ask(client, fan_out) for _ in range(LATENCY_QUERIES)]
            medians.append((fan_out, 1000 * statistics.median(times)))
            tails.append((fan_out, 1000 * statistics.quantiles(times, n=100)[98]))
        client.close()
    unit = "shards over 5 owners, upstreams of 5 ms"
    return [
        Slope("path-latency-p50", unit, "ms of wall time", medians),
        Slope("path-latency-p99", unit, "ms of wall time", tails),
    ]


def _measure_fan_outs(owner_count: int) -> list[_Point]:
    centres = tuple(f"dc{number:03}" for number in range(owner_count))
    hosts = [
        ENTRY,
        *(TestbedHost(f"fake-{c}", c, ("owner",), is_fake=True) for c in centres),
    ]
    upstreams = Upstreams(max(FAN_OUTS), centres, is_fake=True)
    with Testbed(hosts, upstreams, fan_outs=FAN_OUTS) as testbed:
        owners = _FakeOwners(testbed, hosts, _topology_host(testbed, ENTRY))
        owners.start()
        client = HttpClient(testbed.caller_address(ENTRY))
        try:
            _warm_up(client)
            idle_rate = _idle_rate(testbed)
            return [_measure_fan_out(testbed, client, n, idle_rate) for n in FAN_OUTS]
        finally:
            client.close()
            owners.stop()


def _measure_fan_out(
    testbed: Testbed, client: HttpClient, fan_out: int, idle_rate: float
) -> _Point:
    count = QUERIES[fan_out]
    pid = testbed.daemon(ENTRY).pid
    bytes_before = testbed.peer_bytes(ENTRY)
    before = cpu_seconds(pid)
    started = time.monotonic()
    for _ in range(count):
        _ask(client, fan_out)
    elapsed_s = time.monotonic() - started
    cpu_s = cpu_seconds(pid) - before - idle_rate * elapsed_s
    bytes_after = testbed.peer_bytes(ENTRY)
    sent, received = (
        bytes_after.get(key, 0.0) - bytes_before.get(key, 0.0)
        for key in (("sent", "ReadBatch"), ("received", "ReadAnswers"))
    )
    return _Point(fan_out, cpu_s / count, sent / count, received / count)


def _idle_rate(testbed: Testbed) -> float:
    pid = testbed.daemon(ENTRY).pid
    before = cpu_seconds(pid)
    started = time.monotonic()
    time.sleep(IDLE_S)
    return (cpu_seconds(pid) - before) / (time.monotonic() - started)


def _warm_up(client: HttpClient) -> None:
    """Ask until the entry reaches every owner, then a few queries of each size."""
    until = time.monotonic() + CONNECT_TIMEOUT_S
    while not _try_ask(client, max(FAN_OUTS)):
        if time.monotonic() > until:
            break
    for fan_out in FAN_OUTS:
        for _ in range(WARM_UP_QUERIES):
            _ask(client, fan_out)


def _timed_ask(client: HttpClient, fan_out: int) -> float:
    started = time.perf_counter()
    _ask(client, fan_out)
    return time.perf_counter() - started


def _ask(client: HttpClient, fan_out: int) -> None:
    answer = _query(client, fan_out)
    if answer["outcome"] != "complete":
        raise RuntimeError(
            f"fan-out {fan_out}: {str(answer.get('coverage', answer))[-500:]}"
        )


def _try_ask(client: HttpClient, fan_out: int) -> bool:
    return _query(client, fan_out)["outcome"] == "complete"


def _query(client: HttpClient, fan_out: int) -> dict:
    body = {"id": "q1", "route": f"{ROUTE}-{fan_out}", "parameters": {"echo": "e1"}}
    return client.request_json("POST", "/v1/queries", body)


def _topology_host(testbed: Testbed, host: TestbedHost) -> Host:
    return Host(host.id, testbed.peer_address(host), host.data_centre, "r1", host.roles)


def _cpu(points: list[_Point]) -> list[tuple[float, float]]:
    return [(point.fan_out, point.cpu_s) for point in points]
