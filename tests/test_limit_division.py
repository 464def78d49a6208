"""Tests of how hosts divide a rate limit without shared state."""

import unittest
from random import Random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.placement import HostCounts
from cicadalever.ratelimits import (
    LimitChange,
    LimitNews,
    NamedLimits,
    PermitSchedule,
    compute_share,
    parse_rate_limit,
)
from tests.test_rate_limits import count_allowed, count_in_worst_window

REPLICA = "i-1"
PLAY_S = 24.0
STEP_S = 0.1
# A host that has been heard of within this time counts; see ``PeerTable``.
COUNTED_S = 30.0
HEARTBEAT_PERIOD_S = 8.0
JOIN_AFTER_S = 16.0

limits = st.floats(0.0, 60.0)
host_numbers = st.one_of(st.integers(2, 30), st.integers(31, 1000))
seeds = st.integers(0, 2**32)


class TestShares(unittest.TestCase):
    """The shares of all hosts of a fleet."""

    @given(
        limits,
        st.lists(
            st.tuples(st.integers(1, 200), st.integers(0, 200)), min_size=1, max_size=8
        ),
        st.booleans(),
    )
    def test_sum_is_within_the_limit(self, limit_per_s, data_centres, is_gathered):
        """Guards against shares that exceed the limit together in unequal places."""
        total = 0.0
        for gatherers, others in data_centres:
            for number, similar, is_gatherer in (
                (gatherers, gatherers, True),
                (others, others, False),
            ):
                hosts = (gatherers + others) * len(data_centres)
                counts = HostCounts(hosts, similar * len(data_centres))
                total += number * compute_share(
                    limit_per_s,
                    counts,
                    is_gathered=is_gathered,
                    is_gatherer=is_gatherer,
                )
        self.assertLessEqual(total, max(0.05, limit_per_s))

    @given(limits, host_numbers)
    def test_uncounted_hosts_stay_within_the_limit(self, limit_per_s, hosts):
        """Guards against full use of a limit by hosts that do not know the others."""
        share = compute_share(limit_per_s, None, is_gathered=True, is_gatherer=True)
        self.assertLessEqual(hosts * share, max(0.05, limit_per_s))

    def test_seed_checks_a_limit_while_the_hosts_are_not_counted(self):
        """Guards against a limit whose end no host of a new fleet notices."""
        share = compute_share(
            1.0, None, is_gathered=True, is_gatherer=True, is_seed=True
        )
        self.assertGreaterEqual(share, 0.1)


class TestPermitsOfAFleet(unittest.TestCase):
    """Reads of all hosts together in any window, if each host reads all that it may."""

    @given(limits, host_numbers, seeds, st.floats(0.0, 6.0))
    @settings(max_examples=150)
    def test_bound_holds_for_any_number_of_hosts(
        self, limit_per_s, hosts, seed, idle_s
    ):
        """Guards against reads at the same moments, also after time without reads."""
        rng = Random(seed)
        fleet = []
        for number in range(hosts):
            share = compute_share(
                limit_per_s,
                HostCounts(hosts, hosts),
                is_gathered=False,
                is_gatherer=True,
                is_seed=number < 3,
            )
            fleet.append(PermitSchedule(share, 0.0, rng))
        arrivals = []
        for step in range(int(PLAY_S / STEP_S)):
            now = step * STEP_S
            if now % 12.0 < idle_s:
                continue
            for permits in fleet:
                while permits.is_open(now):
                    permits.take()
                    arrivals.append(now)
        worst = count_in_worst_window(arrivals)
        self.assertLessEqual(worst, count_allowed(limit_per_s))

    @given(st.floats(0.5, 60.0), st.integers(2, 30), seeds)
    def test_small_fleet_uses_most_of_the_limit(self, limit_per_s, hosts, seed):
        """Guards against a bound that is kept by serving nobody."""
        rng = Random(seed)
        share = compute_share(
            limit_per_s, HostCounts(hosts, hosts), is_gathered=False, is_gatherer=True
        )
        used = 0
        fleet = [PermitSchedule(share, 0.0, rng) for _ in range(hosts)]
        for step in range(int(100 * hosts / STEP_S)):
            for permits in fleet:
                while permits.is_open(step * STEP_S):
                    permits.take()
                    used += 1
        self.assertGreater(used / (100 * hosts), 0.36 * limit_per_s)


