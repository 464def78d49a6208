"""Tests that play a load on simulated hosts and check what callers get."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

from bench.fleet import Fleet, FleetEvent, FleetSite, Policy, load_site, summarize

EXAMPLES = Path(__file__).parents[1] / "examples" / "fleet"
SEEDS = (1, 2, 3)
# A site whose replicas turn slow, and then dark, at many shards together.
SITE = FleetSite(
    hosts=3,
    length_s=5.0,
    events=(
        FleetEvent("slow", at_s=1.0, for_s=3.0, share=0.15, factor=7.5),
        FleetEvent("dark", at_s=2.0, for_s=2.0, share=0.15),
    ),
)


class TestSpellsAcrossShards(unittest.TestCase):
    """Slow and dark replicas at many shards, with each policy."""

    @classmethod
    def setUpClass(cls):
        cls.fleets = {
            (policy, seed): Fleet(SITE, policy, seed)
            for policy in Policy
            for seed in SEEDS
        }
        cls.records = {key: fleet.play() for key, fleet in cls.fleets.items()}

    def summary(self, policy):
        records = [record for seed in SEEDS for record in self.records[policy, seed]]
        return summarize(records, SITE.target_s)

    def test_shared_observations_serve_more_in_time(self):
        """Guards against hosts that each find the slow replicas by themselves."""
        alone, shared = self.summary(Policy.ALONE), self.summary(Policy.SHARED)
        self.assertGreater(shared.credit, alone.credit)
        self.assertGreater(shared.in_time, alone.in_time)

    def test_groups_serve_more_in_time(self):
        """Guards against a hop that costs callers more than it saves."""
        alone, groups = self.summary(Policy.ALONE), self.summary(Policy.GROUPS)
        self.assertGreater(groups.credit, alone.credit)
        self.assertGreater(groups.in_time, alone.in_time)

    def test_every_caller_gets_one_answer(self):
        """Guards against callers that wait until their deadline without an answer."""
        for (policy, seed), fleet in self.fleets.items():
            records = self.records[policy, seed]
            self.assertGreater(len(records), 100)
            self.assertLess(
                max(record.latency_s for record in records), SITE.timeout_s + 0.01
            )
            statuses = {record.status for record in records}
            self.assertLessEqual(statuses, {200, 502, 504})
            self.assertEqual(len(fleet.records), len(records))

    def test_no_shard_is_read_more_often_than_allowed(self):
        """Guards against attempts of two hosts that add up beyond the limit."""
        for fleet in self.fleets.values():
            runs = Counter(
                (replica.entry.service, request_id)
                for replica in fleet.replicas.values()
                for request_id in replica.executed_ids
            )
            self.assertLessEqual(max(runs.values()), 2)

    def test_extra_reads_stay_within_the_budget(self):
        """Guards against hosts that together spend more than the platform allows."""
        for fleet in self.fleets.values():
            arrivals = Counter()
            first = Counter()
            for replica in fleet.replicas.values():
                arrivals[replica.entry.service] += len(replica.executed_ids)
            for service in arrivals:
                first[service] = len(fleet.records)
            extra = {name: arrivals[name] - first[name] for name in arrivals}
            limit = 0.2 * len(fleet.records) + SITE.retry_slack
            self.assertLessEqual(max(extra.values()), limit)

    def test_same_seed_gives_the_same_answers(self):
        """Guards against a model whose results cannot be repeated."""
        site = SITE._replace(length_s=0.5)
        runs = [Fleet(site, Policy.GROUPS, 7).play() for _ in range(2)]
        self.assertEqual(runs[0], runs[1])


class TestLoadSite(unittest.TestCase):
    """Descriptions of sites in JSON."""

    def test_examples_are_valid(self):
        """Guards against examples that do not fit the program."""
        for path in EXAMPLES.glob("*.json"):
            site = load_site(path)
            self.assertGreater(len(site.events), 0)

    def test_unknown_field_is_named(self):
        """Guards against a misspelled field that has no effect."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "site.json")
            path.write_text('{"shard": 9}')
            with self.assertRaisesRegex(ValueError, "shard"):
                load_site(path)


class TestCutHosts(unittest.TestCase):
    """Hosts that lose the links to all replicas, in fleets of several sizes."""

    CUT = FleetEvent("cut", at_s=2.0, for_s=6.0, share=0.6)
    CONTACT_S = 4.0

    def play(self, hosts, seed):
        site = SITE._replace(
            data_centres=2,
            hosts=hosts,
            shards=20,
            length_s=9.0,
            events=(self.CUT,),
            min_shard_share=0.75,
        )
        fleet = Fleet(site, Policy.GROUPS, seed)
        return site, fleet, fleet.play()

    def served(self, records, names, since_s, until_s):
        """Return the share of queries that were served at some hosts."""
        statuses = [
            record.status
            for record in records
            if record.host in names and since_s <= record.sent_at < until_s
        ]
        self.assertGreater(len(statuses), 10)
        return statuses.count(200) / len(statuses)

    def test_cut_hosts_serve_as_often_as_the_others(self):
        """Guards against callers that lose their requests to hosts without links."""
        for hosts, seed in ((1, 1), (3, 2), (3, 3), (40, 4)):
            with self.subTest(hosts=hosts, seed=seed):
                site, fleet, records = self.play(hosts, seed)
                cut = {host.name for host in fleet.cut_hosts}
                others = {host.name for host in fleet.hosts} - cut
                begins, ends = self.CUT.at_s, self.CUT.at_s + self.CUT.for_s
                # A fraction of the contact time, in which hosts find out.
                since = begins + 0.25 * self.CONTACT_S
                own = self.served(records, cut, since, ends)
                rest = self.served(records, others, since, ends)
                self.assertGreaterEqual(own, 2.0 / 3.0 * rest)
                first = self.served(records, cut | others, begins, since)
                self.assertGreaterEqual(first, 2.0 / 3.0)

    def test_cut_queries_are_read_no_more_often_than_allowed(self):
        """Guards against requests that run twice because they were handed over."""
        _, fleet, _ = self.play(3, 5)
        runs = Counter(
            (replica.entry.service, request_id)
            for replica in fleet.replicas.values()
            for request_id in replica.executed_ids
        )
        self.assertLessEqual(max(runs.values()), 2)
