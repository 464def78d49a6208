"""Soak of floods of callers and replicas, with memory and descriptors limited.

See ``tests/soak.py``. Each run draws several kinds of ``tests.floods``, which overlap
with each other and with restarts, pauses, changes of the settings and cuts of the
store. A gateway is killed when it exceeds its memory, as on the platform.
"""

import contextlib
import os
import re
import resource
import select
import signal
import time
from random import Random
from typing import NamedTuple

import eventlet
from eventlet import tpool

from tests.floods import ENDLESS_ANSWERS, Flood, MemoryLimit
from tests.platform_standins import (
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_gateway_process import configuration

FLOOD_KINDS = ("replicas", "uploads", "unread", "silent", "small-chunks")
PHASE_S = 8.0
# Time within which a flood or a disruption begins.
BEGIN_WITHIN_S = 5.0
# ``Bounds.GraceS`` and ``Bounds.RecoverS`` of the platform.
GRACE_S = 6.0
RECOVER_S = 12.0
CLIENTS_PER_HOST = 3
# Time for each attempt, stated in the request.
DEADLINE_S = 2.0
ENDLESS_REPLICAS = 10
ENDLESS_REQUESTS_PER_S = 30
METRICS_PORT = 9464
LARGE_BODY = b"1" * 4_000_000
LOG_TAIL_LINES = 30
POLL_S = 0.02


class Attempt(NamedTuple):
    """One attempt to serve a request, in monotonic seconds.

    ``status`` is 0 if the connection failed or the deadline passed.
    """

    host: int
    sent_at: float
    ended_at: float
    status: int


class Disruption:
    """A time in monotonic seconds in which a host is paused, ending or starting."""

    def __init__(self, host):
        self.host = host
        self.begun_at = time.monotonic()
        self.ended_at = float("inf")


class FloodSoak:
    """One run, whose limits, floods and disruptions are drawn from ``seed``.

    Only the ``kinds`` of ``FLOOD_KINDS`` that are named are played.
    """

    def __init__(self, seed, kinds=FLOOD_KINDS):
        self.seed = seed
        self.kinds = kinds
        self.rng = Random(f"floods {seed}")
        self.host_count = self.rng.randint(1, 3)
        self.contact_s = self.rng.randint(20, 40) / 10
        self.memory_mb = [
            self.rng.choice((200, 300, 552)) for _ in range(self.host_count)
        ]
        self.max_descriptors = self.rng.choice((1100, 4100))
        self.started_at = time.monotonic()
        self.history = [
            f"{self.memory_mb} MB, {self.max_descriptors} descriptors, "
            f"contact {self.contact_s} s"
        ]
        self.log_tails = []
        # Attempts of each request, and times in which a host is disrupted.
        self.requests = []
        self.disruptions = []
        self.gateways, self.limits, self.floods = [], [], []
        self.violations = []
        # Statuses with which hosts may end that were told to.
        self.ending = {}
        self.is_stopping = False
        # Longest delay of a green thread, in seconds; clients are as late as this.
        self.lag_s = 0.0
        self.peaks_mb = [0] * self.host_count
        self.store = StoreStandIn()
        self.store_proxy = FaultProxy(self.store.address)
        self.replicas = [
            ReplicaStandIn("one", f"i-one{number}", b"1" * 16) for number in range(4)
        ]
        self.replicas.append(ReplicaStandIn("large", "i-large", LARGE_BODY))
        for replica in self.replicas:
            self.store.put(f"servers/{replica.id}", replica.entry())
        self._publish()

    @property
    def summary(self):
        """What was played."""
        served = sum(request[-1].status == 200 for request in self.requests)
        return (
            f"{served}/{len(self.requests)} served, peaks {self.peaks_mb} MB, "
            f"lag {self.lag_s:.2f} s"
        )

    def run(self):
        """Return the violated guarantees, as lines of text."""
        threads = []
        try:
            self._start_gateways()
            hosts = range(self.host_count)
            threads.append(eventlet.spawn(self._measure_lag))
            threads += [eventlet.spawn(self._keep_running, host) for host in hosts]
            threads += [
                eventlet.spawn(self._send_requests, host, number)
                for host in hosts
                for number in range(CLIENTS_PER_HOST)
            ]
            self._play()
            self.is_stopping = True
            for thread in threads:
                thread.wait()
            return self._find_violations()
        finally:
            for thread in threads:
                thread.kill()
            for part in [
                *self.floods,
                *self.gateways,
                *self.limits,
                *self.replicas,
                self.store_proxy,
                self.store,
            ]:
                part.stop()

    # Processes

    def _publish(self):
        value = configuration(7)
        service = value["Services"][0]
        names = ("one", "bad", "large")
        value["Services"] = [{**service, "Name": name} for name in names]
        route = next(each for each in value["Routes"] if each["Name"] == "read")
        value["Routes"] = [route] + [
            {**route, "Name": name, "Prefix": f"/{name}/", "Service": name}
            for name in names[1:]
        ]
        value["Limits"] |= {"MaxBodyBytes": 262144, "HeaderTimeoutMs": 10000}
        self.store.put("op/config", value)

    def _start_gateways(self):
        port = free_port()
        # The metrics have a fixed port, so that runs beside each other need networks.
        network = f"127.{os.getpid() % 200 + 40}.{self.seed % 250}"
        addresses = [f"{network}.{number + 2}" for number in range(self.host_count)]
        for host, address in enumerate(addresses):
            gateway = GatewayProcess(
                self.store_proxy,
                node=f"host-{host}",
                host=address,
                peer_port=port,
                seeds=",".join(f"{each}:{port}" for each in addresses),
                contact_ms=int(1000 * self.contact_s),
                is_started=False,
            )
            self.gateways.append(gateway)
            self._rewrite(host, "Limits.MemoryMb", self.memory_mb[host])
            self._rewrite(host, "Limits.MaxFds", self.max_descriptors)
            self.limits.append(None)
            self._start(host)
        wait_for(lambda: all(g.is_ready() for g in self.gateways), "readiness")
        count = len(self.replicas)
        wait_for(
            lambda: all(
                len(g.events("replica_changed")) >= count for g in self.gateways
            ),
            "the replicas",
        )

    def _rewrite(self, host, name, value):
        path = self.gateways[host].settings_path
        text = re.sub(rf"(?m)^{name}=.*$", f"{name}={value}", path.read_text())
        path.write_text(text)

    def _start(self, host):
        gateway = self.gateways[host]
        gateway.start()
        pid = gateway.process.pid
        descriptors = (self.max_descriptors, self.max_descriptors)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, descriptors)
        self.limits[host] = MemoryLimit(pid, 1_000_000 * self.memory_mb[host])

    def _keep_running(self, host):
        """Start a host again each time that it has ended."""
        while not self.is_stopping:
            eventlet.sleep(POLL_S)
            if self.gateways[host].process.poll() is None:
                continue
            with self._disrupt(host):
                self._check_end(host)
                self._start(host)
                while not self.is_stopping and not self._is_ready(host):
                    eventlet.sleep(POLL_S)
                self.ending.pop(host, None)

    def _check_end(self, host):
        """Note a violation if a host has ended by itself."""
        status, limit = self.gateways[host].process.poll(), self.limits[host]
        peak_mb = round(limit.peak_bytes / 1e6)
        self.peaks_mb[host] = max(self.peaks_mb[host], peak_mb)
        if status is None and not limit.was_exceeded:
            return
        if limit.was_exceeded or status not in self.ending.get(host, ()):
            text = f"host {host} ended with {status}, peak {peak_mb} MB"
            self._log(text)
            self.violations.append(text)

    def _is_ready(self, host):
        try:
            with eventlet.Timeout(DEADLINE_S, OSError("no answer")):
                return self.gateways[host].is_ready()
        except (OSError, IndexError, ValueError):
            return False

    @contextlib.contextmanager
    def _disrupt(self, host):
        disruption = Disruption(host)
        self.disruptions.append(disruption)
        try:
            yield
        finally:
            disruption.ended_at = time.monotonic()

    def _measure_lag(self):
        while not self.is_stopping:
            due_at = time.monotonic() + POLL_S
            eventlet.sleep(POLL_S)
            self.lag_s = max(self.lag_s, time.monotonic() - due_at)

    # Floods and disruptions

    def _play(self):
        rng = self.rng
        kinds = rng.sample(FLOOD_KINDS, rng.randint(2, 4))
        plays = [(self._flood, kind) for kind in kinds]
        draws = (self._pause, self._stop, self._cut, self._reload)
        hosts = range(self.host_count)
        plays += [
            (rng.choice(draws), rng.choice(hosts)) for _ in range(rng.randint(1, 4))
        ]
        # All is drawn also for kinds that are not played, so that the rest stays.
        events = sorted(
            (rng.uniform(0.0, BEGIN_WITHIN_S), rng.random(), number)
            for number in range(len(plays))
        )
        begun_at = time.monotonic()
        threads = []
        for after_s, seed, number in events:
            action, subject = plays[number]
            if subject in FLOOD_KINDS and subject not in self.kinds:
                continue
            eventlet.sleep(max(0.0, begun_at + after_s - time.monotonic()))
            threads.append(eventlet.spawn(action, subject, Random(seed)))
        eventlet.sleep(max(0.0, begun_at + PHASE_S - time.monotonic()))
        for thread in threads:
            thread.wait()

    def _flood(self, kind, rng):
        host = rng.randrange(self.host_count)
        addresses = [self.gateways[host].caller_address]
        count = {
            "replicas": 0,
            "uploads": rng.randint(200, 1000),
            "unread": rng.randint(10, 60),
            "silent": self.max_descriptors + 300,
            "small-chunks": rng.randint(20, 200),
        }[kind]
        if kind == "replicas":
            kind = rng.choice(sorted(ENDLESS_ANSWERS))
            addresses = [("127.0.0.1", free_port()) for _ in range(ENDLESS_REPLICAS)]
        self._log(f"{kind}, {count} callers of host {host}")
        path = "/large/x" if kind == "unread" else "/read/x"
        # The constructor waits for another process; replicas answer meanwhile.
        flood = tpool.execute(Flood, kind, addresses, count=count, path=path)
        self.floods.append(flood)
        if kind in ENDLESS_ANSWERS:
            entry = self.replicas[0].entry(Service="bad")
            for address, port in addresses:
                entry["Address"] = f"{address}:{port}"
                self.store.put(f"servers/i-bad{port}", entry)
            self._request_endless()

    def _request_endless(self):
        def ask(number):
            gateway = self.gateways[number % self.host_count]
            with contextlib.suppress(OSError, AssertionError, IndexError, ValueError):
                gateway.ask(f"/bad/{number}", request_id=f"bad{number}")

        for number in range(int(PHASE_S * ENDLESS_REQUESTS_PER_S)):
            if self.is_stopping:
                return
            eventlet.spawn_n(ask, number)
            eventlet.sleep(1.0 / ENDLESS_REQUESTS_PER_S)

    def _pause(self, host, rng):
        process = self.gateways[host].process
        for_s = rng.uniform(0.1, 1.5)
        self._log(f"host {host} paused for {for_s:.2f} s")
        with self._disrupt(host):
            process.send_signal(signal.SIGSTOP)
            eventlet.sleep(for_s)
            process.send_signal(signal.SIGCONT)

    def _stop(self, host, rng):
        if host in self.ending:
            return
        process = self.gateways[host].process
        self._log(f"host {host} SIGTERM")
        with self._disrupt(host):
            self.ending[host] = {0}
            process.send_signal(signal.SIGTERM)
            kill_at = time.monotonic() + GRACE_S
            while process.poll() is None and time.monotonic() < kill_at:
                eventlet.sleep(POLL_S)
            if process.poll() is None:
                self._log(f"host {host} SIGKILL")
                self.ending[host].add(-signal.SIGKILL)
                process.kill()
                process.wait()
            while host in self.ending and not self.is_stopping:
                eventlet.sleep(POLL_S)

    def _cut(self, host, rng):
        for_s = rng.uniform(0.2, 1.5)
        mode = rng.choice(("refuse", "sever", "silence", "cut"))
        self._log(f"store {mode} for {for_s:.2f} s")
        self.store_proxy.mode = mode
        eventlet.sleep(for_s)
        self.store_proxy.mode = "pass"

    def _reload(self, host, rng):
        """Change the settings of a host and tell it so, several times in a row."""
        self._log(f"host {host} SIGHUP")
        for _ in range(rng.randint(1, 4)):
            # A process that is starting has no handler of the signal yet.
            if host in self.ending:
                return
            self._rewrite(host, "Bounds.RetrySlack", rng.randint(20, 80))
            self.gateways[host].process.send_signal(signal.SIGHUP)
            eventlet.sleep(rng.uniform(0.0, 0.3))

    def _log(self, text):
        self.history.append(f"{time.monotonic() - self.started_at:6.2f} s: {text}")

    # Clients

    def _send_requests(self, host, number):
        rng = Random(f"client {self.seed} {host} {number}")
        idle_sockets = {}
        count = 0
        while not self.is_stopping:
            eventlet.sleep(rng.uniform(0.05, 0.15))
            count += 1
            request_id = f"c{host}{number}x{count}"
            attempts = [self._ask(host, request_id, idle_sockets)]
            if attempts[0].status != 200 and self.host_count > 1:
                other = (host + rng.randrange(1, self.host_count)) % self.host_count
                attempts.append(self._ask(other, f"{request_id}r", idle_sockets))
            self.requests.append(attempts)
        for sock in idle_sockets.values():
            sock.close()

    def _ask(self, host, request_id, idle_sockets):
        """Make one attempt, on the open connection to the host if there is one."""
        gateway = self.gateways[host]
        sent_at = time.monotonic()
        sock = idle_sockets.pop(host, None)
        status, headers = 0, {}
        # A connection that has been closed while it was idle is readable.
        if sock is not None and select.select([sock], [], [], 0.0)[0]:
            sock.close()
            sock = None
        try:
            with eventlet.Timeout(DEADLINE_S, OSError("no answer")):
                sock = sock or eventlet.connect(gateway.caller_address)
                status, headers, _ = gateway.ask_on(
                    sock,
                    f"/read/{request_id}",
                    request_id,
                    "GET",
                    b"",
                    deadline_ms=int(1000 * DEADLINE_S),
                )
        except (OSError, IndexError, ValueError):
            status = 0
        if status and headers.get("connection") != "close":
            idle_sockets[host] = sock
        elif sock is not None:
            sock.close()
        return Attempt(host, sent_at, time.monotonic(), status or 0)

    # Guarantees

    def _find_violations(self):
        for flood in self.floods:
            flood.stop()
        self.floods.clear()
        deadline = time.monotonic() + RECOVER_S
        for host, gateway in enumerate(self.gateways):
            self._check_end(host)
            if gateway.process.poll() is None:
                while not self._is_ready(host) and time.monotonic() < deadline:
                    eventlet.sleep(POLL_S)
                if not self._is_ready(host):
                    self.violations.append(f"host {host} is not ready afterwards")
                self._check_drops(host)
            errors = [each["text"] for each in gateway.events("message")]
            if "Traceback" in gateway.log_path.read_text():
                errors.append("traceback")
            self.violations += [f"host {host}: {each}" for each in errors]
        lost = [each for each in self.requests if self._is_owed(each)]
        owed = sum(self._is_undisrupted(each[0]) for each in self.requests)
        if lost:
            text = (
                f"{len(lost)} of {owed} owed requests not served, the first {lost[0]}"
            )
            self.violations.append(text)
        if self.violations:
            for host, gateway in enumerate(self.gateways):
                events = [each for each in gateway.events() if "id" not in each]
                tail = [str(each)[:300] for each in events[-LOG_TAIL_LINES:]]
                self.log_tails.append([f"host {host}:", *tail])
        return [f"seed {self.seed}: {each}" for each in self.violations]

    def _is_owed(self, attempts):
        """Tell whether a request was not served that should have been."""
        return attempts[-1].status != 200 and self._is_undisrupted(attempts[0])

    def _is_undisrupted(self, attempt):
        """Tell whether a host was up from ContactMs before an attempt until its end."""
        return not any(
            each.host == attempt.host
            and each.begun_at < attempt.ended_at
            and each.ended_at > attempt.sent_at - self.contact_s
            for each in self.disruptions
        )

    def _check_drops(self, host):
        """Compare the drops that a process has counted with its events."""
        gateway = self.gateways[host]
        metrics_address = (gateway.caller_address[0], METRICS_PORT)
        deadline = time.monotonic() + RECOVER_S
        while time.monotonic() < deadline:
            counted = None
            with (
                contextlib.suppress(OSError, IndexError, ValueError),
                eventlet.Timeout(DEADLINE_S, OSError("no answer")),
            ):
                _, _, page = gateway.ask("/metrics", address=metrics_address)
                counted = sum(
                    float(line.rpartition(" ")[2])
                    for line in page.decode().splitlines()
                    if "holders_dropped_total{" in line
                )
                # A line that the log has left out is counted in the next one.
                gateway.ask("/read/last")
            logged = self._count_drop_events(gateway.events())
            if counted == logged:
                return
            eventlet.sleep(POLL_S)
        text = f"host {host}: {counted} drops counted, {logged} logged"
        self.violations.append(text)

    @staticmethod
    def _count_drop_events(events):
        starts = [n for n, each in enumerate(events) if each["event"] == "started"]
        count = 0
        for each in events[starts[-1] if starts else 0 :]:
            count += each["event"] == "memory_dropped"
            count += each.get("left_out", {}).get("memory_dropped", 0)
        return count
