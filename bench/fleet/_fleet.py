"""The simulated fleet and its load."""

from functools import partial
from random import Random
from typing import NamedTuple

from cicadalever.discovery import ReplicaEntry, ReplicaState, UpstreamDirectory
from cicadalever.routing import Limits, Route, RoutingTable, ServiceOptions
from cicadalever.wire import CallerRequest, CallerResponse

from ._host import (
    HEADER_NAMES,
    LOCAL_ONE_WAY_S,
    SimulatedConnection,
    SimulatedHost,
    SimulatedPeer,
)
from ._loop import VirtualLoop
from ._replica import SimulatedReplica
from ._site import FleetEvent, FleetSite, Policy

TOP_RECORDS = 20
MAX_ATTEMPTS = 2


class QueryRecord(NamedTuple):
    """What the caller of one query got.

    ``latency_s`` counts from the sending to the response, without the way between
    caller and host. ``coverage`` is the share of the shards in a success. ``host`` is
    the name of the host that was asked.
    """

    sent_at: float
    latency_s: float
    status: int
    coverage: float
    host: str


class Fleet:
    """Hosts, replicas and callers of a site with one policy; seeded."""

    def __init__(self, site: FleetSite, policy: Policy, seed: int):
        self.site = site
        self.policy = policy
        self.rng = Random(seed)
        self.loop = VirtualLoop()
        self.records: list[QueryRecord] = []
        self.replicas: dict[str, SimulatedReplica] = {}
        self.hosts: list[SimulatedHost] = []
        # Hosts that lose their links at some time.
        self.cut_hosts: list[SimulatedHost] = []
        self._directory = UpstreamDirectory()
        self._build_replicas()
        self._build_hosts()

    def play(self) -> list[QueryRecord]:
        """Play the load and return what the callers got."""
        at = 0.0
        number = 0
        while True:
            at += self.rng.expovariate(self.site.queries_per_s)
            if at >= self.site.length_s:
                break
            number += 1
            host = self.hosts[self.rng.randrange(len(self.hosts))]
            self.loop.call_at(at, self.send, host, number)
        self.loop.run_until(self.site.length_s + 2.0 * self.site.timeout_s)
        return self.records

    def send(self, host: SimulatedHost, number: int) -> None:
        """Send the query with a number to a host now."""
        sent_at = self.loop.now()
        names = HEADER_NAMES

        def on_response(response: CallerResponse) -> None:
            missing = response.header(names.missing_shards)
            coverage = 0.0
            if response.status == 200:
                coverage = 1.0 - int(missing) / self.site.shards
            latency_s = self.loop.now() - sent_at
            self.records.append(
                QueryRecord(sent_at, latency_s, response.status, coverage, host.name)
            )

        headers = [
            (b"host", b"h"),
            (names.request_id, b"%d" % number),
            (names.deadline, b"%d" % (self.site.timeout_s * 1000)),
        ]
        request = CallerRequest(b"GET", b"/q", headers, b"", sent_at, False, True)
        host.service.handle(SimulatedConnection(on_response), request)

    def _build_replicas(self) -> None:
        site = self.site
        for shard in range(site.shards):
            first = self.rng.randrange(site.data_centres)
            for copy in range(site.replicas):
                data_centre = f"dc-{(first + copy) % site.data_centres}"
                entry = ReplicaEntry(
                    f"i-{shard}-{copy}",
                    f"s{shard}",
                    ("", 0),
                    data_centre,
                    site.slots,
                    ReplicaState.READY,
                    0.0,
                    1,
                    1,
                )
                self._directory.apply(entry)
                self.replicas[entry.id] = SimulatedReplica(
                    self.loop, entry, site, self.rng
                )
        for event in site.events:
            if event.kind == "cut":
                continue
            count = round(event.share * len(self.replicas))
            for replica in self.rng.sample(list(self.replicas.values()), count):
                replica.events.append(event)

    def _build_hosts(self) -> None:
        site = self.site
        shards = tuple(f"s{shard}" for shard in range(site.shards))
        route = Route(
            "r",
            "h",
            "/",
            True,
            site.timeout_s,
            site.target_s,
            MAX_ATTEMPTS,
            0,
            (),
            shards,
            TOP_RECORDS,
            site.min_shard_share,
        )
        options = {shard: ServiceOptions("/health", 100) for shard in shards}
        table = RoutingTable(1, [route], options, Limits())
        for data_centre in range(site.data_centres):
            for number in range(site.hosts):
                host = SimulatedHost(
                    f"host-{data_centre}-{number}",
                    f"dc-{data_centre}",
                    self.loop,
                    self._directory,
                    self.replicas,
                    site,
                    self.policy,
                    self.rng,
                )
                host.service.table = table
                self.hosts.append(host)
        for host in self.hosts:
            others = [other for other in self.hosts if other is not host]
            for other in others:
                if other.data_centre != host.data_centre:
                    peer = SimulatedPeer(self.loop, other, site.one_way_s)
                    host.link.peers.setdefault(other.data_centre, []).append(peer)
                else:
                    peer = SimulatedPeer(self.loop, other, LOCAL_ONE_WAY_S)
                host.link.others.append(peer)
            if self.policy is not Policy.ALONE:
                host.runner.on_late = self._reporter(others)

        self._cut_hosts()

    def _cut_hosts(self) -> None:
        """Draw the hosts that lose their links; without such an event, none watches."""
        cuts = [event for event in self.site.events if event.kind == "cut"]
        if not cuts:
            return
        hit = {host: [] for host in self.hosts}
        for event in cuts:
            count = round(event.share * len(self.hosts))
            for host in self.rng.sample(self.hosts, count):
                hit[host].append(event)
        for host, events in hit.items():
            host.watch_links(partial(self._is_present, events))
        self.cut_hosts = [host for host, events in hit.items() if events]

    def _is_present(self, events: list[FleetEvent]) -> bool:
        now = self.loop.now()
        return any(each.at_s <= now < each.at_s + each.for_s for each in events)

    def _reporter(self, others: list[SimulatedHost]):
        def report(replica_ids: list[str]) -> None:
            for other in others:
                self.loop.call_later(
                    self.site.one_way_s, other.runner.avoid_late, replica_ids
                )

        return report
