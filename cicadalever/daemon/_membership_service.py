"""A host's view of the other hosts: members, owners and reachable peers."""

import time
from collections.abc import Callable
from typing import Any

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.membership import (
    MemberState,
    MemberTable,
    Ownership,
    Prober,
    VersionDigest,
)
from cicadalever.outcomes import Failure
from cicadalever.topology import Host, HostList, Replica
from cicadalever.transport import PeerNetwork

# A host whose connection broke is declared dead after this time, unless it refutes the
# suspicion. The time can be short, because two owners of a replica for a moment do no
# harm if the host is alive.
LOST_SUSPICION_S = 0.5
# The same for a host that leaves reads unanswered. It may only be busy for a moment, so
# the time is longer.
SILENT_SUSPICION_S = 1.0

_AUDIT_KINDS = {
    MemberState.ALIVE: AuditKind.MEMBER_JOINED,
    MemberState.SUSPECT: AuditKind.MEMBER_SUSPECT,
    MemberState.LEAVING: AuditKind.MEMBER_LEFT,
    MemberState.DEAD: AuditKind.MEMBER_DEAD,
    MemberState.LEFT: AuditKind.MEMBER_LEFT,
}


class MembershipService:
    """Connects the failure detector and the ownership with the peer network.

    ``on_change`` is called after the member table has changed. ``on_host_lost`` is
    called with the peer address of a host whose connection broke, that leaves reads
    unanswered, or that died or left; ``on_host_heard`` with that of the sender of each
    membership message.
    """

    def __init__(
        self,
        table: MemberTable,
        prober: Prober,
        ownership: Ownership,
        network: PeerNetwork,
        audit: AuditTrail,
    ):
        self.table = table
        self.prober = prober
        self.ownership = ownership
        self.network = network
        self.audit = audit
        self.on_change: Callable[[], None] = _do_nothing
        self.on_host_lost: Callable[[str], None] = _do_nothing
        self.on_host_heard: Callable[[str], None] = _do_nothing
        self._known_generation = -1
        self._known_states: dict[str, tuple[str, MemberState, int]] = {}
        self._platform_contact_at: float | None = None

    @property
    def self_host(self) -> Host:
        """The host on which this process runs."""
        return self.table.self_host

    def receive(self, message: Any) -> None:
        """Pass a membership message to the failure detector and send its answers."""
        self.on_host_heard(message.sender.address)
        self._send_all(self.prober.receive(message, time.monotonic()))
        self._apply_changes()

    def tick(self) -> None:
        """Run the timers of the failure detector and check the connections."""
        for address in self.network.poll_connections():
            self.on_host_lost(address)
            self._suspect(address, LOST_SUSPICION_S)
        self._send_all(self.prober.tick(time.monotonic()))
        self._apply_changes()

    def ping(self, address: str) -> None:
        """Ping the host at a peer address."""
        self._send_all(self.prober.ping(address, time.monotonic()))

    def suspect_silent_host(self, address: str) -> None:
        """Fail the reads of a host that leaves them unanswered, and suspect it."""
        self.on_host_lost(address)
        self._suspect(address, SILENT_SUSPICION_S)

    def _suspect(self, address: str, suspicion_s: float) -> None:
        now = time.monotonic()
        self._send_all(self.prober.suspect(address, suspicion_s, now))
        self._apply_changes()

    def announce(self) -> None:
        """Send the digest to a few random peers, so that it spreads at once."""
        self._send_all(self.prober.announce(time.monotonic()))

    def leave(self) -> None:
        """Mark this host as leaving and tell a few random peers."""
        self.table.mark_self_leaving()
        self._send_all(self.prober.announce(time.monotonic()))
        self._apply_changes()

    def merge_host_list(self, hosts: HostList) -> None:
        """Merge the platform's host list into the member table."""
        self.table.merge_host_list(hosts, time.monotonic())
        self._apply_changes()

    def record_platform_contact(self) -> None:
        """Record that the platform answered this host just now."""
        self._platform_contact_at = time.monotonic()

    def own_platform_contact_age(self) -> float:
        """Return the seconds since the platform last answered this host.

        Infinite if it has not answered yet.
        """
        if self._platform_contact_at is None:
            return float("inf")
        return time.monotonic() - self._platform_contact_at

    def data_centre_platform_contact_age(self) -> float:
        """Return the seconds since the platform answered any host of the data centre.

        The contacts of the other hosts are known from their digests.
        """
        age_s = self.prober.platform_contact_age(time.monotonic())
        return min(self.own_platform_contact_age(), age_s)

    def update_digest(self, sequence: int, version: int) -> None:
        """Set the configuration digest that the next messages carry.

        Its age of the platform contact is that of the data centre and not that of this
        host, so that hosts pass on what they know from the platform watchers.
        """
        age_s = self.data_centre_platform_contact_age()
        self.prober.set_digest(VersionDigest(sequence, version, age_s))

    def owner_of(self, replica: Replica) -> Host | None:
        """Return the owner of a replica according to this host's member table."""
        return self.ownership.owner_of(replica)

    def is_reachable(self, address: str) -> bool:
        """Tell whether messages to a peer address can be expected to arrive.

        See ``PeerNetwork.is_reachable``; this host is always reachable.
        """
        return address == self.self_host.address or self.network.is_reachable(address)

    def is_replacing_live_owner(self, replica: Replica) -> bool:
        """Tell whether the previous owner of a replica may still run reads on it.

        It cannot if this host owns the replica because all candidates of higher
        preference are dead or have left.
        """
        preferred = []
        for host in self.ownership.candidates(replica):
            if host.id == self.self_host.id:
                break
            preferred.append(self.table.member(host.id))
        return not preferred or any(member and member.is_live for member in preferred)

    def is_fresh(self) -> bool:
        """Tell whether the member table is recent enough to act on."""
        return self.prober.view_is_fresh(time.monotonic())

    def is_platform_watcher(self) -> bool:
        """Tell whether this host is a platform watcher of its data centre."""
        watchers = self.ownership.platform_watchers(self.self_host.data_centre)
        return any(host.id == self.self_host.id for host in watchers)

    def live_addresses(self) -> list[str]:
        """Return the peer addresses of all other live hosts."""
        return [
            host.address for host in self.table.live() if host.id != self.self_host.id
        ]

    def address_of(self, host_id: str, incarnation: int) -> str | None:
        """Return the peer address of a process, or None if it is not live."""
        member = self.table.member(host_id)
        if member is None or not member.is_live or member.incarnation != incarnation:
            return None
        return member.host.address

    def state_counts(self) -> dict[str, int]:
        """Return the number of members by the lower-case name of their state."""
        counts: dict[str, int] = {}
        for member in self.table.members():
            name = member.state.name.lower()
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _send_all(self, outgoing) -> None:
        for address, message in outgoing:
            if address != self.self_host.address:
                self._send(address, message)

    def _send(self, address: str, message: Any) -> Failure | None:
        return self.network.send(address, message)

    def _apply_changes(self) -> None:
        """Audit changes of the member table, and disconnect hosts that are gone."""
        if self.table.generation == self._known_generation:
            return
        self._known_generation = self.table.generation
        states = {
            member.host.id: (member.host.address, member.state, member.incarnation)
            for member in self.table.members()
        }
        for host_id, (address, state, incarnation) in states.items():
            known = self._known_states.get(host_id)
            if known is None or known[1:] != (state, incarnation):
                # The version in force is not known here, so the event has version 0.
                self.audit.record(
                    _AUDIT_KINDS[state], 0, member=host_id, incarnation=incarnation
                )
            if state in (MemberState.DEAD, MemberState.LEFT) and (
                known is None or known[1] != state
            ):
                self.network.disconnect(address)
                self.on_host_lost(address)
        self._known_states = states
        self.on_change()


def _do_nothing(*_: Any) -> None:
    """Do nothing; the default of the callbacks."""
