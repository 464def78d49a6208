"""Randomized soak test of real gateway processes under external faults.

Each seed starts a store, replicas behind proxies and two gateways, sends requests
continuously and injects overlapping faults. Then it compares the answers with the runs
of the replicas. With ``--wide``, queries have so many shards that the larger gateway
gathers them for the smaller one, which also takes the changes of the platform from it.
With ``--cuts``, one of two equal gateways also loses its links to all replicas, again
and again. With ``--silences``, connections go silent for good, and what three gateways
do is compared with the bounds of a deployment (``tests/soak_silences.py``).

    python -m tests.soak --seeds 1..50 [--wide] [--cuts] [--silences]
"""

import argparse
import json
import signal
import sys
import time
from collections import defaultdict
from random import Random
from typing import NamedTuple

import eventlet

from tests.platform_standins import (
    CUT_MODES,
    FaultProxy,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    StoreView,
    free_port,
)
from tests.soak_floods import FLOOD_KINDS, FloodSoak
from tests.soak_silences import SilenceSoak
from tests.test_gateway_process import SHARDS, configuration
from tests.test_rate_limits import WINDOW_S, count_allowed

FAULT_PHASE_S = 4.0
# Time for which a replica that leaves still serves.
DRAIN_S = 1.0
# Time after an answer with a pause from which the pause is in force, and how many
# requests may arrive after it.
PAUSE_REACTION_S = 0.5
MAX_IN_PAUSE = 2
CALLERS = 6
LOG_TAIL_LINES = 40
WIDE_SHARDS = [f"s{number:02d}" for number in range(32)]
RECOVERY_TIMEOUT_S = 12.0
# Statuses that tell the caller that its request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Faulty values of ReplicaStandIn.behaviour.
REPLICA_FAULTS = (
    "error",
    "busy",
    "many",
    "shed",
    "hang",
    "reset",
    "cut",
    "foreign",
    "other",
)
# Faulty values of FaultProxy.mode.
LINK_FAULTS = ("delay", "reset", "silence", "one_way")


def odd_values(entry):
    """Return values that name no replica, made from the sound ``entry`` of one."""
    changes = (
        {"Slots": 2**63},
        {"Slots": -1},
        {"Seq": 10**30},
        {"born": "today"},
        {"WarmupLeftMs": None},
        {"Address": "\ufffd.\ufffd:80"},
        {"Address": "shop.example:80"},
        {"Address": "127.0.0.1:70000"},
        {"State": "melting"},
        {"Zone": "\0"},
        {"Note": "x" * 100_000},
    )
    values = [json.dumps(entry | change).encode() for change in changes]
    nested = b"[" * 5000 + b"]" * 5000
    values.append(json.dumps(entry).encode()[:-1] + b', "Note": ' + nested + b"}")
    return [*values, b"\xff{", b"", b"[" * 20_000]


class NamedLimit(NamedTuple):
    """A rate limit that a replica named between two monotonic times in seconds."""

    replica_id: str
    limit_per_s: float
    named_at: float
    ended_at: float


class Departure(NamedTuple):
    """A process of a replica that has said it is leaving until ``ended_at``.

    ``answers`` has the id of each request whose answer said so, and the monotonic time
    in seconds of the first such answer.
    """

    replica_id: str
    answers: dict[str, float]
    ended_at: float


class Sent(NamedTuple):
    """When a request was sent to which gateway."""

    gateway: int
    sent_at: float


class Answer(NamedTuple):
    """The answer to a request; ``status`` is None if the connection ended before it."""

    kind: str
    request_id: str
    status: int | None
    headers: dict
    body: bytes


