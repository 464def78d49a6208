"""The member table and the precedence of updates about a member."""

from enum import IntEnum
from typing import NamedTuple

from cicadalever.topology import Host, HostList, HostState, ListedHost

from ._rendezvous import order_by_weight

# Time after which a dead or departed host that is no longer listed is removed.
REMOVE_GONE_AFTER_S = 60.0
DELEGATES_PER_DATA_CENTRE = 2
# Seven times the planned number of hosts. It bounds the memory if a defect elsewhere
# adds members.
MAX_MEMBERS = 4096


class MemberState(IntEnum):
    """State of a member.

    Of two updates with the same incarnation and refutation, the higher state wins.
    ``DEAD`` hosts stopped answering without notice; ``LEFT`` hosts had announced that
    they were leaving.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(NamedTuple):
    """The state of a member as hosts report it to each other.

    ``incarnation`` is the start time of the process in Unix milliseconds and
    identifies the process. ``refutation`` counts how often that process contradicted
    a report that it is suspect or dead. Updates are ordered by this pair, and by the
    state if the pairs are equal.
    """

    host: Host
    state: MemberState
    incarnation: int
    refutation: int = 0


class Member(NamedTuple):
    """The entry of a host in the member table.

    ``reported`` is the state according to the membership protocol, and ``changed_at``
    the time in seconds of the last applied update. ``listed`` is the state in the
    platform's host list, or None if the host is not listed.
    """

    host: Host
    reported: MemberState
    incarnation: int
    refutation: int
    changed_at: float
    listed: HostState | None = None

    @property
    def state(self) -> MemberState:
        """State that combines the reported state with the platform's list.

        The list has no incarnations. Its state ``leaving`` is therefore stored apart
        from the reported state, so that a later list can withdraw it.
        """
        if self.listed is HostState.LEAVING:
            return max(self.reported, MemberState.LEAVING)
        return self.reported

    @property
    def is_live(self) -> bool:
        """Whether the host is neither dead nor has left; true if suspect or leaving."""
        return self.reported <= MemberState.LEAVING

    @property
    def may_own(self) -> bool:
        """Whether the host may own replicas: it is live and not leaving."""
        return self.state < MemberState.LEAVING

    @property
    def precedence(self) -> tuple[int, int, MemberState]:
        """Sort key of the last applied update; lower or equal updates are ignored."""
        return (self.incarnation, self.refutation, self.reported)

    def as_update(self) -> MemberUpdate:
        """Return the update that is sent to other hosts."""
        return MemberUpdate(self.host, self.reported, self.incarnation, self.refutation)


class MemberEvent(NamedTuple):
    """A change of state or process; ``state`` is None when the host was removed."""

    host: Host
    previous: MemberState | None
    state: MemberState | None
    incarnation: int


class MemberTable:
    """All known hosts, including this one, in a table of bounded size.

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
        """Counter of changes of a state, a host, an incarnation or the host list."""
        return self._generation

    @property
    def listed_hosts_generation(self) -> int:
        """Counter of changes that may affect ``listed_hosts``; states do not count."""
        return self._listed_hosts_generation

    @property
    def suspects(self) -> frozenset[str]:
        """Ids of the hosts whose reported state is suspect."""
        return frozenset(self._suspects)

    @property
    def superseded_by(self) -> int | None:
        """The latest incarnation of this host's id that outranks this process, if any.

        If there is one, a second process uses the id, or the clock was set back before
        this process started. Other hosts then ignore the updates of this process.
        """
        return self._superseded_by

    def member(self, host_id: str) -> Member | None:
        """Return the member with an id, or None if it is unknown."""
        return self._members.get(host_id)

    def self_member(self) -> Member:
        """Return the member of this process."""
        return self._members[self.self_host.id]

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts, dead ones included."""
        return tuple(self._members.values())

    def live(self, data_centre: str | None = None) -> tuple[Host, ...]:
        """Return the live hosts, including this one, suspect and leaving ones."""
        cached = self._live.get(data_centre)
        if cached is None:
            cached = self._live[data_centre] = tuple(
                member.host
                for member in self._members.values()
                if member.is_live and data_centre in (None, member.host.data_centre)
            )
        return cached

    def delegates(self, data_centre: str) -> tuple[Host, ...]:
        """Return the live hosts of a data centre that other data centres probe.

        They are the first two by rendezvous weight. Alive hosts come before suspect
        and leaving ones, so that after the loss of a whole data centre the next hosts
        are probed without waiting until each pair of delegates is dead.
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

        Before the first list was merged, these are all known hosts.
        """
        return tuple(
            member.host for member in self._members.values() if self.is_listed(member)
        )

    def is_listed(self, member: Member) -> bool:
        """Tell whether the platform lists the member, or no list was merged yet."""
        return member.listed is not None or self._list_generation is None

    def apply(self, update: MemberUpdate, now: float) -> list[MemberEvent]:
        """Apply an update unless the known state outranks it.

        An update that reports this process as suspect or dead is refuted. An update
        that an unknown host is dead or has left is ignored, so that removed hosts are
        not added again.
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
        return self._store(Member(*self._update_fields(update), now, known.listed))

    def merge_host_list(self, hosts: HostList, now: float) -> list[MemberEvent]:
        """Merge the platform's host list, which may be out of date.

        A list with an older generation than the last one is ignored.
        """
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
                events += self._store(member._replace(listed=None))
        return events

    def mark_self_leaving(self) -> list[MemberEvent]:
        """Set the state of this process to leaving; this cannot be undone."""
        own = self.self_member()
        if own.reported is MemberState.LEAVING:
            return []
        self._changed_ids[own.host.id] = None
        return self._store(own._replace(reported=MemberState.LEAVING))

    def remove_gone(self, now: float) -> list[MemberEvent]:
        """Remove hosts that are not listed and have been dead or left for a while.

        The time is ``REMOVE_GONE_AFTER_S``.
        """
        events = []
        for member in self.members():
            is_expired = now - member.changed_at >= REMOVE_GONE_AFTER_S
            if is_expired and not member.is_live and not self.is_listed(member):
                events.append(self._remove(member))
        return events

    def take_changed(self) -> list[str]:
        """Return the ids of members with new updates since the last call."""
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
        return self._store(Member(*self._update_fields(update), now))

    def _refute(self, update: MemberUpdate) -> list[MemberEvent]:
        own = self.self_member()
        if update.incarnation > own.incarnation:
            self._superseded_by = max(update.incarnation, self._superseded_by or 0)
            return []
        order = (update.incarnation, update.refutation, update.state)
        if order <= own.precedence:
            return []
        self._changed_ids[own.host.id] = None
        return self._store(own._replace(refutation=update.refutation + 1))

    def _merge_listed(self, entry: ListedHost, now: float) -> list[MemberEvent]:
        member = self._members.get(entry.host.id)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return []
            member = Member(entry.host, MemberState.ALIVE, 0, 0, now)
        # A process reports its own address. The address in the list is used while no
        # process of the host is known, or when the last one is dead or has left, since
        # the host may have moved.
        if member.incarnation == 0 or not member.is_live:
            member = member._replace(host=entry.host)
        return self._store(member._replace(listed=entry.state))

    def _store(self, member: Member) -> list[MemberEvent]:
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

    def _remove(self, member: Member) -> MemberEvent:
        del self._members[member.host.id]
        self._changed_ids.pop(member.host.id, None)
        self._advance_generations(listed_hosts=True)
        return MemberEvent(member.host, member.state, None, member.incarnation)

    def _advance_generations(self, *, listed_hosts: bool) -> None:
        self._generation += 1
        self._listed_hosts_generation += listed_hosts
        self._live.clear()
        self._delegates.clear()
