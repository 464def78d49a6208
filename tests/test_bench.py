"""Tests of the scenarios, figures and targets of the benchmark."""

import random
import subprocess
import sys
import unittest
from unittest import mock

from bench._actions import ACTIONS, rotate_snapshot
from bench._fleet import FleetError, build_fleet_settings, compute_rates, max_pair_mean
from bench._measure import (
    Evidence,
    aggregate,
    aggregate_by,
    compute_extra_load,
    compute_failed_share,
    compute_in_force_delays,
    count_crashes_by_request,
    count_interrupted_requests,
    count_version_reverts,
    count_violations,
    select_failed_elsewhere,
    select_phase,
    summarize_run,
)
from bench._run import START_TRIES, _start_fleet
from bench._scenarios import (
    EXCLUSIVE_FAULTS,
    SCENARIO_NAMES,
    Phase,
    build_scenario,
    draw_faults,
)
from bench._sizing import list_workloads
from bench._targets import check_targets
from standins.check import Run, Violation
from tests.records import RECORD

PARTIAL = RECORD._replace(
    outcome="partial", covered=("x/s0",), missing=("x/s1", "x/s2", "x/s3")
)
RUN = Run("u1", "c-lookup-1.1/0", "x/s0", 41, "read", 100, 100, 101, "done")
DEADLINES = {"lookup": 0.5}
EVIDENCE = Evidence(
    started=100.0,
    records=[RECORD],
    runs=[RUN],
    events=[],
    violations=[],
    audits={},
    patches=[],
    actions=[],
    deadlines=DEADLINES,
    notes={},
)


def make_event(version, at, kind="version_in_force"):
    """Return an audit event of ``kind`` at the Unix time ``at`` in seconds."""
    return {"kind": kind, "version": version, "time_unix": at}


class TestSizing(unittest.TestCase):
    """Capacity and steady load of the routes."""

    def test_capacity_follows_from_slots(self):
        """Guards against a steady load that is another share of the capacity."""
        workloads = list_workloads("semenanjung")
        self.assertAlmostEqual(workloads["lookup"].capacity, 4 / 0.04)
        self.assertAlmostEqual(workloads["batch"].capacity, 4 / 0.04)
        self.assertAlmostEqual(workloads["run"].capacity, 16 / 0.04)
        # The four shards of a report share one service.
        self.assertAlmostEqual(workloads["report"].capacity, 16 / 0.4 / 4)
        shared = workloads["lookup"].rate + workloads["batch"].rate
        self.assertAlmostEqual(shared, 0.55 * workloads["lookup"].capacity)
        self.assertFalse(workloads["run"].idempotent)
        self.assertEqual(list_workloads("nz-north")["report"].capacity, 5)


