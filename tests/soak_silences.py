"""Soak of connections that go silent for good, and of the bounds that hold after it.

See ``tests/soak.py``. Each cycle of a run draws overlapping troubles and changes of the
platform, and then stays calm for as long as every host may take to know these changes.
"""

import signal
import time
from random import Random
from typing import NamedTuple

import eventlet

from tests.platform_standins import (
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.soak_bounds import (
    Arrival,
    Bounds,
    BoundsCheck,
    Departure,
    Disruptions,
    Request,
    Version,
    Violation,
)
from tests.test_gateway_process import configuration

SERVICES = ["s0", "s1", "s2"]
# Routes that move between services.
MOVING = ["m0", "m1", "m2"]
HOSTS = 3
CLIENTS_PER_HOST = 2
TROUBLE_S = 2.5
# Time for which the hosts are watched after all bounds have passed.
WATCHED_S = 2.0
# Time within which entries that expired are back after an outage.
RETURN_S = 2.0
# Time after which a host that ended is started again.
RESTART_S = 0.3
# A process that ends this soon after a disruption did not end by itself.
SLACK_AFTER_DISRUPTION_S = 1.0
# Time between two looks at whether a host has ended.
POLL_S = 0.02
LOG_TAIL_LINES = 30
# Outages of the store, and of the links of hosts to it.
STORE_OUTAGES = ("503", "429", "slow", "lost")
LINK_OUTAGES = ("refuse", "sever", "reset", "cut")


class Event(NamedTuple):
    """A trouble or a change that was drawn, and its time from the start of a cycle."""

    after_s: float
    action: object
    arguments: dict


class SilenceSoak:
    """One run, whose settings, troubles and changes are drawn from ``seed``."""

    def __init__(self, seed, cycles=2):
        self.seed = seed
        self.cycles = cycles
        self.rng = Random(f"silences {seed}")
        # Draws which connections fall silent; how many there are depends on time.
        self.mute_rng = Random(f"mutes {seed}")
        self.bounds = Bounds(
            self.rng.randint(20, 60) / 10,
            self.rng.randint(10, 60) / 10,
            self.rng.randint(10, 60) / 10,
        )
        has_relay = self.rng.random() < 0.5
        self.history = [f"{self.bounds}, {'a larger host' if has_relay else 'equal'}"]
        self.log_tails = []
        self.disruptions = Disruptions()
        self.requests, self.versions, self.departures = [], [], []
        # Troubles that have not ended, and what else goes on in green threads.
        self.threads = []
        self.is_stopping = False
        self.started_at = time.monotonic()
        self.settled_at = 0.0
        self.store = StoreStandIn()
        self.store_proxies = [FaultProxy(self.store.address) for _ in range(HOSTS)]
        self.replicas, self.proxies = {}, {}
        # Ids of the replicas in the store that are not draining, also of expired ones.
        self.listed = []
        self.expired = set()
        for service in SERVICES:
            for _ in range(2):
                self._add_replica(service)
        self.routes = {f"stay-{service}": service for service in SERVICES}
        self.routes |= dict(zip(MOVING, SERVICES, strict=True))
        self._publish(7)
        port = free_port()
        addresses = [f"127.0.0.{number}" for number in range(2, 2 + HOSTS)]
        self.gateways = [
            GatewayProcess(
                self.store_proxies[host],
                node=f"host-{host}",
                host=address,
                peer_port=port,
                seeds=",".join(f"{each}:{port}" for each in addresses),
                link_mbps=100 if has_relay and host == 0 else 10,
                contact_ms=int(1000 * self.bounds.contact_s),
                apply_ms=int(1000 * self.bounds.apply_s),
                drain_ms=int(1000 * self.bounds.drain_s),
                data_centre="dc-b" if host == HOSTS - 1 else "dc-a",
            )
            for host, address in enumerate(addresses)
        ]
        self.processes = [0] * HOSTS
        # Hosts that were told to end, and the others that did: with time and status.
        self.ending = set()
        self.own_ends = []

    @property
    def summary(self):
        """What was played."""
        served = sum(request.status == 200 for request in self.requests)
        muted = sum(len(proxy.muted_at) for proxy in self.store_proxies)
        return (
            f"{served}/{len(self.requests)} served, {muted} muted, "
            f"{len(self.versions)} versions, {len(self.departures)} departures"
        )

    def run(self):
        """Return the violated guarantees, as lines of text."""
        try:
            for host in range(HOSTS):
                self.disruptions.add(host, self.started_at, time.monotonic())
            wait_for(lambda: all(g.is_ready() for g in self.gateways), "readiness")
            threads = [
                eventlet.spawn(self._send_requests, host, number)
                for host in range(HOSTS)
                for number in range(CLIENTS_PER_HOST)
            ]
            threads += [eventlet.spawn(self._keep_running, n) for n in range(HOSTS)]
            for _ in range(self.cycles):
                self._play_cycle()
            self.is_stopping = True
            for thread in threads:
                thread.wait()
            return self._find_violations()
        finally:
            for part in [
                *self.gateways,
                *self.proxies.values(),
                *self.replicas.values(),
                *self.store_proxies,
                self.store,
            ]:
                part.stop()

    # Troubles and changes

    def _play_cycle(self):
        eventlet.sleep(self.rng.uniform(0.0, 3.0))
        begun_at = time.monotonic()
        events = sorted(self._draw_events(), key=lambda event: event.after_s)
        for event in events:
            eventlet.sleep(max(0.0, begun_at + event.after_s - time.monotonic()))
            self.threads.append(eventlet.spawn(event.action, **event.arguments))
        while self.threads:
            self.threads.pop().wait()
        wait_for(lambda: not self.ending, "the start of hosts that were ended")
        ended_at = time.monotonic()
        calm_at = max(
            max(self.disruptions.last_end(host, ended_at) for host in range(HOSTS))
            + self.bounds.contact_s,
            self.versions[-1].acknowledged_at + self.bounds.apply_s,
            self.settled_at + self.bounds.drain_s,
        )
        eventlet.sleep(max(0.0, calm_at + WATCHED_S - time.monotonic()))

    def _draw_events(self):
        """Return the troubles and changes of a cycle."""
        rng = self.rng
        actions = [self._draw_silence()] if rng.random() < 0.6 else []
        draws = (self._draw_silence, self._draw_outage, self._draw_signal)
        actions += [rng.choice(draws)() for _ in range(rng.randint(1, 3))]
        actions.append((self._change_routes, {"seed": rng.random()}))
        changes = (self._change_routes, self._leave, self._leave, self._join)
        actions += [
            (rng.choice(changes), {"seed": rng.random()})
            for _ in range(rng.randint(1, 4))
        ]
        return [
            Event(rng.uniform(0.0, TROUBLE_S), action, arguments)
            for action, arguments in actions
        ]

    def _draw_silence(self):
        rng = self.rng
        return self._silence, {
            "hosts": self._draw_hosts(),
            "share": rng.choice((1.0, 1.0, 0.5)),
            "is_after_half": rng.random() < 0.3,
            "new_for_s": rng.choice((0.0, 0.0, rng.uniform(0.2, 2.0))),
            "has_replicas": rng.random() < 0.3,
        }

    def _draw_outage(self):
        rng = self.rng
        return self._break_store, {
            "how": rng.choice(STORE_OUTAGES + LINK_OUTAGES),
            "hosts": self._draw_hosts(),
            "for_s": rng.uniform(0.1, 2.0),
            "seed": rng.random(),
        }

    def _draw_signal(self):
        return self._signal, {
            "host": self.rng.randrange(HOSTS),
            "name": self.rng.choice(("SIGHUP", "SIGTERM", "SIGKILL", "SIGSTOP")),
            "for_s": self.rng.uniform(0.1, 1.5),
        }

    def _draw_hosts(self):
        everyone = list(range(HOSTS))
        return self.rng.choice((everyone, everyone, [self.rng.randrange(HOSTS)]))

    def _silence(self, hosts, share, is_after_half, new_for_s, has_replicas):
        self._log(
            f"connections of hosts {hosts} silent, share {share}, after half an answer "
            f"{is_after_half}, new ones for {new_for_s:.2f} s, to replicas too "
            f"{has_replicas}"
        )
        proxies = [self.store_proxies[host] for host in hosts]
        proxies += list(self.proxies.values()) if has_replicas else []
        begun_at = time.monotonic()
        for proxy in proxies:
            proxy.mutes_new = new_for_s > 0.0
            proxy.mute(share, self.mute_rng, is_after_half=is_after_half)
        eventlet.sleep(max(new_for_s, TROUBLE_S if is_after_half else 0.0))
        for proxy in proxies:
            proxy.mutes_new = False
            proxy.mute_halved()
        # The silence of any connection counts as a disruption of all hosts.
        ends = [at for proxy in proxies for at in proxy.muted_at if at >= begun_at]
        ends += [begun_at + new_for_s]
        for host in range(HOSTS):
            self.disruptions.add(host, begun_at, max(ends))
        self._log(f"the last of them silent {max(ends) - begun_at:.2f} s later")

    def _break_store(self, how, hosts, for_s, seed):
        begun_at = time.monotonic()
        is_core = how in STORE_OUTAGES
        where = "store" if is_core else f"links of hosts {hosts} to the store"
        self._log(f"{where}: {how} for {for_s:.2f} s")
        expired = []
        if is_core:
            self._set_store(how)
        else:
            for host in hosts:
                self.store_proxies[host].mode = how
        if how in ("503", "429") and for_s > 0.5:
            rng = Random(seed)
            eventlet.sleep(for_s / 2)
            services = [each for each in SERVICES if rng.random() < 0.5]
            expired = [
                each
                for each in self.listed
                if each not in self.expired and self.replicas[each].service in services
            ]
            self._expire(expired)
            eventlet.sleep(for_s / 2)
        else:
            eventlet.sleep(for_s)
        if is_core:
            self._set_store(None)
        else:
            for host in hosts:
                self.store_proxies[host].mode = "pass"
        ended_at = time.monotonic()
        # Refusals of some hosts may count as a disruption of the store.
        if is_core or how == "refuse":
            self.disruptions.add(Disruptions.STORE, begun_at, ended_at)
        if not is_core:
            for host in hosts:
                self.disruptions.add(host, begun_at, ended_at)
        if expired:
            eventlet.sleep(Random(seed).uniform(0.0, RETURN_S - 0.1))
            self._return(expired)

    def _set_store(self, how):
        self.store.is_down = how in ("503", "429")
        self.store.refusal_status = 429 if how == "429" else 503
        self.store.delay_s = 0.8 if how == "slow" else 0.0
        self.store.loses_answers = how == "lost"

    def _expire(self, replica_ids):
        self._log(f"entries of {replica_ids} expire")
        for replica_id in replica_ids:
            self.expired.add(replica_id)
            self.store.delete(f"servers/{replica_id}")

    def _return(self, replica_ids):
        self._log(f"entries of {replica_ids} are back")
        for replica_id in replica_ids:
            self.expired.discard(replica_id)
            self._put_entry(replica_id, Seq=2)

    def _signal(self, host, name, for_s):
        process = self.gateways[host].process
        self._log(f"host {host} {name}")
        if process.poll() is not None:
            return
        if name != "SIGHUP":
            self.disruptions.add(host, time.monotonic(), time.monotonic())
        if name in ("SIGTERM", "SIGKILL"):
            self.ending.add(host)
        process.send_signal(signal.Signals[name])
        if name == "SIGSTOP":
            begun_at = time.monotonic()
            eventlet.sleep(for_s)
            process.send_signal(signal.SIGCONT)
            self.disruptions.add(host, begun_at, time.monotonic())

    def _keep_running(self, host):
        """Start a host again each time that it has ended."""
        gateway = self.gateways[host]
        while not self.is_stopping:
            eventlet.sleep(POLL_S)
            if gateway.process.poll() is None:
                continue
            now = time.monotonic()
            status = gateway.process.returncode
            self._log(f"host {host} has ended with {status}")
            if host not in self.ending:
                self.own_ends.append((host, now, status))
            self.ending.add(host)
            eventlet.sleep(RESTART_S)
            gateway.start()
            self.processes[host] += 1
            self.ending.discard(host)
            self.disruptions.add(host, now, time.monotonic())

    def _change_routes(self, seed):
        """Move a route, add one, and sometimes drop one that was added before."""
        rng = Random(seed)
        number = self.versions[-1].number + rng.randint(1, 3)
        moved = rng.choice(MOVING)
        others = [each for each in SERVICES if each != self.routes[moved]]
        self.routes = self.routes | {moved: rng.choice(others)}
        added = [name for name in self.routes if name.startswith("v")]
        if added and rng.random() < 0.5:
            self.routes.pop(rng.choice(added))
        self.routes[f"v{number}"] = rng.choice(SERVICES)
        self._publish(number)

    def _publish(self, number):
        sample = configuration(number)
        base = sample["Routes"][1]
        routes = [
            base | {"Name": name, "Prefix": f"/{name}/", "Service": service}
            for name, service in self.routes.items()
        ]
        services = [sample["Services"][0] | {"Name": name} for name in SERVICES]
        document = sample | {"Routes": routes, "Services": services}
        self.store.put("op/config", document)
        self.versions.append(Version(number, time.monotonic(), dict(self.routes)))
        self._log(f"version {number}: {self.routes}")

    def _leave(self, seed):
        """Let a replica leave that is not the last one of its service."""
        rng = Random(seed)
        present = [each for each in self.listed if each not in self.expired]
        services = [self.replicas[each].service for each in present]
        candidates = [
            each
            for each, service in zip(present, services, strict=True)
            if services.count(service) > 1
        ]
        if not candidates:
            return
        replica_id = rng.choice(candidates)
        self.listed.remove(replica_id)
        how = rng.choice(("draining", "removed"))
        if how == "draining":
            self._put_entry(replica_id, State="draining", Seq=3)
        else:
            self.store.delete(f"servers/{replica_id}")
        self.settled_at = time.monotonic()
        self.departures.append(Departure(replica_id, how, self.settled_at))
        self._log(f"{replica_id} {how}")

    def _join(self, seed):
        replica_id = self._add_replica(Random(seed).choice(SERVICES))
        self._log(f"{replica_id} joins")

    def _add_replica(self, service):
        replica_id = f"i-{service}-{len(self.replicas)}"
        replica = ReplicaStandIn(service, replica_id)
        self.replicas[replica_id] = replica
        self.proxies[replica_id] = FaultProxy(replica.address)
        self.listed.append(replica_id)
        self._put_entry(replica_id)
        return replica_id

    def _put_entry(self, replica_id, **changes):
        address = self.proxies[replica_id].address
        entry = self.replicas[replica_id].entry(Address=address, **changes)
        self.store.put(f"servers/{replica_id}", entry)

    def _log(self, text):
        self.history.append(f"{time.monotonic() - self.started_at:6.2f} s: {text}")

    # Clients

    def _send_requests(self, host, number):
        """Send requests to a host, on one connection as long as it stays open."""
        rng = Random(f"client {self.seed} {host} {number}")
        gateway = self.gateways[host]
        sock, process = None, 0
        count = 0
        while not self.is_stopping:
            eventlet.sleep(rng.uniform(0.01, 0.05))
            route = rng.choice(self._known_routes())
            count += 1
            request_id = f"c{host}{number}x{count}"
            sent_at = time.monotonic()
            status, headers = None, {}
            try:
                if sock is None:
                    sock = eventlet.connect(gateway.caller_address)
                    process = self.processes[host]
                with eventlet.Timeout(5.0, OSError("no answer")):
                    status, headers, _ = gateway.ask_on(
                        sock, f"/{route}/x", request_id, "GET", b"", deadline_ms=1000
                    )
            except OSError:
                status = None
            ended_at = time.monotonic()
            self.requests.append(
                Request(request_id, route, host, process, sent_at, ended_at, status)
            )
            if sock and (status is None or headers.get("connection") == "close"):
                sock.close()
                sock = None
        if sock is not None:
            sock.close()

    def _known_routes(self):
        """Return the routes of the latest versions, also those that were dropped."""
        latest = [name for each in self.versions[-4:] for name in each.services]
        return [*self.routes, *latest[-2:], f"v{self.versions[-1].number}", *MOVING]

    # Guarantees

    def _find_violations(self):
        arrivals = [
            Arrival(headers["x-request-id"], replica.id, replica.service, at)
            for replica in self.replicas.values()
            for (_, headers, _), at in zip(
                replica.requests, replica.arrivals, strict=True
            )
            if headers["x-expect-instance"] == replica.id
        ]
        check = BoundsCheck(
            self.bounds,
            self.versions,
            self.departures,
            self.disruptions,
            self.started_at,
        )
        steady = [name for name in self.routes if name.startswith("stay")]
        found = check.find_violations(self.requests, arrivals, steady)
        for host, at, status in self.own_ends:
            since = at - SLACK_AFTER_DISRUPTION_S
            # It ended up to one look before.
            if self.disruptions.is_free(host, since, at - POLL_S):
                text = f"FAULT: ended with {status} at {at - self.started_at:.2f} s"
                found.append(Violation(host, text))
        for host in sorted({violation.host for violation in found}):
            self.log_tails.append([f"host {host}:", *self._log_tail(host)])
        return [f"seed {self.seed}, host {host}: {text}" for host, text in found]

    def _log_tail(self, host):
        """Return the last events of a host that are not about single requests."""
        offset = time.monotonic() - time.time() - self.started_at
        events = [each for each in self.gateways[host].events() if "id" not in each]
        return [
            f"{each['time'] + offset:6.2f} s: {each}"
            for each in events[-LOG_TAIL_LINES:]
        ]
