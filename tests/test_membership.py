"""Tests of the member table and the failure detector in simulated time."""

import random
import unittest
from collections import Counter

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.membership import (
    Ack,
    MemberState,
    MemberTable,
    Ping,
    PingRequest,
    Prober,
    Update,
    VersionDigest,
)
from cicadalever.topology import Host, HostList, HostState, ListedHost

STEPS_PER_S = 10
EXAMPLES = settings(derandomize=True, max_examples=20, deadline=None)


def make_host(number, data_centres=3):
    """Return host ``number``; hosts are dealt out to the data centres in turn."""
    return Host(
        f"host-{number:02}",
        f"127.0.0.1:{7000 + number}",
        f"dc{number % data_centres}",
        "region-1",
    )


def make_probers(count, seed=1, *, listed=True):
    """Return the probers of ``count`` hosts by address."""
    hosts = [make_host(number) for number in range(count)]
    probers = {}
    for number, host in enumerate(hosts):
        table = MemberTable(host, 1_700_000_000_000 + number)
        if listed:
            table.list_hosts(HostList(1, tuple(map(ListedHost, hosts))), 0.0)
        rng = random.Random(f"{seed}/{number}")
        seeds = (hosts[0].address,)
        probers[host.address] = Prober(table, rng, seeds=seeds)
    return probers


def exchange(
    probers, start, seconds, *, rng=None, faults=0.0, stopped=(), cut=(), mail=None
):
    """Tick every 100 ms, pass messages on, and return the bytes sent per address.

    With ``faults``, that share of messages each is lost, duplicated and delayed, and
    all are reordered. Stopped hosts do not run; mail to them waits if ``mail`` is
    given, as in the sockets of a paused process. Messages between the addresses in
    ``cut`` and all others are lost.
    """
    sent = Counter()
    waiting = [] if mail is None else mail
    for step in range(round(seconds * STEPS_PER_S)):
        now = start + step / STEPS_PER_S
        queue = [item for item in waiting if item[1] not in stopped]
        waiting[:] = [item for item in waiting if item[1] in stopped]
        for address, prober in probers.items():
            if address not in stopped:
                queue += [(address, *item) for item in prober.tick(now)]
        while queue:
            index = rng.randrange(len(queue)) if faults else 0
            source, target, message = queue.pop(index)
            sent[source] += len(msgspec.msgpack.encode(message))
            if (source in cut) != (target in cut) or (faults and rng.random() < faults):
                continue
            if faults and rng.random() < faults:
                waiting.append((source, target, message))
            if target in stopped or (faults and rng.random() < faults):
                waiting.append((source, target, message))
            elif target in probers:
                answers = probers[target].receive(message, now)
                queue += [(target, *item) for item in answers]
        if mail is None:
            waiting[:] = [item for item in waiting if item[1] not in stopped]
    return sent


def views(probers, without=()):
    """Return what each running host holds to be live and not suspect."""
    return {
        address: {
            member.host.address
            for member in prober.table.members()
            if member.state is MemberState.ALIVE
        }
        for address, prober in probers.items()
        if address not in without
    }


UPDATES = st.builds(
    Update,
    st.just(make_host(2)),
    st.sampled_from(MemberState),
    st.integers(1, 2),
    st.integers(0, 2),
)


