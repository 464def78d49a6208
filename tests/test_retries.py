"""Tests of the budget for extra reads."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cicadalever.placement import HostCounts, connections_per_host
from cicadalever.retries import RetryBudget, compute_host_slack


class TestRetryBudget(unittest.TestCase):
    """The extra reads of hosts, alone and summed up against the platform's bound."""

    def test_hosts_together_keep_the_bound(self):
        """Guards against more extra reads in total than ratio and slack allow."""
        for hosts, slack in ((6, 52), (10, 52), (63, 166), (86, 212)):
            budgets = [RetryBudget(0.2, 10.0) for _ in range(hosts)]
            first = extra = 0
            for step in range(100):
                for budget in budgets:
                    if step % 2:
                        budget.earn("s")
                        first += 1
                    while budget.try_spend("s", now=0.1 * step):
                        extra += 1
            self.assertLessEqual(extra, 0.2 * first + slack)

    def test_slack_returns_with_the_next_window(self):
        """Guards against a host with few requests that can never retry a read."""
        budget = RetryBudget(0.2, 10.0)
        spent = [budget.try_spend("s", now) for now in (0, 4, 5, 10.1, 10.2, 14.1)]
        self.assertEqual(spent, [True, True, False, True, False, True])

    def test_idle_service_does_not_save_up(self):
        """Guards against a burst of extra reads that were earned long before."""
        budget = RetryBudget(0.2, 10.0)
        for _ in range(1000):
            budget.earn("s")
        spent = sum(budget.try_spend("s", 0.0) for _ in range(100))
        self.assertLessEqual(spent, 3)

    def test_services_are_separate(self):
        """Guards against one failing service using up the others' budget."""
        budget = RetryBudget(0.2, 10.0)
        while budget.try_spend("s", 0.0):
            pass
        self.assertTrue(budget.try_spend("t", 0.0))

    def test_ratio_out_of_range(self):
        """Guards against settings that would allow any number of reads."""
        with self.assertRaisesRegex(ValueError, r"ratio must be in \[0, 1\]"):
            RetryBudget(1.5, 10.0)


class TestComputeHostSlack(unittest.TestCase):
    """Division of the platform's slack between hosts."""

    def test_shares_together_keep_the_slack(self):
        """Guards against more extra reads in total than the platform allows."""
        # Slack, and for each data centre its delegating hosts and gatherers.
        fleets = (
            (52, [(0, 2), (0, 2), (0, 1), (0, 1)]),
            (166, [(14, 2), (14, 2), (15, 2), (12, 2)]),
            (212, [(14, 2), (18, 2), (15, 2), (13, 2), (16, 2)]),
        )
        for slack, data_centres in fleets:
            total = 0
            for delegating, gatherers in data_centres:
                options = {"slack": slack, "data_centres": len(data_centres)}
                hosts = delegating + gatherers
                for similar, is_delegating in ((delegating, True), (gatherers, False)):
                    share = (
                        compute_host_slack(
                            hosts=hosts,
                            similar=similar,
                            is_delegating=is_delegating,
                            **options,
                        )
                        if similar
                        else 0
                    )
                    total += similar * share
            self.assertLessEqual(total, slack)
            self.assertGreater(total, 0.5 * slack)

    @given(
        st.integers(1, 8),
        st.integers(1, 125),
        st.floats(0.0, 1.0),
        st.integers(0, 2000),
    )
    def test_any_fleet_keeps_the_slack(self, data_centres, hosts, large_share, slack):
        """Guards against fleets of some size that spend more than is allowed."""
        gatherers = max(1, round(hosts * large_share))
        delegating = hosts - gatherers
        total = 0
        for similar, is_delegating in ((delegating, True), (gatherers, False)):
            if similar:
                total += similar * compute_host_slack(
                    slack,
                    data_centres,
                    hosts=hosts,
                    similar=similar,
                    is_delegating=is_delegating,
                )
        self.assertLessEqual(total * data_centres, slack)

    def test_host_without_slack_earns_extra_reads(self):
        """Guards against a host that can never retry a read."""
        share = compute_host_slack(10, 4, hosts=100, similar=100, is_delegating=False)
        budget = RetryBudget(ratio=0.2, window_s=10.0, slack=share)
        for _ in range(6):
            budget.earn("index-1")
        self.assertTrue(budget.try_spend("index-1", 0.0))


class TestConnectionsPerHost(unittest.TestCase):
    """Division of a replica's connections between hosts."""

    @given(st.integers(1, 1000), st.floats(0.0, 1.0), st.integers(8, 2000))
    def test_all_hosts_together_keep_the_limit(self, hosts, large_share, limit):
        """Guards against connections that replicas reset, whatever the fleet.

        One connection of each reader may be too many only if the limit is smaller than
        the number of readers.
        """
        gatherers = max(1, round(hosts * large_share))
        counts = HostCounts(hosts, gatherers)
        for is_gathered, readers in ((True, gatherers), (False, hosts)):
            share = connections_per_host(
                limit, counts, is_gathered=is_gathered, is_gatherer=True
            )
            self.assertLessEqual(readers * share, max(limit, readers))

    def test_reading_hosts_get_more_than_others(self):
        """Guards against gatherers that wait for connections which nobody uses."""
        counts = HostCounts(195, 18)
        gatherer, other = (
            connections_per_host(120, counts, is_gathered=True, is_gatherer=is_gatherer)
            for is_gatherer in (True, False)
        )
        self.assertEqual((gatherer, other), (5, 1))