class TestScenarios(unittest.TestCase):
    """Scenarios and the settings of their processes."""

    def test_every_scenario_can_run(self):
        """Guards against unknown actions, hosts and upstreams, and unsorted actions."""
        for deployment in ("semenanjung", "nz-north"):
            for name in SCENARIO_NAMES:
                scenario = build_scenario(name, deployment, 3)
                settings = build_fleet_settings(scenario, "current", 20_000)
                for action in scenario.actions:
                    self.assertIn(action.name, ACTIONS)
                    self.assertLess(action.at_s, scenario.duration_s)
                    host = action.arguments.get("host")
                    self.assertIn(host, {None, *settings.daemons})
                    upstream = action.arguments.get("upstream")
                    self.assertIn(upstream, {None, *settings.upstream["upstreams"]})
                times = [action.at_s for action in scenario.actions]
                self.assertEqual(times, sorted(times))
                self.assertEqual(scenario.phases[0].name, "all")

    def test_seed_fixes_the_schedule(self):
        """Guards against schedules that a seed does not repeat or does not change."""
        for name in ("combined", "pause", "config-roll", "poison"):
            first, again, other = (
                build_scenario(name, "semenanjung", seed) for seed in (1, 1, 2)
            )
            self.assertEqual(first, again)
            self.assertNotEqual(first._replace(seed=2), other)

    def test_combined_faults_do_not_clash(self):
        """Guards against two faults that end or pause the same daemon."""
        for seed in range(200):
            faults = draw_faults(random.Random(seed))
            self.assertGreaterEqual(len(faults), 2)
            for group in EXCLUSIVE_FAULTS:
                self.assertLessEqual(len(group & set(faults)), 1)

    def test_flood_rate(self):
        """Guards against a flood below the multiple of the capacity of its target."""
        for name, label, factor in (
            ("flood-reports", "report", 10),
            ("flood-lookups", "lookup", 5),
        ):
            scenario = build_scenario(name, "semenanjung", 1)
            streams = [s for s in scenario.streams if s.workload.label == label]
            rate = sum(stream.rate for stream in streams)
            self.assertAlmostEqual(rate, factor * streams[0].workload.capacity)
            steady, flood = scenario.phases[1:]
            self.assertLessEqual(steady.end_s, streams[1].start_s)
            self.assertGreater(flood.start_s, streams[1].start_s)

    def test_settings_of_the_fleet(self):
        """Guards against traffic that bypasses the proxy and a listed absent host."""
        scenario = build_scenario("config-outage", "semenanjung", 1)
        settings = build_fleet_settings(scenario, "baseline", 20_000)
        listed = {host["id"] for host in settings.platform["hosts"]}
        self.assertEqual(set(settings.daemons) - listed, set(scenario.absent))
        self.assertEqual(len(scenario.absent), 1)
        for daemon in settings.daemons.values():
            self.assertEqual(daemon["policy"], "baseline")
            self.assertNotEqual(daemon["peer_listen_address"], daemon["peer_address"])
        times = {u["service_s"] for u in settings.upstream["upstreams"].values()}
        self.assertEqual(times, {0.04, 0.4})

    def test_rotated_snapshot(self):
        """Guards against a next snapshot with the shard map of the old one."""
        indexes = {"x": {"s0": "a", "s1": "b", "s2": "c"}}
        rotated = rotate_snapshot(42, indexes, 1)
        self.assertEqual(rotated["id"], 42)
        self.assertEqual(rotated["indexes"]["x"], {"s0": "b", "s1": "c", "s2": "a"})