class TestMemberTable(unittest.TestCase):
    """Precedence of statements and the platform's list."""

    def setUp(self):
        self.peer = make_host(2)
        self.table = MemberTable(make_host(1), 1000)

    def tell(self, state, incarnation=1000, refutation=0, host=None, now=0.0):
        update = Update(host or self.peer, state, incarnation, refutation)
        return self.table.apply(update, now)

    def listing(self, generation, *entries, now=0.0):
        return self.table.list_hosts(HostList(generation, entries), now)

    @EXAMPLES
    @given(updates=st.lists(UPDATES, min_size=1, max_size=6), seed=st.integers(0, 99))
    def test_order_and_duplicates_do_not_matter(self, updates, seed):
        """Guards against hosts that heard the same and disagree for ever."""
        shuffled = updates * 2
        random.Random(seed).shuffle(shuffled)
        seen = set()
        for order in (updates, shuffled):
            table = MemberTable(make_host(1), 1000)
            table.list_hosts(HostList(1, (ListedHost(self.peer),)), 0.0)
            for update in order:
                table.apply(update, 0.0)
            seen.add(table.member(self.peer.id).precedence)
        self.assertEqual(len(seen), 1)

    def test_refutes_reports_about_itself_but_keeps_its_incarnation(self):
        """Guards against a live host that stays dead, or ids that lose their issuer."""
        own = self.table.self_host
        self.tell(MemberState.DEAD, 1000, 4, host=own)
        member = self.table.own()
        self.assertEqual(member.precedence, (1000, 5, MemberState.ALIVE))
        self.tell(MemberState.DEAD, 999, 9, host=own)
        self.assertEqual(self.table.own(), member)
        self.table.mark_self_leaving()
        self.tell(MemberState.DEAD, 1000, 5, host=own)
        self.assertEqual(self.table.own().precedence, (1000, 6, MemberState.LEAVING))

    def test_later_process_with_own_id_is_reported(self):
        """Guards against two processes with one id that go unnoticed."""
        self.assertIsNone(self.table.superseded_by)
        self.tell(MemberState.ALIVE, 2000, host=self.table.self_host)
        self.assertEqual(self.table.superseded_by, 2000)

    def test_restarted_host_outranks_its_former_self(self):
        """Guards against a restarted host that is taken for dead."""
        self.tell(MemberState.ALIVE)
        self.tell(MemberState.DEAD, refutation=7)
        self.assertEqual(self.table.live(), (self.table.self_host,))
        events = self.tell(MemberState.ALIVE, 1001)
        self.assertEqual(events[0][1:], (MemberState.DEAD, MemberState.ALIVE, 1001))
        self.assertIn(self.peer, self.table.live("dc2"))

    def test_lagging_list_does_not_revive_or_revert(self):
        """Guards against the list overruling what hosts observed themselves."""
        self.listing(5, ListedHost(self.peer))
        self.assertEqual(self.table.member(self.peer.id).incarnation, 0)
        self.tell(MemberState.DEAD)
        self.listing(6, ListedHost(self.peer))
        self.assertEqual(self.table.member(self.peer.id).state, MemberState.DEAD)
        generation = self.table.generation
        self.assertEqual(self.listing(5), [])
        self.assertEqual(self.table.generation, generation)

    def test_listed_leaving_is_withdrawn_by_a_later_list(self):
        """Guards against a restarted host that the old list keeps from owning."""
        self.listing(1, ListedHost(self.peer, HostState.LEAVING))
        self.tell(MemberState.ALIVE)
        self.assertEqual(self.table.member(self.peer.id).state, MemberState.LEAVING)
        self.assertIn(self.peer, self.table.live())
        self.listing(2, ListedHost(self.peer))
        self.assertEqual(self.table.member(self.peer.id).state, MemberState.ALIVE)

    def test_forgets_only_unlisted_hosts_after_a_minute(self):
        """Guards against a table that grows with every replaced host."""
        self.listing(1, ListedHost(self.peer))
        self.tell(MemberState.DEAD, now=10.0)
        self.assertEqual(self.table.forget_gone(100.0), [])
        self.listing(2)
        self.assertEqual(self.table.forget_gone(69.9), [])
        self.assertIsNone(self.table.forget_gone(70.0)[0].state)
        self.tell(MemberState.DEAD)
        self.assertIsNone(self.table.member(self.peer.id))

    def test_table_is_bounded(self):
        """Guards against memory that grows with invented host ids."""
        for number in range(5000):
            self.tell(MemberState.ALIVE, host=make_host(number))
        self.assertLessEqual(len(self.table.members()), 4096)