class Soak:
    """One run, whose faults and requests are drawn from ``seed``."""

    def __init__(self, seed, *, is_wide=False, has_cuts=False):
        self.has_cuts = has_cuts
        self.shards = WIDE_SHARDS if is_wide else SHARDS
        self.callers = CALLERS // 3 if is_wide else CALLERS
        self.rng = Random(seed)
        # Faults of their own, so that earlier seeds still draw the same sequence.
        self.limit_rng = Random(f"limits {seed}")
        self.restore_rng = Random(f"restores {seed}")
        self.cut_rng = Random(f"cuts {seed}")
        self.entry_rng = Random(f"entries {seed}")
        self.notice_rng = Random(f"notices {seed}")
        self.departures = []
        # All requests by id, and when their answers arrived.
        self.sent = {}
        self.answered_at = {}
        # Number of a gateway and time at which it was killed, stopped or suspended.
        self.gateway_breaks = []
        self.cuts = 0
        # Entries of another writer that are listed now.
        self.odd_entries = set()
        self.answers = []
        self.history = []
        self.version = 7
        self.is_stopping = False
        # Limits that have ended, and the times at which gateways began to run again.
        self.ended_limits = []
        # Replicas whose answers were held back or lost on their link.
        self.unheard_replicas = set()
        self.gateway_starts = []
        # Last incomplete answer of each gateway while complete ones are awaited.
        self.incomplete = {}
        # Last lines of the log of each gateway, printed if a guarantee is violated.
        self.log_tails = []
        self.store = StoreStandIn()
        self.store_proxies = [FaultProxy(self.store.address)]
        # Links of the first gateway to the replicas, if these are cut.
        self.links, self.views = {}, []
        self.replicas, self.proxies = {}, {}
        for service in [*self.shards, "one"]:
            for copy in "ab":
                record = service.encode().ljust(16, b".")
                replica = ReplicaStandIn(service, f"i-{service}{copy}", record)
                proxy = FaultProxy(replica.address)
                self.replicas[replica.id], self.proxies[replica.id] = replica, proxy
                self.store.put(f"servers/{replica.id}", self._entry(replica))
        if has_cuts:
            self._give_own_links()
        self._publish()
        self.first_revision = self.store.revision
        port = free_port()
        self.gateways = [
            GatewayProcess(
                self.store_proxies[-1 if number == 2 else 0],
                node=f"host-{number}",
                host=f"127.0.0.{number}",
                peer_port=port,
                seeds=f"127.0.0.2:{port},127.0.0.3:{port}",
                # The second gateway has the faster link, so it gathers for the first.
                link_mbps=100.0 if has_cuts else 10.0 * number**3,
                drain_ms=int(1000 * DRAIN_S),
            )
            for number in (2, 3)
        ]

    def _give_own_links(self):
        """Let the first gateway reach store and replicas by links of its own."""
        for replica_id, proxy in self.proxies.items():
            self.links[replica_id] = FaultProxy(proxy.address)
        addresses = {each: link.address for each, link in self.links.items()}
        self.views = [StoreView(self.store, addresses)]
        self.store_proxies.append(FaultProxy(self.views[0].address))

    @property
    def summary(self):
        """What was played."""
        served = sum(answer.status == 200 for answer in self.answers)
        return (
            f"{served}/{len(self.answers)} served, "
            f"{len(self.ended_limits)} limits, {self.store.era - 1} restores, "
            f"{self.cuts} cuts, {len(self.departures)} departures, "
            f"{sum(len(each.pauses) for each in self.replicas.values())} pauses"
        )

    def run(self):
        """Return the violated guarantees, as lines of text."""
        try:
            if not self._wait_for_complete_answers():
                return ["the gateways did not become ready"]
            callers = [
                eventlet.spawn(self._send_requests, n) for n in range(self.callers)
            ]
            self._inject_faults()
            self._end_faults()
            has_recovered = self._wait_for_complete_answers()
            self.is_stopping = True
            for caller in callers:
                caller.wait()
            violations = (
                []
                if has_recovered
                else [f"no complete answers after the faults ended: {self.incomplete}"]
            )
            return violations + self._find_violations()
        finally:
            self.log_tails = [
                gateway.log_path.read_text().splitlines()[-LOG_TAIL_LINES:]
                for gateway in self.gateways
            ]
            for part in [
                *self.gateways,
                *self.proxies.values(),
                *self.replicas.values(),
                *self.links.values(),
                *self.store_proxies,
                *self.views,
                self.store,
            ]:
                part.stop()

    # Faults

    def _inject_faults(self):
        deadline = time.monotonic() + FAULT_PHASE_S
        others = [
            eventlet.spawn(self._inject_limits, deadline),
            eventlet.spawn(self._inject_restores, deadline),
            eventlet.spawn(self._inject_cuts, deadline),
            eventlet.spawn(self._inject_odd_entries, deadline),
            eventlet.spawn(self._inject_notices, deadline),
        ]
        while time.monotonic() < deadline:
            fault = self.rng.choice(
                (
                    self._break_replica,
                    self._break_link,
                    self._break_store,
                    self._signal_gateway,
                    self._change_configuration,
                )
            )
            fault()
            eventlet.sleep(self.rng.uniform(0.05, 0.5))
        for other in others:
            other.wait()

    def _inject_limits(self, deadline):
        while time.monotonic() < deadline:
            self._limit_replica()
            eventlet.sleep(self.limit_rng.uniform(0.3, 1.5))

    def _inject_restores(self, deadline):
        while time.monotonic() < deadline:
            eventlet.sleep(self.restore_rng.uniform(0.5, 4.0))
            self._restore_store()

    def _inject_cuts(self, deadline):
        while self.has_cuts and time.monotonic() < deadline:
            eventlet.sleep(self.cut_rng.uniform(0.0, 1.0))
            self._cut_links(self.cut_rng.choice(CUT_MODES))
            eventlet.sleep(self.cut_rng.uniform(0.1, 2.5))
            self._cut_links("pass")

    def _inject_odd_entries(self, deadline):
        """Let another writer replace entries of replicas, and add some of its own."""
        while time.monotonic() < deadline:
            eventlet.sleep(self.entry_rng.uniform(0.0, 0.8))
            replica_id = self.entry_rng.choice([*self.replicas, "odd-1", "odd-2"])
            sample = self._entry(self.replicas.get(replica_id) or self._any_replica())
            number, value = self.entry_rng.choice(list(enumerate(odd_values(sample))))
            self._log_fault(f"entry {replica_id} has odd value {number}")
            self.odd_entries.add(replica_id)
            self.store.put(f"servers/{replica_id}", value)
            if self.entry_rng.random() < 0.7:
                eventlet.sleep(self.entry_rng.uniform(0.0, 0.5))
                self._mend_entry(replica_id)

    def _inject_notices(self, deadline):
        """Let replicas say that they leave, or ask for pauses while they refuse."""
        rng = self.notice_rng
        while time.monotonic() < deadline:
            eventlet.sleep(rng.uniform(0.1, 0.8))
            replica = rng.choice(list(self.replicas.values()))
            together = [replica]
            if rng.random() < 0.3:
                together = [
                    each
                    for each in self.replicas.values()
                    if each.service == replica.service
                ]
            if rng.random() < 0.5:
                for each in together:
                    self._change_departure(each)
            else:
                pause_s = round(rng.uniform(0.3, 2.5), 2)
                for each in together:
                    self._log_fault(f"{each.id} refuses with pauses of {pause_s} s")
                    each.behaviour, each.pause_s = rng.choice(("shed", "busy")), pause_s

    def _change_departure(self, replica):
        """Let a replica say that it leaves, or start it again if it does."""
        if not replica.is_leaving:
            self._log_fault(f"{replica.id} says that it is leaving")
            replica.is_leaving = True
            return
        self._log_fault(f"{replica.id} is another process")
        answers = {}
        for request_id, at in replica.leaving_answers:
            answers.setdefault(request_id, at)
        self.departures.append(Departure(replica.id, answers, time.monotonic()))
        replica.leaving_answers = []
        replica.restart()
        if replica.id not in self.odd_entries:
            self.store.put(f"servers/{replica.id}", self._entry(replica))

    def _mend_entry(self, replica_id):
        self.odd_entries.discard(replica_id)
        if replica_id in self.replicas:
            entry = self._entry(self.replicas[replica_id])
            self.store.put(f"servers/{replica_id}", entry)
        elif f"servers/{replica_id}" in self.store.items:
            self.store.delete(f"servers/{replica_id}")

    def _any_replica(self):
        return self.entry_rng.choice(list(self.replicas.values()))

    def _entry(self, replica):
        return replica.entry(Address=self.proxies[replica.id].address)

    def _cut_links(self, mode):
        self._log_fault(f"links of gateway 0 {mode}")
        self.cuts += mode != "pass"
        for link in self.links.values():
            link.mode = mode

    def _restore_store(self):
        """Return to an older copy, and soon write again what was written since then."""
        lost = self.restore_rng.randint(0, 6)
        self._log_fault(f"store returns to {lost} revisions before")
        if self.restore_rng.random() < 0.5:
            self.store.keep_stale_copy()
        self.store.restore(max(self.first_revision, self.store.revision - lost))
        eventlet.sleep(self.restore_rng.uniform(0.0, 0.5))
        self._publish()

    def _break_replica(self):
        replica = self.rng.choice(list(self.replicas.values()))
        behaviour = self.rng.choice(REPLICA_FAULTS)
        self._log_fault(f"{replica.id} {behaviour}")
        replica.behaviour = behaviour

    def _limit_replica(self):
        """Let a replica name a rate limit, or all replicas of its service."""
        replica = self.limit_rng.choice(list(self.replicas.values()))
        if replica.rate_limit is not None:
            self._end_limit(replica)
            return
        limit_per_s = round(self.limit_rng.uniform(0.0, 5.0), 1)
        is_whole_service = self.limit_rng.random() < 0.5
        for each in self.replicas.values():
            is_chosen = each is replica or (
                is_whole_service and each.service == replica.service
            )
            if is_chosen and each.rate_limit is None:
                self._log_fault(f"{each.id} names {limit_per_s} a second")
                each.rate_limit = limit_per_s

    def _end_limit(self, replica):
        self._log_fault(f"{replica.id} names no limit")
        if replica.limit_named_at is not None:
            named_at, ended_at = replica.limit_named_at, time.monotonic()
            self.ended_limits.append(
                NamedLimit(replica.id, replica.rate_limit, named_at, ended_at)
            )
        replica.rate_limit = None

    def _break_link(self):
        replica_id = self.rng.choice(list(self.proxies))
        mode = self.rng.choice((*LINK_FAULTS, "pass"))
        self._log_fault(f"link of {replica_id} {mode}")
        self.proxies[replica_id].mode = mode
        if mode not in ("pass", "delay"):
            self.unheard_replicas.add(replica_id)

    def _break_store(self):
        what = self.rng.choice((*LINK_FAULTS, "pass", "down", "up", "forget"))
        self._log_fault(f"store {what}")
        if what == "forget":
            self.store.forget_history()
        elif what in ("down", "up"):
            self.store.is_down = what == "down"
        else:
            for proxy in self.store_proxies:
                proxy.mode = what

    def _signal_gateway(self):
        gateway = self.rng.choice(self.gateways)
        what = self.rng.choice(("SIGKILL", "SIGTERM", "SIGHUP", "SIGSTOP"))
        self._log_fault(f"gateway {self.gateways.index(gateway)} {what}")
        if gateway.process.poll() is not None:
            self._start(gateway)
            return
        gateway.process.send_signal(signal.Signals[what])
        if what != "SIGHUP":
            self._note_break(gateway)
        if what == "SIGSTOP":
            pause_s = self.rng.uniform(0.1, 1.5)
            eventlet.spawn_after(pause_s, gateway.process.send_signal, signal.SIGCONT)
            self.gateway_starts.append(time.monotonic() + pause_s)

    def _note_break(self, gateway):
        self.gateway_breaks.append((self.gateways.index(gateway), time.monotonic()))

    def _start(self, gateway):
        gateway.start()
        self._note_break(gateway)
        self.gateway_starts.append(time.monotonic())

    def _change_configuration(self):
        self.version += self.rng.randint(1, 3)
        self._log_fault(f"version {self.version}")
        self._publish()

    def _publish(self):
        document = configuration(self.version)
        document["Routes"][0]["Gather"] = self.shards
        # Tells from outside whether this version is in force.
        name = f"v{self.version}"
        latest = document["Routes"][1] | {"Name": name, "Prefix": f"/{name}/"}
        document["Routes"].append(latest)
        self.store.put("op/config", document)

    def _end_faults(self):
        self._log_fault("heal")
        self.store.is_down = False
        self.store.stale_copy = None
        # A restored store may have lost that an entry was mended.
        for replica_id in [*self.replicas, *self.odd_entries]:
            self._mend_entry(replica_id)
        for proxy in [*self.store_proxies, *self.links.values()]:
            proxy.mode = "pass"
        for replica_id, replica in self.replicas.items():
            replica.behaviour, replica.pause_s = "answer", None
            if replica.is_leaving:
                self._change_departure(replica)
            if replica.rate_limit is not None:
                self._end_limit(replica)
            self.proxies[replica_id].mode = "pass"

    def _log_fault(self, text):
        self.history.append(text)

    def _wait_for_complete_answers(self):
        """Wait until each gateway answers with all shards and by the newest version.

        Return whether all did.
        """
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        incomplete = list(self.gateways)
        while incomplete and time.monotonic() < deadline:
            for gateway in incomplete[:]:
                if gateway.process.poll() is not None:
                    self._start(gateway)
                answer = self._ask(gateway, "search", f"whole{time.monotonic_ns()}")
                if answer.status != 200 or answer.headers["x-missing-parts"] != "0":
                    self._note_incomplete(gateway, answer)
                    continue
                route = f"v{self.version}"
                newest = self._ask(gateway, route, f"newest{time.monotonic_ns()}")
                self._note_incomplete(gateway, newest)
                if newest.status == 200:
                    incomplete.remove(gateway)
            eventlet.sleep(0.1)
        return not incomplete

    def _note_incomplete(self, gateway, answer):
        number = self.gateways.index(gateway)
        missing = answer.headers.get("x-missing-parts")
        self.incomplete[number] = (answer.kind, answer.status, missing)

    # Callers

    def _send_requests(self, number):
        rng = Random(self.rng.random())
        idle_sockets = {}
        count = 0
        while not self.is_stopping:
            count += 1
            kind = rng.choice(("search", "read", "order"))
            gateway = rng.choice(self.gateways)
            sock = idle_sockets.pop(gateway, None)
            answer = self._ask(gateway, kind, f"c{number}x{count}", sock, idle_sockets)
            self.answers.append(answer)
            eventlet.sleep(rng.uniform(0.0, 0.03))
        for sock in idle_sockets.values():
            sock.close()

    def _ask(self, gateway, kind, request_id, sock=None, idle_sockets=None):
        method, body = ("POST", b"1") if kind == "order" else ("GET", b"")
        number = self.gateways.index(gateway)
        self.sent[request_id] = Sent(number, time.monotonic())
        try:
            sock = sock or eventlet.connect(gateway.caller_address)
            with eventlet.Timeout(5.0, OSError("no answer")):
                status, headers, content = gateway.ask_on(
                    sock, f"/{kind}/x", request_id, method, body, deadline_ms=1000
                )
        except OSError:
            if sock is not None:
                sock.close()
            return Answer(kind, request_id, None, {}, b"")
        self.answered_at[request_id] = time.monotonic()
        stays_open = idle_sockets is not None and headers.get("connection") != "close"
        if status is not None and stays_open:
            idle_sockets[gateway] = sock
        else:
            sock.close()
        return Answer(kind, request_id, status, headers, content)

    # Guarantees

    def _find_violations(self):
        runs = defaultdict(int)
        for replica in self.replicas.values():
            for request_id in replica.executed_ids:
                runs[request_id] += 1
        violations = []
        for answer in self.answers:
            count = runs[answer.request_id]
            if answer.kind == "order" and count > 1:
                violations.append(f"order {answer.request_id} ran {count} times")
            if answer.kind == "order" and answer.status in NOT_RUN_STATUSES and count:
                violations.append(
                    f"order {answer.request_id}: {answer.status}, but it ran"
                )
            if answer.status == 200:
                violations += self._check_ok_answer(answer)
        for limit in self.ended_limits:
            if limit.replica_id not in self.unheard_replicas:
                violations += self._check_limit(limit)
        for departure in self.departures:
            violations += self._check_departure(departure)
        for replica in self.replicas.values():
            violations += self._check_pauses(replica)
        for gateway in self.gateways:
            # Exceptions that no code expects.
            errors = gateway.events("message")
            violations += [f"unexpected error: {each['text']}" for each in errors]
        return violations

    def _check_limit(self, limit):
        """Compare the arrivals at a replica with the limit that it named.

        A gateway that has not got an answer since it began to run, or since the limit
        was named, may have sent the requests that its callers have under way.
        """
        arrivals = [
            at
            for at in self.replicas[limit.replica_id].arrivals
            if limit.named_at <= at < limit.ended_at
        ]
        for start in arrivals:
            window = [at for at in arrivals if start <= at < start + WINDOW_S]
            begun = [start < limit.named_at + WINDOW_S] * len(self.gateways)
            begun += [
                start - WINDOW_S <= at < start + WINDOW_S for at in self.gateway_starts
            ]
            allowed = count_allowed(limit.limit_per_s) + sum(begun) * self.callers
            if len(window) > allowed:
                return [f"{limit}: {len(window)} requests in {WINDOW_S} s"]
        return []

    def _find_arrivals(self, replica):
        """Return id, time and possible senders of the requests that got to a replica.

        A request that a gateway has passed to the other one may have been read by
        either: the first may have begun before it lost its links. Both logs tell, since
        either may have dropped its line.
        """
        logs = [gateway.events() for gateway in self.gateways]
        delegated = [
            {e["id"] for e in log if e.get("end") == "delegated"} for log in logs
        ]
        seen = [{e.get("id") for e in log} for log in logs]
        arrivals = []
        ids = [headers["x-request-id"] for _, headers, _ in replica.requests]
        for request_id, at in zip(ids, replica.arrivals, strict=True):
            if request_id not in self.sent:
                continue
            sender = self.sent[request_id].gateway
            other = 1 - sender
            is_passed = request_id in delegated[sender] or request_id in seen[other]
            if not is_passed:
                senders = (sender,)
            else:
                senders = (sender, other) if self.has_cuts else (other,)
            arrivals.append((request_id, at, senders))
        return arrivals

    def _has_break(self, number, since, until):
        return any(
            gateway == number and since <= at < until
            for gateway, at in self.gateway_breaks
        )

    def _check_departure(self, departure):
        """Compare the requests at a replica with what gateways passed on from it.

        A gateway must not send what callers send later than the drain time after it has
        passed on an answer in which the replica says that it is leaving.
        """
        replica_id = departure.replica_id
        passed_on = {}
        for answer in self.answers:
            said_at = departure.answers.get(answer.request_id, float("inf"))
            # The answer may have come from an earlier read of the same request.
            if said_at > self.answered_at.get(answer.request_id, 0.0):
                continue
            if answer.status != 200:
                continue
            name = "x-part-stamps" if answer.kind == "search" else "x-server-stamp"
            signatures = answer.headers.get(name, "").split(", ")
            if f"{replica_id}.{answer.request_id}" in signatures:
                number = self.sent[answer.request_id].gateway
                at = self.answered_at[answer.request_id]
                passed_on[number] = min(at, passed_on.get(number, at))

        def is_late(number, sent_at, at):
            told_at = passed_on.get(number, float("inf"))
            was_broken = self._has_break(number, told_at, at)
            return sent_at > told_at + DRAIN_S and not was_broken

        violations = []
        for request_id, at, senders in self._find_arrivals(self.replicas[replica_id]):
            sent_at = self.sent[request_id].sent_at
            if at < departure.ended_at and all(
                is_late(number, sent_at, at) for number in senders
            ):
                violations.append(f"{request_id} at {replica_id}, which is leaving")
        return violations

    def _check_pauses(self, replica):
        """Compare the requests at a replica with the pauses that it asked for.

        Only where requests are sent on by the gateway that got them.
        """
        if self.has_cuts or self.shards is WIDE_SHARDS:
            return []
        if replica.id in self.unheard_replicas:
            return []
        violations = []
        for pause in replica.pauses:
            if pause.request_id not in self.sent:
                continue
            number = self.sent[pause.request_id].gateway
            begins_at = pause.answered_at + PAUSE_REACTION_S
            ends_at = pause.answered_at + pause.seconds
            in_pause = [
                request_id
                for request_id, at, senders in self._find_arrivals(replica)
                if number in senders and begins_at <= at < ends_at
            ]
            was_broken = self._has_break(number, pause.answered_at - 1.0, ends_at)
            if len(in_pause) > MAX_IN_PAUSE and not was_broken:
                violations.append(f"{replica.id}, {pause}: {in_pause}")
        return violations

    def _check_ok_answer(self, answer):
        name = f"{answer.kind} {answer.request_id}"
        if answer.kind != "search":
            signature = answer.headers.get("x-server-stamp", "")
            if not signature.endswith(f".{answer.request_id}"):
                return [f"{name}: signature {signature!r} of another request"]
            is_expected = answer.body == b"one".ljust(16, b".")
            return [] if is_expected else [f"{name}: body {answer.body!r}"]
        signatures = answer.headers["x-part-stamps"].split(", ")
        if not all(each.endswith(f".{answer.request_id}") for each in signatures):
            return [f"{name}: signatures {signatures} of another request"]
        services = {each.partition(".")[0][2:-1] for each in signatures}
        missing = int(answer.headers["x-missing-parts"])
        if len(services) < len(signatures) or len(services) + missing != len(
            self.shards
        ):
            return [f"{name}: {signatures} and {missing} missing do not fit"]
        records = sorted((s.encode().ljust(16, b".") for s in services), reverse=True)
        is_merged = answer.body == b"".join(records[:3]) and (
            2 * len(services) >= len(self.shards)
        )
        return [] if is_merged else [f"{name}: body {answer.body!r} of {services}"]