class TestMeasure(unittest.TestCase):
    """Figures from records, ledger and audit trails."""

    def test_aggregate_counts_every_outcome(self):
        """Guards against outcomes that are not counted or counted twice."""
        late = RECORD._replace(latency_s=0.7)
        records = [RECORD, late, PARTIAL]
        for outcome in ("refused_not_run", "outcome_unknown", "no_answer", "not_sent"):
            records.append(RECORD._replace(outcome=outcome, total=0, latency_s=9.0))
        result = aggregate(records, DEADLINES, 2.0)
        self.assertEqual(result["offered"], 7)
        self.assertEqual(result["completed"], 2)
        self.assertEqual(result["partial"], 1)
        self.assertEqual(result["refused_not_run"], 1)
        self.assertEqual(result["unknown"], 2)
        self.assertEqual(result["not_sent"], 1)
        self.assertEqual(result["within_deadline"], 1)
        self.assertEqual(result["completed_per_s"], 1.0)
        self.assertEqual(result["coverage_mean"], 0.75)
        self.assertEqual((result["p50_ms"], result["p99_ms"]), (100.0, 700.0))

    def test_nothing_answered_gives_no_latency(self):
        """Guards against a latency or coverage of 0 without any answer."""
        lost = RECORD._replace(outcome="no_answer", total=0)
        result = aggregate([lost], DEADLINES, 1.0)
        self.assertIsNone(result["p99_ms"])
        self.assertIsNone(result["coverage_mean"])
        by_rank = aggregate_by("rank", [lost], DEADLINES, 1.0, ("batch",))
        self.assertIsNone(by_rank["batch"])
        self.assertEqual(by_rank["interactive"]["offered"], 1)

    def test_phase_selects_by_arrival(self):
        """Guards against requests of other phases, such as warm-up, in the figures."""
        records = [RECORD._replace(sent_unix=100.0 + s) for s in (1, 2, 3, 4)]
        chosen = select_phase(records, Phase("x", 2.0, 4.0), 100.0)
        self.assertEqual([r.sent_unix for r in chosen], [102.0, 103.0])

    def test_extra_load(self):
        """Guards against hedges and repeated reads that are not counted."""
        hedge = RUN._replace(upstream="u2", outcome="cancelled")
        other = RUN._replace(shard="x/s1")
        order = RUN._replace(operation="run", request_id="h.1/0")
        self.assertEqual(compute_extra_load([RUN, other, order]), 0.0)
        self.assertEqual(compute_extra_load([RUN, hedge, other, order]), 0.5)
        self.assertIsNone(compute_extra_load([order]))

    def test_crashes_by_request(self):
        """Guards against crashes counted for requests that run on the same upstream."""
        crash = RUN._replace(request_id="p-poison0-4.1/0", outcome="crashed")
        again = crash._replace(request_id="p-poison0-5.1/0", upstream="u2")
        bystander = RUN._replace(outcome="crashed")
        harmless = crash._replace(request_id="p-poison1-1.1/0", outcome="done")
        counts = count_crashes_by_request([crash, again, bystander, harmless])
        self.assertEqual(counts, {"poison0": 2, "poison1": 0})

    def test_in_force_delays(self):
        """Guards against unreachable hosts that count, and versions never in force."""
        patches = [
            {
                "id": "a",
                "accepted": True,
                "version": 2,
                "submitted": 10.0,
                "unreachable": ["h3"],
            },
            {"id": "b", "accepted": False, "version": 2, "submitted": 11.0},
        ]
        audits = {
            "h1": [make_event(1, 1.0), make_event(2, 10.5), make_event(3, 12.0)],
            "h2": [make_event(1, 1.0), make_event(2, 10.1, "version_accepted")],
            "h3": [],
            "h4": None,
            "h5": [make_event(3, 12.0)],
        }
        delays = compute_in_force_delays(patches, audits)
        self.assertEqual(delays, {"a": {"h1": 0.5, "h2": None, "h5": 2.0}})

    def test_reverted_versions(self):
        """Guards against a decrease of a host's version that is not counted."""
        rising = {"h1": [make_event(1, 1.0), make_event(2, 2.0)], "h2": None}
        self.assertEqual(count_version_reverts(rising, [RECORD]), 0)
        falling = {"h1": [make_event(2, 1.0), make_event(1, 2.0)]}
        self.assertEqual(count_version_reverts(falling, []), 1)
        newer = RECORD._replace(version=2)
        later = RECORD._replace(sent_unix=100.2)
        self.assertEqual(count_version_reverts({}, [newer, later]), 1)
        # A query that was sent before the newer answer may have the older version.
        self.assertEqual(count_version_reverts({}, [newer, RECORD]), 0)
        self.assertEqual(
            count_version_reverts({}, [newer, later._replace(host="h2")]), 0
        )

    def test_requests_cut_on_shutdown(self):
        """Guards against broken connections hidden by a successful second try."""
        resent = RECORD._replace(tries=2)
        lost = RECORD._replace(outcome="no_answer")
        after = resent._replace(sent_unix=106.0)
        before = resent._replace(sent_unix=90.0)
        records = [RECORD, resent, lost, after, before]
        self.assertEqual(count_interrupted_requests(records, 99.0, 105.0), 2)

    def test_failed_elsewhere(self):
        """Guards against failures on the lost host that count as failed elsewhere."""
        lost_host = PARTIAL._replace(entry="e2")
        resent = PARTIAL._replace(tries=2)
        early = PARTIAL._replace(sent_unix=90.0)
        records = [RECORD, PARTIAL, lost_host, resent, early]
        self.assertEqual(select_failed_elsewhere(records, 99.0, "e2"), [PARTIAL])
        self.assertEqual(compute_failed_share(records, 95.0, 101.0), 0.75)
        self.assertIsNone(compute_failed_share(records, 101.0, 102.0))

    def test_violations_not_exercised_are_null(self):
        """Guards against 0 violations of a promise that the run did not exercise."""
        counts = count_violations(EVIDENCE)
        for name in (
            "mixed_snapshot",
            "refused_but_ran",
            "ran_twice",
            "work_after_leaving",
            "cut_on_shutdown",
            "config_reverted",
        ):
            self.assertIsNone(counts[name], name)
        for name in ("false_coverage", "wrong_caller", "over_connection_limit"):
            self.assertEqual(counts[name], 0, name)

    def test_violations_exercised(self):
        """Guards against null for an exercised promise, and lost violations."""
        evidence = EVIDENCE._replace(
            records=[RECORD._replace(tries=2), RECORD._replace(outcome="no_answer")],
            runs=[RUN._replace(operation="run")],
            events=[{"kind": "drain", "time": 1.0, "upstream": "u"}],
            violations=[Violation("refused_but_ran", "c", "")],
            audits={"h1": [make_event(2, 1.0), make_event(1, 2.0)]},
            patches=[{"accepted": True}],
            actions=[(99.0, "terminate", {"host": "h1"})],
            notes={"next_snapshot": {}, "exit_s": 2.0},
        )
        counts = count_violations(evidence)
        self.assertEqual(counts["refused_but_ran"], 1)
        self.assertEqual(counts["cut_on_shutdown"], 2)
        self.assertEqual(counts["config_reverted"], 1)
        for name in ("mixed_snapshot", "ran_twice", "work_after_leaving"):
            self.assertEqual(counts[name], 0, name)

    def test_summary_separates_poison_and_phases(self):
        """Guards against poison requests in the figures and 0 for an unused figure."""
        phases = (Phase("all", 0, 10), Phase("flood", 5, 10))
        result = summarize_run(EVIDENCE, phases, {})
        self.assertEqual(result["ranks"]["interactive"]["offered"], 1)
        self.assertIsNone(result["flood"]["ranks"]["interactive"])
        self.assertIsNone(result["upstreams_crashed"])
        self.assertIsNone(result["config_in_force_s"])
        poison = RECORD._replace(kind="poison0")
        evidence = EVIDENCE._replace(records=[RECORD, poison])
        result = summarize_run(evidence, phases, {})
        self.assertEqual(result["ranks"]["interactive"]["offered"], 1)
        self.assertEqual(result["crashed_by_request"], {"poison0": 0})

    def test_cpu_share_ignores_one_short_peak(self):
        """Guards against a process called saturated because of one late sample."""
        self.assertEqual(max_pair_mean([0.25, 1.0, 0.25]), 0.625)
        self.assertEqual(max_pair_mean([0.4]), 0.4)
        self.assertEqual(max_pair_mean([]), 0.0)
        self.assertEqual(
            compute_rates({"a": 1.0}, {"a": 2.0, "b": 9.0}, 2.0), {"a": 0.5}
        )