class _Host(NamedTuple):
    """Times in seconds; a host that is cut off reads, but counts and is counted not."""

    starts_at: float
    stops_at: float
    cut_from: float
    cut_until: float
    phase_s: float

    def is_up(self, now):
        return self.starts_at <= now < self.stops_at

    def is_heard(self, now):
        return self.is_up(now) and not self.cut_from <= now < self.cut_until


@st.composite
def changing_fleets(draw):
    """Return hosts of which some join, stop or are cut off during the play."""
    rng = Random(draw(seeds))
    hosts = []
    stable = draw(st.integers(1, 60))
    changing = draw(st.integers(0, 120))
    for number in range(stable + changing):
        starts_at, stops_at = -1000.0, 1000.0
        cut_from = cut_until = 1000.0
        if number >= stable:
            change = rng.choice(("join", "join", "stop", "restart", "cut"))
            at = rng.uniform(0.0, 40.0)
            if change in ("join", "restart"):
                starts_at = at
            elif change == "stop":
                stops_at = at
            else:
                cut_from, cut_until = at, at + rng.uniform(1.0, 40.0)
            if change == "restart":
                phase_s = rng.uniform(0.0, HEARTBEAT_PERIOD_S)
                hosts.append(_Host(-1000.0, at, 1000.0, 1000.0, phase_s))
        phase_s = rng.uniform(0.0, HEARTBEAT_PERIOD_S)
        hosts.append(_Host(starts_at, stops_at, cut_from, cut_until, phase_s))
    return hosts


class TestChangingFleet(unittest.TestCase):
    """Hosts that join, stop, restart and are cut off while a limit applies."""

    def count_for(self, host, hosts, now):
        """Return the greatest count that a host got within ``COUNTED_S``, or None."""
        counts = []
        for number in range(int(COUNTED_S / HEARTBEAT_PERIOD_S) + 1):
            at = now - (now - host.phase_s) % HEARTBEAT_PERIOD_S
            at -= number * HEARTBEAT_PERIOD_S
            if now - at <= COUNTED_S and host.is_heard(at):
                counts.append(self.count_heard(hosts, at))
        return max(counts, default=None)

    def count_heard(self, hosts, now):
        """Return how many hosts a seed has heard of within ``COUNTED_S``."""
        return sum(
            any(
                host.is_heard(at - (at - host.phase_s) % HEARTBEAT_PERIOD_S)
                for at in (now, now - HEARTBEAT_PERIOD_S, now - 2 * HEARTBEAT_PERIOD_S)
            )
            for host in hosts
        )

    @given(changing_fleets(), st.floats(0.0, 40.0), seeds)
    @settings(max_examples=30, deadline=None)
    def test_bound_holds_while_hosts_come_and_go(self, hosts, limit_per_s, seed):
        """Guards against hosts that use a share before the others have counted them."""
        rng = Random(seed)
        registries = {}
        arrivals = []
        for step in range(200):
            now = step * 0.25
            for index, host in enumerate(hosts):
                if not host.is_up(now):
                    continue
                known = registries.get(index)
                if known is None:
                    known = registries[index] = NamedLimits(rng)
                    known.record_answer(
                        REPLICA, limit_per_s, now, now, is_gathered=True
                    )
                if step % 4 == index % 4:
                    count = self.count_for(host, hosts, now)
                    is_counted = now - host.starts_at >= JOIN_AFTER_S
                    counts = HostCounts(count, count) if count and is_counted else None
                    is_seed = index < 3
                    known.divide(counts, now, is_gatherer=True, is_seed=is_seed)
                while known.may_read(REPLICA, now):
                    known.record_read(REPLICA)
                    arrivals.append(now)
        worst = count_in_worst_window(arrivals)
        self.assertLessEqual(worst, count_allowed(limit_per_s))


