"""The table of members and the precedence of what is said about them."""

from enum import IntEnum
from typing import NamedTuple

from cicadalever.topology import Host, HostList, HostState, ListedHost

from ._rendezvous import order_by_weight

FORGET_AFTER_S = 60.0
DELEGATES_PER_DATA_CENTRE = 2
# Seven times the fleet planned for; a defect elsewhere cannot exhaust the memory.
MAX_MEMBERS = 4096


class MemberState(IntEnum):
    """State of a member; a higher value outranks a lower one of the same age."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(NamedTuple):
    """A statement about a member, as hosts pass it on.

    ``incarnation`` is the start time of the process in ms and names the process.
    ``refutation`` counts how often that process contradicted a report of its
    silence. The pair orders statements; the state decides between equal pairs.
    """

    host: Host
    state: MemberState
    incarnation: int
    refutation: int = 0


class Member(NamedTuple):
    """What the table knows of a host.

    ``reported`` is the state by the membership protocol since ``changed_at``;
    ``listed`` is the state in the platform's list, None when it is not listed.
    """

    host: Host
    reported: MemberState
    incarnation: int
    refutation: int
    changed_at: float
    listed: HostState | None = None

    @property
    def state(self) -> MemberState:
        """State with the platform's list taken into account.

        The list has no incarnation. Its ``leaving`` is therefore kept apart from the
        reported state, so that a later list can withdraw it.
        """
        if self.listed is HostState.LEAVING:
            return max(self.reported, MemberState.LEAVING)
        return self.reported

    @property
    def is_live(self) -> bool:
        """Whether the host is reachable; true for suspect and leaving hosts."""
        return self.reported <= MemberState.LEAVING

    @property
    def may_own(self) -> bool:
        """Whether the host is live and not leaving."""
        return self.state < MemberState.LEAVING

    @property
    def precedence(self) -> tuple[int, int, MemberState]:
        """Order of statements about this host."""
        return (self.incarnation, self.refutation, self.reported)

    def as_update(self) -> MemberUpdate:
        """Return the statement that other hosts are told."""
        return MemberUpdate(self.host, self.reported, self.incarnation, self.refutation)


class MemberEvent(NamedTuple):
    """A visible change; ``state`` is None when the host was forgotten."""

    host: Host
    previous: MemberState | None
    state: MemberState | None
    incarnation: int


class MemberTable:
    """All known hosts, including the own one, in a bounded table.

    >>> own = Host("h1", "127.0.0.1:7001", "dc1", "r1")
    >>> table = MemberTable(own, incarnation=1_700_000_000_000)
    >>> peer = Host("h2", "127.0.0.1:7002", "dc1", "r1")
    >>> update = MemberUpdate(peer, MemberState.ALIVE, 1_700_000_000_500)
    >>> events = table.apply(update, 0.0)
    >>> [host.id for host in table.live()]
    ['h1', 'h2']
    """

    def __init__(self, self_host: Host, incarnation: int):
        self.self_host = self_host
        self.incarnation = incarnation
        self._members = {
            self_host.id: Member(self_host, MemberState.ALIVE, incarnation, 0, 0.0)
        }
        self._generation = 0
        self._listed_hosts_generation = 0
        self._list_generation: int | None = None
        self._suspects: set[str] = set()
        self._changed_ids: dict[str, None] = {}
        self._live: dict[str | None, tuple[Host, ...]] = {}
        self._delegates: dict[str, tuple[Host, ...]] = {}
        self._superseded_by: int | None = None

    @property
    def generation(self) -> int:
        """Grows with every change of a state, a host, an incarnation or the list."""
        return self._generation

    @property
    def listed_hosts_generation(self) -> int:
        """Grows when ``listed_hosts`` may have changed, but not with states."""
        return self._listed_hosts_generation

    @property
    def suspects(self) -> frozenset[str]:
        """Ids of the hosts that are reported as suspect."""
        return frozenset(self._suspects)

    @property
    def superseded_by(self) -> int | None:
        """A later incarnation of the own host id that others know, if any.

        It means that a second process uses the id, or that the clock was set back
        before this process started. Other hosts then ignore this process.
        """
        return self._superseded_by

    def member(self, host_id: str) -> Member | None:
        """Return what is known of a host."""
        return self._members.get(host_id)

    def self_member(self) -> Member:
        """Return the member that stands for this process."""
        return self._members[self.self_host.id]

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts, dead ones included."""
        return tuple(self._members.values())

    def live(self, data_centre: str | None = None) -> tuple[Host, ...]:
        """Return reachable hosts, the own and leaving ones included."""
        cached = self._live.get(data_centre)
        if cached is None:
            cached = self._live[data_centre] = tuple(
                member.host
                for member in self._members.values()
                if member.is_live and data_centre in (None, member.host.data_centre)
            )
        return cached

    def delegates(self, data_centre: str) -> tuple[Host, ...]:
        """Return the first two live hosts of a data centre by weight.

        Alive hosts come before suspect and leaving ones, so that after the loss of a
        data centre its hosts are probed without waiting for each pair to be dead.
        """
        cached = self._delegates.get(data_centre)
        if cached is None:
            ordered = order_by_weight(data_centre, self.live(data_centre))
            ordered.sort(key=lambda host: self._members[host.id].state)
            cached = self._delegates[data_centre] = tuple(
                ordered[:DELEGATES_PER_DATA_CENTRE]
            )
        return cached

    def listed_hosts(self) -> tuple[Host, ...]:
        """Return the hosts that the platform lists, live or not.

        Before the first list was read, these are all known hosts.
        """
        return tuple(
            member.host for member in self._members.values() if self.is_listed(member)
        )

    def is_listed(self, member: Member) -> bool:
        """Tell whether the platform lists the member, or no list was read yet."""
        return member.listed is not None or self._list_generation is None

    def apply(self, update: MemberUpdate, now: float) -> list[MemberEvent]:
        """Merge a statement unless it is outranked by what is known.

        A statement against the own process is refuted. A statement that an unknown
        host is gone is ignored, so that forgotten hosts do not come back.
        """
        if update.host.id == self.self_host.id:
            return self._refute(update)
        known = self._members.get(update.host.id)
        if known is None:
            return self._add(update, now)
        order = (update.incarnation, update.refutation, update.state)
        if order <= known.precedence:
            return []
        self._changed_ids[update.host.id] = None
        return self._put(Member(*self._update_fields(update), now, known.listed))

    def merge_host_list(self, hosts: HostList, now: float) -> list[MemberEvent]:
        """Merge the platform's list, which may lag behind the truth."""
        current = self._list_generation
        if current is not None and hosts.generation < current:
            return []
        if hosts.generation != current:
            self._list_generation = hosts.generation
            self._advance_generations(listed_hosts=current is None)
        listed = {entry.host.id: entry for entry in hosts.hosts}
        events = []
        for entry in listed.values():
            events += self._merge_listed(entry, now)
        for member in self.members():
            if member.listed is not None and member.host.id not in listed:
                events += self._put(member._replace(listed=None))
        return events

    def mark_self_leaving(self) -> list[MemberEvent]:
        """Announce that this process leaves; this cannot be undone."""
        own = self.self_member()
        if own.reported is MemberState.LEAVING:
            return []
        self._changed_ids[own.host.id] = None
        return self._put(own._replace(reported=MemberState.LEAVING))

    def remove_gone(self, now: float) -> list[MemberEvent]:
        """Drop hosts that are no longer listed and were gone for ``FORGET_AFTER_S``."""
        events = []
        for member in self.members():
            is_expired = now - member.changed_at >= FORGET_AFTER_S
            if is_expired and not member.is_live and not self.is_listed(member):
                events.append(self._forget(member))
        return events

    def take_changed(self) -> list[str]:
        """Return the ids with new statements since the last call."""
        changed = list(self._changed_ids)
        self._changed_ids.clear()
        return changed

    @staticmethod
    def _update_fields(update: MemberUpdate) -> tuple[Host, MemberState, int, int]:
        return update.host, update.state, update.incarnation, update.refutation

    def _add(self, update: MemberUpdate, now: float) -> list[MemberEvent]:
        if update.state >= MemberState.DEAD or len(self._members) >= MAX_MEMBERS:
            return []
        self._changed_ids[update.host.id] = None
        return self._put(Member(*self._update_fields(update), now))

    def _refute(self, update: MemberUpdate) -> list[MemberEvent]:
        own = self.self_member()
        if update.incarnation > own.incarnation:
            self._superseded_by = max(update.incarnation, self._superseded_by or 0)
            return []
        order = (update.incarnation, update.refutation, update.state)
        if order <= own.precedence:
            return []
        self._changed_ids[own.host.id] = None
        return self._put(own._replace(refutation=update.refutation + 1))

    def _merge_listed(self, entry: ListedHost, now: float) -> list[MemberEvent]:
        member = self._members.get(entry.host.id)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return []
            member = Member(entry.host, MemberState.ALIVE, 0, 0, now)
        # A process states its own address. The list is used when no process of the
        # host was heard yet, or when the last one is gone and may have moved.
        if member.incarnation == 0 or not member.is_live:
            member = member._replace(host=entry.host)
        return self._put(member._replace(listed=entry.state))

    def _put(self, member: Member) -> list[MemberEvent]:
        host_id = member.host.id
        previous = self._members.get(host_id)
        self._members[host_id] = member
        self._suspects.discard(host_id)
        if member.reported is MemberState.SUSPECT:
            self._suspects.add(host_id)
        if previous is None:
            self._advance_generations(listed_hosts=True)
            return [MemberEvent(member.host, None, member.state, member.incarnation)]
        is_moved = previous.host != member.host
        is_relisted = (previous.listed is None) != (member.listed is None)
        before = (previous.state, previous.incarnation)
        if is_moved or is_relisted or before != (member.state, member.incarnation):
            self._advance_generations(listed_hosts=is_moved or is_relisted)
        if before == (member.state, member.incarnation):
            return []
        return [
            MemberEvent(member.host, previous.state, member.state, member.incarnation)
        ]

    def _forget(self, member: Member) -> MemberEvent:
        del self._members[member.host.id]
        self._changed_ids.pop(member.host.id, None)
        self._advance_generations(listed_hosts=True)
        return MemberEvent(member.host, member.state, None, member.incarnation)

    def _advance_generations(self, *, listed_hosts: bool) -> None:
        self._generation += 1
        self._listed_hosts_generation += listed_hosts
        self._live.clear()
        self._delegates.clear()
