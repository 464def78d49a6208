"""Tests of the choice of a replica's owner."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.membership import MemberState, MemberTable, Ownership, Update
from cicadalever.membership._ownership import candidate_count, connection_quota
from cicadalever.topology import Host, HostList, HostState, ListedHost, Replica

REPLICA = Replica("storefront-01-a", "storefront-01", "127.0.0.1:9001", "dc1", 2, 12)


def make_hosts(counts, roles=("entry", "owner")):
    """Return hosts of data centres dc1, dc2, ...; dc1 and dc2 are one region."""
    return [
        Host(f"dc{d}-h{i}", f"127.0.{d}.{i}:7000", f"dc{d}", f"r{(d + 1) // 2}", roles)
        for d, count in enumerate(counts, start=1)
        for i in range(count)
    ]


def make_table(own, hosts, dead=()):
    """Return the table of ``own`` after it read a list of ``hosts``."""
    table = MemberTable(own, 1000)
    table.list_hosts(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
    for host in dead:
        table.apply(Update(host, MemberState.DEAD, 1000), 0.0)
    return table


class TestOwnership(unittest.TestCase):
    """Candidates, owners and their connections."""

    def test_candidate_counts_of_the_design_page(self):
        """Guards against more candidates than the connections allow."""
        cases = ((2, 12, 3), (4, 25, 4), (2, 8, 2), (2, 4, 1), (1, 100, 8), (4, 1, 1))
        for slots, connections, expected in cases:
            replica = REPLICA._replace(slots=slots, connections=connections)
            self.assertEqual(candidate_count(replica), expected, replica)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        counts=st.tuples(*[st.integers(0, 5)] * 3).filter(any),
        slots=st.integers(1, 5),
        connections=st.integers(1, 40),
        data=st.data(),
    )
    def test_connection_limit_holds_for_any_views(
        self, counts, slots, connections, data
    ):
        """Guards against owners that together exceed a replica's connections."""
        replica = REPLICA._replace(slots=slots, connections=connections)
        hosts = make_hosts(counts)
        opened = allowed = 0
        for own in hosts:
            others = [host for host in hosts if host != own]
            dead = data.draw(st.sets(st.sampled_from(others))) if others else ()
            ownership = Ownership(make_table(own, hosts, dead))
            allowed += ownership.quota(replica)
            if ownership.owned_by_self(replica):
                self.assertGreater(ownership.quota(replica), 0)
                opened += ownership.quota(replica)
        self.assertLessEqual(opened, allowed)
        self.assertLessEqual(allowed, connections)

    def test_headroom_covers_lists_that_differ_by_one_host(self):
        """Guards against an excess owner while a new list reaches the hosts."""
        hosts = make_hosts((8,))
        for missing in hosts:
            rest = [host for host in hosts if host != missing]
            views = [make_table(hosts[0], listed) for listed in (hosts, rest)]
            union = set().union(*(Ownership(v).candidates(REPLICA) for v in views))
            total = len(union) * connection_quota(REPLICA)
            self.assertLessEqual(total, REPLICA.connections)

    def test_owner_moves_to_next_candidate_and_falls_back_by_region(self):
        """Guards against a dead, leaving or far owner while a better one lives."""
        hosts = make_hosts((2, 1, 3))
        table = make_table(hosts[-1], hosts)
        ownership = Ownership(table)
        order = ownership.candidates(REPLICA)
        self.assertEqual(
            [host.data_centre for host in order[:3]], ["dc1"] * 2 + ["dc2"]
        )
        first, second = (ownership.weight(REPLICA, host) for host in order[:2])
        self.assertGreater(first, second)
        self.assertEqual(ownership.owner_of(REPLICA), order[0])
        table.apply(Update(order[0], MemberState.LEAVING, 2000), 0.0)
        self.assertEqual(ownership.owner_of(REPLICA), order[1])
        table.apply(Update(order[1], MemberState.DEAD, 2000), 0.0)
        self.assertEqual(ownership.owner_of(REPLICA), order[2])

    def test_suspicion_and_unlisted_or_entry_hosts_do_not_move_ownership(self):
        """Guards against a replica moving to a host that must not own it."""
        hosts = make_hosts((3,))
        table = make_table(hosts[0], hosts)
        ownership = Ownership(table)
        owner = ownership.owner_of(REPLICA)
        table.apply(Update(owner, MemberState.SUSPECT, 1000), 0.0)
        for i in range(20):
            host = Host(f"late-{i}", f"127.0.9.{i}:7000", "dc1", "r1")
            table.apply(Update(host, MemberState.ALIVE, 1000), 0.0)
        self.assertEqual(ownership.owner_of(REPLICA), owner)
        entries = make_hosts((3,), roles=("entry",))
        self.assertIsNone(Ownership(make_table(entries[0], entries)).owner_of(REPLICA))

    def test_cache_follows_the_table_and_the_replica(self):
        """Guards against an owner that is kept after the list or replica changed."""
        hosts = make_hosts((2, 2))
        table = make_table(hosts[0], hosts)
        ownership = Ownership(table)
        for replica in (REPLICA, REPLICA._replace(data_centre="dc2")):
            owner = ownership.owner_of(replica)
            self.assertEqual(owner.data_centre, replica.data_centre)
            self.assertIs(ownership.owner_of(replica), owner)
        owner = ownership.owner_of(REPLICA)
        leaving = (
            ListedHost(h, HostState.LEAVING if h == owner else HostState.LIVE)
            for h in hosts
        )
        table.list_hosts(HostList(2, tuple(leaving)), 1.0)
        self.assertNotEqual(ownership.owner_of(REPLICA), owner)

    def test_watchers_are_two_live_hosts(self):
        """Guards against a data centre in which nobody watches the platform."""
        hosts = make_hosts((4,))
        table = make_table(hosts[0], hosts)
        ownership = Ownership(table)
        gone = next(host for host in ownership.watchers("dc1") if host != hosts[0])
        table.apply(Update(gone, MemberState.DEAD, 1000), 0.0)
        watchers = ownership.watchers("dc1")
        self.assertEqual(len(watchers), 2)
        self.assertNotIn(gone, watchers)
