"""Fleet of real failure detectors in one process, with simulated network and time."""

import heapq
import itertools
import random
import time
from collections import Counter

import cicadalever.daemon._composition  # noqa: F401 - registers the message types
from cicadalever.membership import (
    MemberState,
    MemberTable,
    MemberUpdate,
    Ping,
    Prober,
    VersionDigest,
)
from cicadalever.topology import Host, HostList, ListedHost
from cicadalever.transport import (
    ConfigurationReply,
    ConfigurationRequest,
    decode,
    encode,
)

TICK_S = 0.1
HOSTS_PER_DATA_CENTRE = 52
REGIONS = 3
# One-way network delays in seconds: in a data centre, between data centres of a region,
# and 30 ms between regions. The first two are those of the nz-north deployment.
DELAYS_S = {"near": 0.0003, "remote": 0.001, "region": 0.030}
INCARNATION = 1_700_000_000_000
REQUEST_INTERVAL_S = 0.2
LOG_ENTRY = (
    b'[2,{"id":"patch-2","against":1,"author":"operator","operations":[{"op":'
    b'"replace","path":"/services/u000/replicas/u000-a/draining","value":true}]}]'
)


class SimulatedMember:
    """One host: its member table, failure detector and configuration sequence.

    The configuration is exchanged as by ``ConfigurationSynchronizer``: a host that is
    behind asks a peer that is ahead, at most every ``REQUEST_INTERVAL_S``, and
    announces the version that it receives. ``cpu_ns`` is the CPU time of the host.
    ``counts`` holds its bytes sent and received, of those sent the bytes to other data
    centres (``remote``) and regions (``region``), and its received messages by type.
    """

    def __init__(self, host: Host, rng: random.Random):
        self.host = host
        self.table = MemberTable(host, INCARNATION)
        self.prober = Prober(self.table, rng)
        self.sequence = 1
        self.is_up = True
        self.cpu_ns = 0
        self.counts: Counter[str] = Counter()
        self._last_request_s = -1.0

    def tick(self, now: float) -> list[tuple[str, object]]:
        """Perform the membership tick of a daemon; return (address, message) pairs."""
        # As in MembershipService; each simulated host has just reached the platform, so
        # its own contact age is 0.0.
        age_s = min(0.0, self.prober.platform_contact_age(now))
        self._set_digest(age_s)
        outgoing = self.prober.tick(now)
        self.prober.take_events()
        newest = self.prober.newest_peer_digest
        is_due = now - self._last_request_s >= REQUEST_INTERVAL_S
        if newest is not None and newest.digest.sequence > self.sequence and is_due:
            self._last_request_s = now
            request = ConfigurationRequest(self.host.address, self.sequence)
            outgoing.append((newest.address, request))
        return outgoing

    def receive(self, message: object, now: float) -> list[tuple[str, object]]:
        """Handle one message; return the (address, message) pairs to send."""
        if isinstance(message, ConfigurationRequest):
            if message.sequence >= self.sequence:
                return []
            return [(message.sender, ConfigurationReply([LOG_ENTRY], b""))]
        if isinstance(message, ConfigurationReply):
            return self.apply_version(2, now)
        outgoing = self.prober.receive(message, now)
        self.prober.take_events()
        return outgoing

    def apply_version(self, sequence: int, now: float) -> list[tuple[str, object]]:
        """Put a newer version in force and return the messages that announce it."""
        if sequence <= self.sequence:
            return []
        self.sequence = sequence
        self._set_digest(0.0)
        return self.prober.announce(now)

    def _set_digest(self, age_s: float) -> None:
        self.prober.set_digest(VersionDigest(self.sequence, self.sequence, age_s))


