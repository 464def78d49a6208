"""Tests of the choice of replica owners."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.membership import MemberState, MemberTable, MemberUpdate, Ownership
from cicadalever.membership._ownership import candidate_count, connection_quota
from cicadalever.topology import Host, HostList, HostState, ListedHost, Replica

REPLICA = Replica("storefront-01-a", "storefront-01", "127.0.0.1:9001", "dc1", 2, 12)


def make_hosts(*counts, roles=("entry", "owner")):
    """Return hosts of data centres dc1, dc2, ...; each two share a region."""
    return [
        Host(f"dc{d}-h{i}", f"127.0.{d}.{i}:7000", f"dc{d}", f"r{(d + 1) // 2}", roles)
        for d, count in enumerate(counts, start=1)
        for i in range(count)
    ]


def make_table(own, hosts, dead=()):
    """Return the table of ``own`` with a list of ``hosts``, some of them dead."""
    table = MemberTable(own, 1000)
    table.merge_host_list(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
    for host in dead:
        table.apply(MemberUpdate(host, MemberState.DEAD, 1000), 0.0)
    return table


class TestOwnership(unittest.TestCase):
    """Candidates, owners and their connections."""

    def test_candidate_count_follows_slots_and_connections(self):
        """Guards against more candidates than the connections allow."""
        cases = ((2, 12, 3), (4, 25, 4), (2, 8, 2), (2, 4, 1), (1, 100, 8), (4, 1, 1))
        for slots, connections, expected in cases:
            replica = REPLICA._replace(slots=slots, connections=connections)
            self.assertEqual(candidate_count(replica), expected, replica)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.tuples(*[st.integers(0, 5)] * 3).filter(any),
        st.builds(
            REPLICA._replace, slots=st.integers(1, 5), connections=st.integers(1, 40)
        ),
        st.data(),
    )
    def test_connection_limit_holds_for_any_views(self, counts, replica, data):
        """Guards against owners that together exceed a replica's connections."""
        hosts = make_hosts(*counts)
        allowed = 0
        for own in hosts:
            dead = data.draw(st.sets(st.sampled_from(hosts))) - {own}
            ownership = Ownership(make_table(own, hosts, dead))
            allowed += ownership.quota(replica)
            if ownership.owned_by_self(replica):
                self.assertGreater(ownership.quota(replica), 0)
        self.assertLessEqual(allowed, replica.connections)

    def test_reserve_covers_lists_that_differ_by_one_host(self):
        """Guards against too many connections while a new list reaches the hosts."""
        hosts = make_hosts(8)
        for missing in hosts:
            lists = (hosts, [host for host in hosts if host != missing])
            views = [Ownership(make_table(hosts[0], listed)) for listed in lists]
            union = set().union(*(view.candidates(REPLICA) for view in views))
            self.assertLessEqual(len(union) * connection_quota(REPLICA), 12)

    def test_owner_moves_to_next_candidate_and_falls_back_by_region(self):
        """Guards against a dead, leaving or remote owner instead of a better one."""
        hosts = make_hosts(2, 1, 3)
        table = make_table(hosts[-1], hosts)
        ownership = Ownership(table)
        order = ownership.candidates(REPLICA)
        self.assertEqual(
            [host.data_centre for host in order[:3]], ["dc1"] * 2 + ["dc2"]
        )
        first, second = (ownership.weight(REPLICA, host) for host in order[:2])
        self.assertGreater(first, second)
        changes = (MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD)
        for state, old, new in zip(changes, (0, 0, 1), (0, 1, 2), strict=True):
            table.apply(MemberUpdate(order[old], state, 2000), 0.0)
            self.assertEqual(ownership.owner_of(REPLICA), order[new])

    def test_unlisted_and_entry_hosts_own_nothing(self):
        """Guards against a replica owned by a host that must not own it."""
        hosts = make_hosts(3, roles=("entry",))
        table = make_table(hosts[0], hosts)
        late = Host("late", "127.0.9.1:7000", "dc1", "r1")
        table.apply(MemberUpdate(late, MemberState.ALIVE, 1000), 0.0)
        self.assertIsNone(Ownership(table).owner_of(REPLICA))

    def test_platform_watchers_are_two_live_hosts(self):
        """Guards against a data centre in which nobody watches the platform."""
        hosts = make_hosts(4)
        gone = set(Ownership(make_table(hosts[0], hosts)).platform_watchers("dc1")) - {
            hosts[0]
        }
        watchers = Ownership(make_table(hosts[0], hosts, gone)).platform_watchers("dc1")
        self.assertEqual(len(set(watchers) - gone), 2)

    def test_cache_follows_the_table_and_the_replica(self):
        """Guards against a cached owner after the list or the replica changed."""
        hosts = make_hosts(2, 2)
        table = make_table(hosts[0], hosts)
        ownership = Ownership(table)
        for data_centre in ("dc2", "dc1"):
            owner = ownership.owner_of(REPLICA._replace(data_centre=data_centre))
            self.assertEqual(owner.data_centre, data_centre)
        states = {True: HostState.LEAVING, False: HostState.LIVE}
        listed = tuple(ListedHost(host, states[host == owner]) for host in hosts)
        table.merge_host_list(HostList(2, listed), 1.0)
        self.assertNotIn(ownership.owner_of(REPLICA), (owner, None))
        table.merge_host_list(HostList(3, listed[2:]), 2.0)
        self.assertEqual(ownership.owner_of(REPLICA).data_centre, "dc2")