class TestMessages(unittest.TestCase):
    """Encoding and content of messages."""

    def test_messages_survive_msgpack(self):
        """Guards against field types that the codec cannot restore."""
        host = make_host(1)
        updates = (Update(host, MemberState.SUSPECT, 1_700_000_000_000, 3),)
        header = (host, 1_700_000_000_000, 1, True, 7, VersionDigest(), updates)
        for message in (
            Ping(*header),
            Ack(*header, "host-02"),
            PingRequest(*header, "host-02", "127.0.0.1:7002"),
        ):
            frame = msgspec.msgpack.encode(message)
            decoded = msgspec.msgpack.decode(frame, type=type(message))
            self.assertEqual(decoded, message)
            self.assertIs(type(decoded.updates[0].state), MemberState)

    def test_updates_are_limited_fair_and_retired(self):
        """Guards against messages that grow and updates that are never sent."""
        prober = Prober(MemberTable(make_host(0), 1000), random.Random(1))
        for number in range(1, 41):
            update = Update(make_host(number), MemberState.ALIVE, 1000)
            prober.table.apply(update, 0.0)
        sizes = []
        heard = Counter()
        for _ in range(100):
            updates = prober.announce(0.0, fanout=1)[0][1].updates
            heard.update(update.host.id for update in updates)
            sizes.append(len(updates))
            if len(sizes) == 3:
                self.assertEqual(len(heard), 40)
        self.assertEqual(max(sizes), 16)
        self.assertEqual(sizes[-1], 4)

    def test_bytes_per_member_do_not_grow_with_the_fleet(self):
        """Guards against control traffic that grows with the number of members."""
        rates = []
        for count in (12, 48):
            probers = make_probers(count)
            exchange(probers, 0.0, 30)
            lost = make_host(5).address
            sent = exchange(probers, 30.0, 30, stopped={lost})
            rates.append(sent.total() / (count - 1) / 60)
        self.assertLess(rates[1], rates[0] * 1.1)
        self.assertLess(rates[1] / 0.5, 16_000)