class TestStart(unittest.TestCase):
    """Start of the processes of a run."""

    def start(self, *fleets):
        with mock.patch("bench._run.BenchFleet", side_effect=fleets):
            return _start_fleet(None, "current", None)

    def make_fleet(self, error=None):
        fleet = mock.Mock()
        fleet.start.side_effect = error
        return fleet

    def test_other_ports_when_one_is_taken(self):
        """Guards against a run that fails because another program took a port."""
        broken, good = self.make_fleet(FleetError("in use")), self.make_fleet()
        self.assertIs(self.start(broken, good), good)
        broken.stop.assert_called_once_with()
        good.stop.assert_not_called()

    def test_failed_start_leaves_no_process(self):
        """Guards against processes that keep running, and against endless retries."""
        fleets = [self.make_fleet(FleetError("broken")) for _ in range(START_TRIES)]
        with self.assertRaises(FleetError):
            self.start(*fleets)
        interrupted = self.make_fleet(KeyboardInterrupt)
        with self.assertRaises(KeyboardInterrupt):
            self.start(interrupted)
        for fleet in [*fleets, interrupted]:
            fleet.stop.assert_called_once_with()


class TestTargets(unittest.TestCase):
    """Figures against the targets of docs/design.md, section 1.3."""

    workloads = list_workloads("semenanjung")

    def check_targets(self, scenario, current, baseline=None):
        current = {"violations": {"ran_twice": 0}} | current
        results = check_targets(scenario, current, baseline, self.workloads)
        return [result.met for result in results]

    def test_violations(self):
        """Guards against violations that meet the target."""
        self.assertEqual(self.check_targets("steady", {}), [True])
        found = {"violations": {"ran_twice": 1, "wrong_caller": None}}
        self.assertEqual(self.check_targets("steady", found), [False])

    def test_straggler(self):
        """Guards against wrong bounds on the p99 ratio and the extra load."""

        def figures(p99_ms, extra):
            return {"routes": {"lookup": {"p99_ms": p99_ms}}, "extra_load": extra}

        baseline = figures(400, 0)
        for current, met in (
            (figures(200, 0.05), [True, True, True]),
            (figures(201, 0.051), [True, False, False]),
            (figures(None, None), [True, None, None]),
        ):
            self.assertEqual(self.check_targets("straggler", current, baseline), met)

    def test_flood_reports(self):
        """Guards against a flood that is not compared with its steady phase."""

        def phase(p99_ms, completed):
            batch = {"completed": completed, "offered": 100}
            return {"routes": {"lookup": {"p99_ms": p99_ms}, "stock-check": batch}}

        steady = phase(100, 100)
        met = self.check_targets(
            "flood-reports", {"steady": steady, "flood": phase(150, 95)}
        )
        self.assertEqual(met, [True, True, True])
        met = self.check_targets(
            "flood-reports", {"steady": steady, "flood": phase(151, 94)}
        )
        self.assertEqual(met, [True, False, False])

    def test_flood_lookups(self):
        """Guards against shares of another quantity than the capacity."""

        def flood(lookups, batches, reports):
            rates = {"lookup": lookups, "stock-check": batches, "report": reports}
            routes = {name: {"completed_per_s": rate} for name, rate in rates.items()}
            return {"flood": {"routes": routes}}

        met = self.check_targets("flood-lookups", flood(80, 10, 0.5))
        self.assertEqual(met, [True, True, True, True])
        met = self.check_targets("flood-lookups", flood(79, 9, 0.4))
        self.assertEqual(met, [True, False, False, False])

    def test_configuration(self):
        """Guards against a late host, or one without the version, that passes."""
        current = {"config_in_force_s": 0.9, "config_never_in_force": 0}
        self.assertEqual(self.check_targets("config-roll", current), [True, True])
        current["config_never_in_force"] = 1
        self.assertEqual(self.check_targets("config-roll", current), [True, False])
        outage = {"ranks": {"batch": {"unknown": 0}, "report": None}}
        notes = {"notes": {"new_host_serves_s": 2.1}}
        self.assertEqual(
            self.check_targets("config-outage", outage | notes), [True, True, False]
        )

    def test_losses(self):
        """Guards against crashed upstreams, failed requests or daemons that pass."""
        poison = {"crashed_by_request": {"poison0": 2, "poison1": 3}}
        self.assertEqual(self.check_targets("poison", poison), [True, False])
        loss = {"failed_elsewhere": 0}
        self.assertEqual(self.check_targets("host-loss", loss), [True, True])
        drain = {"notes": {"exit_status": -9}}
        self.assertEqual(self.check_targets("drain", drain), [True, False])


if __name__ == "__main__":
    unittest.main()


class TestGatewayQuery(unittest.TestCase):
    """CPU time of one query in the gateway."""

    def test_prints_the_time(self):
        """Guards against a measurement that does not run with the current gateway."""
        command = [sys.executable, "-W", "ignore", "-m", "bench.gateway"]
        run = subprocess.run(
            [*command, "--shards", "3"], capture_output=True, text=True, check=True
        )
        self.assertRegex(run.stdout, r"^3 shards: \d+\.\d\d ms a query\n\d+ us a read")