class TestNamedLimits(unittest.TestCase):
    """What a host knows of limits from answers and from reports of other hosts."""

    def setUp(self):
        self.limits = NamedLimits(Random(1))
        self.limits.divide(HostCounts(6, 6), 0.0, is_gatherer=True)

    def answer(self, limit_per_s, now, sent_at=None):
        return self.limits.record_answer(
            REPLICA,
            limit_per_s,
            now if sent_at is None else sent_at,
            now,
            is_gathered=False,
        )

    def report(self, limit_per_s, now):
        news = LimitNews(REPLICA, limit_per_s)
        return self.limits.record_report(news, now, is_gathered=False)

    def test_ends_with_an_answer_that_does_not_name_it(self):
        """Guards against a limit that outlives the need of the replica."""
        self.assertEqual(self.answer(2.0, 1.0), LimitChange.NAMED)
        self.assertIsNone(self.answer(None, 1.2, sent_at=0.9))
        self.assertIsNone(self.answer(2.0, 2.0))
        self.assertEqual(self.answer(None, 3.0), LimitChange.ENDED)
        self.limits.forget(REPLICA, 3.0)
        self.assertTrue(self.limits.may_read(REPLICA, 3.0))

    def test_end_is_reported_repeatedly(self):
        """Guards against hosts that keep a limit because one datagram was lost."""
        self.answer(2.0, 1.0)
        self.answer(None, 3.0)
        self.limits.forget(REPLICA, 3.0)
        reported = [
            now
            for now in (3.0, 3.2, 4.0, 4.2, 6.0, 9.0)
            if self.limits.take_reports(now) == [LimitNews(REPLICA, None)]
        ]
        self.assertEqual(reported, [3.0, 4.0, 6.0])

    def test_end_is_not_reported_after_the_limit_was_named_again(self):
        """Guards against a limit that other hosts drop while it applies."""
        self.answer(2.0, 1.0)
        self.answer(None, 3.0)
        self.limits.forget(REPLICA, 3.0)
        self.answer(2.0, 3.5)
        self.assertEqual(self.limits.take_reports(4.0), [LimitNews(REPLICA, 2.0)])

    def test_limit_that_another_host_reported_is_not_reported_on(self):
        """Guards against each host of a fleet reporting the same limit."""
        self.report(2.0, 1.0)
        self.assertEqual(self.limits.take_reports(1.1), [])
        self.answer(2.0, 1.2)
        self.assertEqual(self.limits.take_reports(1.3), [])
        self.answer(2.0, 3.5)
        self.assertEqual(self.limits.take_reports(3.5), [LimitNews(REPLICA, 2.0)])
        self.assertEqual(self.limits.take_reports(4.0), [])

    def test_reported_limit_ends_without_further_reports(self):
        """Guards against a limit that applies for ever because its end was lost."""
        self.assertEqual(self.report(2.0, 1.0), LimitChange.NAMED)
        self.assertEqual(self.limits.find_unconfirmed(8.0), [])
        self.assertEqual(self.limits.find_unconfirmed(9.1), [REPLICA])
        self.answer(2.0, 9.2)
        self.assertEqual(self.limits.find_unconfirmed(30.0), [])

    def test_older_report_of_the_end_is_ignored(self):
        """Guards against a late datagram that ends a limit just named again."""
        self.answer(2.0, 1.0)
        self.assertIsNone(self.report(None, 1.2))
        self.assertEqual(self.report(None, 2.0), LimitChange.ENDED)

    def test_limit_is_checked_although_other_replicas_serve(self):
        """Guards against a limit whose end nobody notices."""
        self.answer(2.0, 1.0)
        checks = [now for now in range(30) if self.limits.needs_check(REPLICA, now)]
        self.assertGreater(len(checks), 3)
        self.assertGreaterEqual(min(checks), 3)
        self.report(2.0, 29.0)
        self.assertFalse(self.limits.needs_check(REPLICA, 29.0))


class TestHeaderValue(unittest.TestCase):
    """The number that a replica names."""

    def test_numbers(self):
        """Guards against a limit that is read wrongly."""
        for value, expected in ((b"0", 0.0), (b"1.25", 1.25), (b" 7 ", 7.0)):
            self.assertEqual(parse_rate_limit(value), expected)

    def test_anything_else_is_a_failure(self):
        """Guards against limits that are negative, endless or no numbers."""
        for value in (b"", b"-1", b"inf", b"nan", b"many", b"\xff"):
            self.assertIn("rate limit must be", parse_rate_limit(value).reason)