def main():
    """Run the seeds; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1..3", help="A..B, or a single seed")
    parser.add_argument(
        "--minutes",
        type=float,
        default=10.0,
        help="start no seed after this many minutes",
    )
    parser.add_argument("--wide", action="store_true", help="use 32 shards, not 4")
    parser.add_argument(
        "--cuts", action="store_true", help="cut the links of one gateway"
    )
    parser.add_argument(
        "--silences", action="store_true", help="silence connections for good"
    )
    parser.add_argument(
        "--floods", action="store_true", help="flood gateways with limited memory"
    )
    parser.add_argument(
        "--kinds",
        default=",".join(FLOOD_KINDS),
        help="kinds of floods to play, of those that a seed draws",
    )
    options = parser.parse_args()
    kinds = options.kinds.split(",")
    if unknown := set(kinds) - set(FLOOD_KINDS):
        parser.error(f"--kinds must be of {FLOOD_KINDS}, got {sorted(unknown)}")
    first_seed, _, last_seed = options.seeds.partition("..")
    deadline = time.monotonic() + 60.0 * options.minutes
    failed = 0
    for seed in range(int(first_seed), int(last_seed or first_seed) + 1):
        if time.monotonic() >= deadline:
            print(f"stopped before seed {seed}: the time is up")
            break
        if options.floods:
            soak = FloodSoak(seed, kinds)
        elif options.silences:
            soak = SilenceSoak(seed)
        else:
            soak = Soak(seed, is_wide=options.wide, has_cuts=options.cuts)
        violations = soak.run()
        failed += bool(violations)
        print(f"seed {seed}: {len(violations)} broken, {soak.summary}")
        for line in [*violations[:5], *(soak.history if violations else [])]:
            print(f"    {line}")
        for tail in soak.log_tails if violations else []:
            print(*tail, sep="\n")
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