class SimulatedFleet:
    """All members, the messages in transit and the simulated clock.

    Every message is encoded and decoded by the real codec.
    """

    def __init__(self, size: int, seed: int, *, data_centres: int | None = None):
        self.size = size
        self.now = 0.0
        count = data_centres or max(1, round(size / HOSTS_PER_DATA_CENTRE))
        rng = random.Random(seed)
        hosts = [_build_host(number, count) for number in range(size)]
        self.members = [
            SimulatedMember(host, random.Random(rng.getrandbits(64))) for host in hosts
        ]
        self.members_by_address = {
            member.host.address: member for member in self.members
        }
        self.rng = rng
        self._partitioned_region: str | None = None
        self._sequence_numbers = itertools.count()
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._load_membership(hosts)
        self._schedule_ticks()

    def run(self, seconds: float) -> None:
        """Advance the simulated time by ``seconds``."""
        self.run_until(self.now + seconds, lambda: False)

    def run_until(self, end: float, is_done) -> float | None:
        """Advance until ``is_done()``, checked every ``TICK_S``; return the time.

        Returns None when the simulated time reaches ``end`` first.
        """
        step_end = self.now
        while step_end < end:
            step_end = min(step_end + TICK_S, end)
            while self._queue and self._queue[0][0] <= step_end:
                self.now, _, address, frame = heapq.heappop(self._queue)
                self._deliver(self.members_by_address[address], frame)
            self.now = step_end
            if is_done():
                return self.now
        return None

    def send_initial_digests(self, member: SimulatedMember) -> None:
        """Give a member the digests that its peers would send it in a long run.

        A delegate receives pings from every member, another member from its data centre
        and from the delegates of the other ones.
        """
        table = member.table
        delegates = self.delegates()
        for peer in self.members:
            is_near = peer.host.data_centre == member.host.data_centre
            is_heard = is_near or {member.host.id, peer.host.id} & delegates
            if peer is member or not is_heard:
                continue
            ping = Ping(
                peer.host, INCARNATION, 0, False, 0, VersionDigest(1, 1, 0.0), ()
            )
            member.prober.receive(ping, self.now)
        table.take_changed()

    def delegates(self) -> set[str]:
        """Return the ids of the delegates of all data centres."""
        table = self.members[0].table
        data_centres = {member.host.data_centre for member in self.members}
        return {
            host.id
            for data_centre in data_centres
            for host in table.delegates(data_centre)
        }

    def partition_region(self, region: str | None) -> None:
        """Drop all messages into and out of a region; None ends the partition."""
        self._partitioned_region = region

    def send_all(self, member: SimulatedMember, outgoing) -> None:
        """Encode (address, message) pairs and schedule their delivery."""
        for address, message in outgoing:
            frame = encode(message)
            receiver = self.members_by_address[address]
            if self._is_partitioned(member.host, receiver.host):
                continue
            distance = _distance(member.host, receiver.host)
            member.counts["sent"] += len(frame)
            if distance != "near":
                member.counts["remote"] += len(frame)
            if distance == "region":
                member.counts["region"] += len(frame)
            item = (
                self.now + DELAYS_S[distance],
                next(self._sequence_numbers),
                address,
                frame,
            )
            heapq.heappush(self._queue, item)

    def _is_partitioned(self, host: Host, peer: Host) -> bool:
        sides = {
            host.region == self._partitioned_region,
            peer.region == self._partitioned_region,
        }
        return self._partitioned_region is not None and len(sides) == 2

    def _deliver(self, member: SimulatedMember, frame: bytes) -> None:
        """Deliver a frame to a member; an empty frame is its tick."""
        if not member.is_up:
            return
        started = time.thread_time_ns()
        if frame:
            member.counts["received"] += len(frame)
            message = decode(frame)
            member.counts[type(message).__name__] += 1
            outgoing = member.receive(message, self.now)
        else:
            outgoing = member.tick(self.now)
        self.send_all(member, outgoing)
        member.cpu_ns += time.thread_time_ns() - started
        if not frame:
            self._schedule_tick(member, self.now + TICK_S)

    def _schedule_ticks(self) -> None:
        for member in self.members:
            self._schedule_tick(member, self.rng.random() * TICK_S)

    def _schedule_tick(self, member: SimulatedMember, at: float) -> None:
        item = (at, next(self._sequence_numbers), member.host.address, b"")
        heapq.heappush(self._queue, item)

    def _load_membership(self, hosts: list[Host]) -> None:
        """Give every member all others as alive, with no update left to send."""
        host_list = HostList(1, tuple(ListedHost(host) for host in hosts))
        updates = [MemberUpdate(host, MemberState.ALIVE, INCARNATION) for host in hosts]
        for member in self.members:
            for update in updates:
                if update.host is not member.host:
                    member.table.apply(update, 0.0)
            member.table.merge_host_list(host_list, 0.0)
            member.table.take_changed()


def _build_host(number: int, data_centres: int) -> Host:
    data_centre = number % data_centres
    return Host(
        f"host-{number:04}",
        f"10.{data_centre}.{number // 200}.{number % 200}:7002",
        f"dc{data_centre:02}",
        f"region-{data_centre % REGIONS}",
    )


def _distance(host: Host, peer: Host) -> str:
    if host.data_centre == peer.data_centre:
        return "near"
    return "remote" if host.region == peer.region else "region"