class TestProber(unittest.TestCase):
    """Failure detection under faults."""

    @EXAMPLES
    @given(seed=st.integers(0, 10_000), faults=st.sampled_from((0.1, 0.3, 0.5)))
    def test_members_agree_after_faults_stop(self, seed, faults):
        """Guards against a live member that stays dead or suspect for others."""
        probers = make_probers(7, seed)
        down = {make_host(seed % 7).address}
        rng = random.Random(seed)
        exchange(probers, 0.0, 10, rng=rng, faults=faults)
        exchange(probers, 10.0, 10, rng=rng, faults=faults, stopped=down)
        exchange(probers, 20.0, 30, stopped=down)
        for address, view in views(probers, down).items():
            self.assertEqual(view, set(probers) - down, address)

    @EXAMPLES
    @given(
        seed=st.integers(0, 10_000),
        before=st.integers(20, 40),
        paused=st.integers(1, 150),
    )
    def test_paused_member_causes_no_other_death(self, seed, before, paused):
        """Guards against a woken process that takes its own pause for silence."""
        probers = make_probers(6, seed)
        sleeper = make_host(seed % 6)
        prober = probers[sleeper.address]
        mail = []
        start, woken = before / 10, (before + paused) / 10
        exchange(probers, 0.0, start, mail=mail)
        stopped = {sleeper.address}
        exchange(probers, start, paused / 10, stopped=stopped, mail=mail)
        is_long = paused > 11
        self.assertEqual(prober.view_is_fresh(woken), not is_long)
        self.assertFalse(prober.is_isolated(woken))
        exchange(probers, woken, 20, mail=mail)
        for other in probers.values():
            dead = [e.host for e in other.take_events() if e.state is MemberState.DEAD]
            self.assertEqual(set(dead) - {sleeper}, set())
        self.assertTrue(prober.view_is_fresh(woken + 20))
        self.assertEqual(set(map(len, views(probers).values())), {6})

    def test_view_stays_stale_until_an_ack_of_a_later_ping(self):
        """Guards against an old acknowledgement that vouches for a stale view."""
        one, two = make_probers(2).values()
        pings = one.tick(0.0)
        old = [ack for _, ping in pings for _, ack in two.receive(ping, 0.0)]
        for ack in old:
            one.receive(ack, 5.0)
        self.assertFalse(one.view_is_fresh(5.0))
        new = [a for _, p in one.tick(5.0) for _, a in two.receive(p, 5.0)]
        self.assertFalse(one.view_is_fresh(5.0))
        one.receive(new[0], 5.0)
        self.assertTrue(one.view_is_fresh(5.0))

    def test_lost_member_is_dead_everywhere(self):
        """Guards against a lost owner whose replicas do not move in time."""
        for seed in range(5):
            probers = make_probers(12, seed)
            exchange(probers, 0.0, 5)
            lost = make_host(seed)
            exchange(probers, 5.0, 8, stopped={lost.address})
            for address, prober in probers.items():
                if address != lost.address:
                    state = prober.table.member(lost.id).state
                    self.assertEqual(state, MemberState.DEAD, (seed, address))

    def test_partition_heals_and_lone_host_knows_it_is_isolated(self):
        """Guards against sides that never find each other again."""
        probers = make_probers(9)
        exchange(probers, 0.0, 5)
        lone = probers[make_host(4).address]
        cut = {lone.table.self_host.address}
        exchange(probers, 5.0, 30, cut=cut)
        self.assertTrue(lone.is_isolated(35.0))
        self.assertEqual(len(lone.table.live()), 1)
        exchange(probers, 35.0, 10)
        self.assertFalse(lone.is_isolated(45.0))
        cut = {make_host(number).address for number in (0, 3, 6)}
        exchange(probers, 45.0, 30, cut=cut)
        self.assertEqual(set(map(len, views(probers).values())), {3, 6})
        exchange(probers, 75.0, 20)
        self.assertEqual(set(map(len, views(probers).values())), {9})

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
            self.assertNotIn(MemberState.SUSPECT, states)

    def test_leaving_member_never_owns_again(self):
        """Guards against a leaving, silent host that is alive again for a moment."""
        probers = make_probers(5)
        exchange(probers, 0.0, 3)
        leaver = make_host(2)
        probers[leaver.address].table.mark_self_leaving()
        exchange(probers, 3.0, 5)
        others = [p for address, p in probers.items() if address != leaver.address]
        for prober in others:
            self.assertEqual(prober.table.member(leaver.id).state, MemberState.LEAVING)
            prober.take_events()
        exchange(probers, 8.0, 8, stopped={leaver.address})
        for prober in others:
            states = [e.state for e in prober.take_events() if e.host == leaver]
            self.assertEqual(states, [MemberState.LEFT])

    def test_seeds_are_enough_to_find_everybody(self):
        """Guards against a fleet that cannot form while the platform is down."""
        probers = make_probers(8, listed=False)
        exchange(probers, 0.0, 2)
        self.assertEqual(set(map(len, views(probers).values())), {8})

    def test_digests_show_the_newest_version_and_platform_contact(self):
        """Guards against asking a peer that is behind, or needless platform reads."""
        probers = make_probers(6)
        one, ahead, local = (probers[make_host(n).address] for n in (0, 1, 3))
        self.assertIsNone(one.newest_peer_digest)
        self.assertEqual(one.platform_contact_age(0.0), float("inf"))
        ahead.set_digest(VersionDigest(9, 7, 0.0))
        local.set_digest(VersionDigest(5, 4, 1.5))
        exchange(probers, 0.0, 5)
        self.assertEqual(one.newest_peer_digest.digest, VersionDigest(9, 7, 0.0))
        self.assertEqual(one.newest_peer_digest.address, make_host(1).address)
        self.assertGreaterEqual(one.platform_contact_age(5.0), 1.5)
        self.assertLess(one.platform_contact_age(5.0), 10.0)
        pings = ahead.announce(5.0, fanout=4)
        self.assertEqual(len({address for address, _ in pings}), 4)
