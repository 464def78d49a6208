"""Tests of the member table and the failure detector in simulated time."""

import itertools
import random
import unittest
from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.membership import MemberState, MemberTable, MemberUpdate, Prober
from cicadalever.membership import VersionDigest as Digest
from cicadalever.topology import Host, HostList, HostState, ListedHost

ALIVE, SUSPECT, LEAVING, DEAD, LEFT = MemberState
# With ``derandomize``, the examples depend on the source text of each test.
EXAMPLES = settings(derandomize=True, max_examples=20, deadline=None)


def make_host(number):
    """Return host ``number``, in one of three data centres by turns."""
    address = f"127.0.0.1:{7000 + number}"
    return Host(f"host-{number:02}", address, f"dc{number % 3}", "region-1")


def make_probers(count, seed=1, *, listed=True):
    """Return the probers of ``count`` hosts by address."""
    hosts = [make_host(number) for number in range(count)]
    probers = {}
    for number, host in enumerate(hosts):
        table = MemberTable(host, 1_700_000_000_000 + number)
        if listed:
            table.merge_host_list(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
        rng = random.Random(f"{seed}/{number}")
        probers[host.address] = Prober(table, rng, seeds=(hosts[0].address,))
    return probers


def exchange(
    probers, start, seconds, *, faults=0.0, stopped=(), isolated=(), mail=None
):
    """Tick every 100 ms, deliver messages, and return the bytes sent per address.

    ``faults`` is the share of messages that are lost, and likewise of those that are
    duplicated and delayed; with faults, messages are also reordered. Hosts in
    ``stopped`` do not run, and messages to them wait in ``mail``. Messages between the
    addresses in ``isolated`` and all others are lost.
    """
    rng, sent = random.Random(start), Counter()
    waiting = [] if mail is None else mail
    for step in range(round(seconds * 10)):
        now = start + step / 10
        queue = [item for item in waiting if item[1] not in stopped]
        waiting[:] = [item for item in waiting if mail and item[1] in stopped]
        for address, prober in probers.items():
            if address not in stopped:
                queue += [(address, *item) for item in prober.tick(now)]
        while queue:
            item = queue.pop(rng.randrange(len(queue)) if faults else 0)
            source, target, message = item
            frame = msgspec.msgpack.encode(message)
            sent[source] += len(frame)
            message = msgspec.msgpack.decode(frame, type=type(message))
            lost, duplicated, delayed = (rng.random() < faults for _ in range(3))
            if lost or (source in isolated) != (target in isolated):
                continue
            is_held = delayed or target in stopped
            waiting += [item] * (duplicated + is_held)
            if not is_held and target in probers:
                answers = probers[target].receive(message, now)
                queue += [(target, *answer) for answer in answers]
    return sent


def views(probers):
    """Return the distinct sets of alive hosts by address; one set if all agree."""
    return {
        frozenset(m.host.address for m in p.table.members() if m.state is ALIVE)
        for p in probers.values()
    }


SEEDS = st.integers(0, 10_000)
COUNTERS = st.integers(0, 2)
UPDATES = st.builds(
    MemberUpdate,
    st.just(make_host(2)),
    st.sampled_from(MemberState),
    COUNTERS,
    COUNTERS,
)


class TestMemberTable(unittest.TestCase):
    """Precedence of updates, and the platform's host list."""

    def setUp(self):
        self.peer = make_host(2)
        self.table = MemberTable(make_host(1), 1000)

    def apply_update(self, state, incarnation=1000, refutation=0, host=None, now=0.0):
        update = MemberUpdate(host or self.peer, state, incarnation, refutation)
        return self.table.apply(update, now)

    def listing(self, generation, *entries, now=0.0):
        return self.table.merge_host_list(HostList(generation, entries), now)

    @EXAMPLES
    @given(st.lists(UPDATES, min_size=1, max_size=6), SEEDS)
    def test_order_and_duplicates_do_not_matter(self, updates, seed):
        """Guards against hosts that heard the same and disagree for ever."""
        shuffled = updates * 2
        random.Random(seed).shuffle(shuffled)
        seen = set()
        for order in (updates, shuffled):
            self.setUp()
            self.listing(1, ListedHost(self.peer))
            for update in order:
                self.table.apply(update, 0.0)
            seen.add(self.table.member(self.peer.id).precedence)
        self.assertEqual(len(seen), 1)

    def test_refutes_reports_about_itself_but_keeps_its_incarnation(self):
        """Guards against a live host that stays dead for other hosts.

        A new incarnation would refute the report as well, but it would invalidate the
        request ids that the process has issued.
        """
        own = self.table.self_host
        self.apply_update(DEAD, 1000, 4, host=own)
        member = self.table.self_member()
        self.assertEqual(member.precedence, (1000, 5, ALIVE))
        self.apply_update(DEAD, 999, 9, host=own)
        self.assertEqual(self.table.self_member(), member)
        self.table.mark_self_leaving()
        self.apply_update(DEAD, 1000, 5, host=own)
        self.assertEqual(self.table.self_member().precedence, (1000, 6, LEAVING))
        self.assertIsNone(self.table.superseded_by)
        self.apply_update(ALIVE, 2000, host=own)
        self.assertEqual(self.table.superseded_by, 2000)

    def test_restarted_host_outranks_its_former_self(self):
        """Guards against a restarted host that other hosts still regard as dead."""
        self.apply_update(ALIVE)
        self.apply_update(DEAD, refutation=7)
        self.assertEqual(self.table.live(), (self.table.self_host,))
        events = self.apply_update(ALIVE, 1001)
        self.assertEqual(events[0][1:], (DEAD, ALIVE, 1001))
        self.assertIn(self.peer, self.table.live("dc2"))

    def test_list_overrules_only_itself(self):
        """Guards against an outdated list that revives a host or keeps it leaving."""
        self.listing(5, ListedHost(self.peer, HostState.LEAVING))
        self.apply_update(ALIVE, incarnation=1)
        self.assertIn(self.peer, self.table.live())
        self.assertEqual(self.table.member(self.peer.id).state, LEAVING)
        self.listing(6, ListedHost(self.peer))
        self.assertEqual(self.listing(5), [])
        self.assertEqual(self.table.member(self.peer.id).state, ALIVE)
        self.apply_update(DEAD, incarnation=1)
        self.listing(7, ListedHost(self.peer))
        self.assertEqual(self.table.member(self.peer.id).state, DEAD)

    def test_forgets_only_unlisted_hosts_after_a_minute(self):
        """Guards against a table that grows with every replaced host."""
        self.listing(1, ListedHost(self.peer))
        self.apply_update(DEAD, now=10.0)
        self.assertEqual(self.table.remove_gone(100.0), [])
        self.listing(2)
        self.assertEqual(self.table.remove_gone(69.9), [])
        self.assertIsNone(self.table.remove_gone(70.0)[0].state)
        self.apply_update(DEAD)
        self.assertIsNone(self.table.member(self.peer.id))
        for number in range(5000):
            self.apply_update(ALIVE, host=make_host(number))
        self.assertLessEqual(len(self.table.members()), 4096)


class TestProber(unittest.TestCase):
    """Failure detection under faults and the content of messages."""

    @EXAMPLES
    @given(SEEDS, st.sampled_from((0.1, 0.3, 0.5)))
    def test_members_agree_after_faults_stop(self, seed, faults):
        """Guards against a live member that stays dead or suspect for others."""
        probers = make_probers(7, seed)
        exchange(probers, seed, 10, faults=faults)
        del probers[make_host(seed % 7).address]
        exchange(probers, seed + 10, 10, faults=faults)
        exchange(probers, seed + 20, 30)
        self.assertEqual(views(probers), {frozenset(probers)})

    @EXAMPLES
    @given(SEEDS, st.integers(20, 40), st.integers(1, 9) | st.integers(11, 150))
    def test_paused_member_causes_no_other_death(self, seed, before, paused):
        """Guards against a woken process that takes its own pause for silence."""
        probers = make_probers(6, seed)
        sleeper = make_host(seed % 6)
        prober = probers[sleeper.address]
        mail = []
        start, woken = before / 10, (before + paused) / 10
        exchange(probers, 0.0, start, mail=mail)
        exchange(probers, start, paused / 10, stopped={sleeper.address}, mail=mail)
        self.assertEqual(prober.view_is_fresh(woken), paused < 10)
        self.assertFalse(prober.is_isolated(woken))
        exchange(probers, woken, 20, mail=mail)
        for other in probers.values():
            dead = {e.host for e in other.take_events() if e.state is DEAD}
            self.assertLessEqual(dead, {sleeper})
        self.assertTrue(prober.view_is_fresh(woken + 20))
        self.assertEqual(views(probers), {frozenset(probers)})

    def test_pause_extends_probes_and_suspicions(self):
        """Guards against timers that expire before waiting answers are read."""
        for last_step, resumed_at in ((0, 5.0), (7, 1.6), (14, 6.4)):
            probers = make_probers(2)
            address, one = next(iter(probers.items()))
            one.table.apply(MemberUpdate(make_host(1), SUSPECT, 1), 0.0)
            steps = range(last_step + 1)
            mail = [(address, *item) for step in steps for item in one.tick(step / 10)]
            one.take_events()
            exchange(probers, resumed_at, 5, mail=mail)
            self.assertLessEqual({e.state for e in one.take_events()}, {ALIVE})

    def test_view_stays_stale_until_an_ack_of_a_later_ping(self):
        """Guards against a stale table that counts as fresh due to an earlier ack."""
        one, two = make_probers(2).values()
        old = [ack for _, ping in one.tick(0.0) for _, ack in two.receive(ping, 0.0)]
        for ack in old:
            one.receive(ack, 5.0)
        new = [ack for _, ping in one.tick(5.0) for _, ack in two.receive(ping, 5.0)]
        self.assertFalse(one.view_is_fresh(5.0))
        one.receive(new[0], 5.0)
        self.assertTrue(one.view_is_fresh(5.0))

    def test_silent_member_is_gone_everywhere(self):
        """Guards against a silent host that keeps replicas or gets them back."""
        for seed, is_leaving in itertools.product(range(3), (False, True)):
            probers = make_probers(12, seed)
            lost = make_host(seed)
            if is_leaving:
                probers[lost.address].table.mark_self_leaving()
            exchange(probers, 0.0, 8)
            del probers[lost.address]
            for prober in probers.values():
                leaving = prober.table.member(lost.id).state is LEAVING
                self.assertEqual(leaving, is_leaving)
                prober.take_events()
            exchange(probers, 8.0, 8)
            for prober in probers.values():
                states = [e.state for e in prober.take_events() if e.host == lost]
                expected = LEFT if is_leaving else DEAD
                self.assertEqual(states[-1], expected)
                # A leaving host that was suspect in between could own replicas again.
                self.assertTrue(not is_leaving or len(states) == 1, states)

    def test_partition_heals_and_lone_host_knows_it_is_isolated(self):
        """Guards against sides of a partition that stay apart after it ended."""
        probers = make_probers(9)
        exchange(probers, 0.0, 5)
        lone_address = make_host(4).address
        exchange(probers, 5.0, 30, isolated={lone_address})
        self.assertTrue(probers[lone_address].is_isolated(35.0))
        self.assertEqual(
            views(probers),
            {frozenset({lone_address}), frozenset(probers) - {lone_address}},
        )
        exchange(probers, 35.0, 10)
        self.assertFalse(probers[lone_address].is_isolated(45.0))
        isolated = {make_host(number).address for number in (0, 3, 6)}
        exchange(probers, 45.0, 30, isolated=isolated)
        self.assertEqual(
            views(probers), {frozenset(isolated), frozenset(probers) - isolated}
        )
        exchange(probers, 75.0, 20)
        self.assertEqual(views(probers), {frozenset(probers)})

    def test_indirect_probes_prevent_suspicion(self):
        """Guards against the loss of one link being taken for the loss of a host."""
        probers = make_probers(4)
        exchange(probers, 0.0, 2)
        one, two = list(probers)[:2]
        original = probers[one].receive
        probers[one].receive = lambda message, now: (
            [] if message.sender.address == two else original(message, now)
        )
        exchange(probers, 2.0, 20)
        for prober in probers.values():
            states = {event.state for event in prober.take_events()}
            self.assertNotIn(SUSPECT, states)

    def test_seeds_and_digests_replace_the_platform(self):
        """Guards against hosts that need the platform to find peers or new versions."""
        probers = make_probers(8, listed=False)
        one, ahead, local = (probers[make_host(n).address] for n in (0, 1, 3))
        self.assertIsNone(one.newest_peer_digest)
        self.assertEqual(one.platform_contact_age(0.0), float("inf"))
        ahead.set_digest(Digest(9, 7, 0.0))
        local.set_digest(Digest(5, 4, 1.5))
        exchange(probers, 0.0, 2)
        self.assertEqual(views(probers), {frozenset(probers)})
        exchange(probers, 2.0, 3)
        self.assertEqual(one.newest_peer_digest.digest, Digest(9, 7, 0.0))
        self.assertEqual(one.newest_peer_digest.address, make_host(1).address)
        self.assertGreaterEqual(one.platform_contact_age(5.0), 1.5)
        self.assertLess(one.platform_contact_age(5.0), 10.0)
        self.assertEqual(len(dict(ahead.announce(5.0, fanout=4))), 4)

    def test_updates_are_limited_fair_and_retired(self):
        """Guards against messages that grow, and updates that are never sent."""
        prober = Prober(MemberTable(make_host(0), 1000), random.Random(1))
        for number in range(1, 41):
            update = MemberUpdate(make_host(number), ALIVE, 1000)
            prober.table.apply(update, 0.0)
        sizes, sends = [], Counter()
        for _ in range(100):
            updates = prober.announce(0.0, fanout=1)[0][1].updates
            sends.update(update.host.id for update in updates)
            sizes.append((len(updates), len(sends)))
        self.assertEqual(sizes[2], (16, 40))
        self.assertEqual(sizes[-1], (4, 40))
        self.assertEqual(max(sizes)[0], 16)

    def test_bytes_per_member_do_not_grow_with_the_fleet(self):
        """Guards against control traffic that grows with the number of members."""
        rates = []
        for count in (12, 48):
            probers = make_probers(count)
            exchange(probers, 0.0, 30)
            del probers[make_host(5).address]
            sent = exchange(probers, 30.0, 30)
            rates.append(sent.total() / len(probers) / 60)
        # 15 others of the own data centre and two delegates of each of two others
        self.assertEqual(len(probers[make_host(0).address]._update_probe_targets()), 19)
        self.assertLess(rates[1], rates[0] * 1.1)
        self.assertLess(rates[1] / 0.5, 16_000)


class TestConnectionLost(unittest.TestCase):
    """Suspicion of a member whose connection broke."""

    def setUp(self):
        self.probers = make_probers(6)
        exchange(self.probers, 0.0, 5.0)
        *self.others, self.last = self.probers

    def states_of_last(self, addresses):
        host_id = self.probers[self.last].table.self_host.id
        tables = [self.probers[address].table for address in addresses]
        return {table.member(host_id).state for table in tables}

    def test_lost_member_is_dead_after_the_suspicion(self):
        """Guards against a takeover that is delayed until the next probe."""
        for address in self.others:
            self.probers[address].suspect(self.last, 0.5, 5.0)
        exchange(self.probers, 5.0, 1.0, stopped=(self.last,))
        self.assertEqual(self.states_of_last(self.others), {DEAD})

    def test_member_that_reconnects_stays_alive(self):
        """Guards against a live host declared dead when its connection was reset."""
        self.probers[self.others[0]].suspect(self.last, 0.5, 5.0)
        exchange(self.probers, 5.0, 5.0)
        self.assertEqual(self.states_of_last(self.probers), {ALIVE})
