"""Tests of the metrics of a daemon."""

import unittest

from cicadalever.metrics import Metrics
from cicadalever.outcomes import FailureCode, Outcome
from cicadalever.scheduling import Rank


class TestMetrics(unittest.TestCase):
    """The text that is rendered after calls."""

    def setUp(self):
        self.metrics = Metrics()

    def lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_registries_are_separate(self):
        """Guards against two daemons in one process sharing their counts."""
        Metrics().read_hedged()
        self.assertIn("cicadalever_hedges_total 0.0", self.lines())

    def test_query_events(self):
        """Guards against a query counted under another rank or outcome."""
        self.metrics.query_finished(Rank.BATCH, Outcome.PARTIAL, 0.02, 0.5)
        self.metrics.query_finished(None, Outcome.INVALID, 0.0, None)
        self.metrics.set_admission(Rank.REPORT, 2.5, 2, 7)
        expected = (
            'cicadalever_queries_total{outcome="partial",rank="batch"} 1.0',
            'cicadalever_queries_total{outcome="invalid_request",rank="none"} 1.0',
            'cicadalever_query_seconds_count{rank="batch"} 1.0',
            'cicadalever_query_coverage_ratio_sum{rank="batch"} 0.5',
            'cicadalever_admission_window_queries{rank="report"} 2.5',
            'cicadalever_queries_running{rank="report"} 2.0',
            'cicadalever_queries_waiting{rank="report"} 7.0',
        )
        for line in expected:
            self.assertIn(line, self.lines())

    def test_every_failure_code_can_be_counted(self):
        """Guards against a failure code without a series, as enum member or text."""
        for code in FailureCode:
            self.metrics.read_finished(code, 0.1, 0.0)
            self.metrics.read_finished(code.value, 0.1, 0.0)
        self.metrics.read_finished("", 0.1, 0.2)
        lines = self.lines()
        for code in FailureCode:
            self.assertIn(f'cicadalever_reads_total{{code="{code}"}} 2.0', lines)
        self.assertIn('cicadalever_reads_total{code="ok"} 1.0', lines)
        self.assertIn("cicadalever_read_service_seconds_count 1.0", lines)

    def test_released_replica_leaves_no_series(self):
        """Guards against stale series that accumulate as the ownership changes."""
        self.metrics.set_replica("a-1", 3, 2, 1)
        line = 'cicadalever_replica_queue_reads{replica="a-1"} 3.0'
        self.assertIn(line, self.lines())
        self.assertIn("cicadalever_owned_replicas 1.0", self.lines())
        self.metrics.remove_replica("a-1")
        self.metrics.remove_replica("a-1")
        self.assertNotIn('replica="a-1"', "".join(self.lines()))
        self.assertIn("cicadalever_owned_replicas 0.0", self.lines())

    def test_peer_bytes_follow_totals(self):
        """Guards against a total that is added again at every scrape."""
        for total in (10, 25, 25):
            self.metrics.set_peer_bytes("sent", {"Ping": total})
        line = 'cicadalever_peer_bytes_total{direction="sent",type="Ping"} 25.0'
        self.assertIn(line, self.lines())

    def test_member_states_that_vanish_become_zero(self):
        """Guards against a dead member that is counted after it was removed."""
        self.metrics.set_member_counts({"alive": 2, "dead": 1})
        self.metrics.set_member_counts({"alive": 3})
        self.assertIn('cicadalever_members{state="alive"} 3.0', self.lines())
        self.assertIn('cicadalever_members{state="dead"} 0.0', self.lines())

    def test_remaining_events(self):
        """Guards against a method that changes the wrong series."""
        self.metrics.read_retried()
        self.metrics.set_extra_read_stock(4.5)
        self.metrics.set_configuration(9, 7)
        self.metrics.set_platform_contact_age(1.5)
        self.metrics.set_quarantined(2)
        self.metrics.audit_recorded("drain")
        self.metrics.observe_loop_lag(0.2)
        expected = (
            "cicadalever_retries_total 1.0",
            "cicadalever_extra_load_stock_reads 4.5",
            "cicadalever_configuration_sequence 9.0",
            "cicadalever_configuration_version 7.0",
            "cicadalever_platform_contact_age_seconds 1.5",
            "cicadalever_quarantined_fingerprints 2.0",
            'cicadalever_audit_events_total{kind="drain"} 1.0',
            "cicadalever_event_loop_lag_seconds_sum 0.2",
        )
        for line in expected:
            self.assertIn(line, self.lines())
        self.assertIn("process_resident_memory_bytes", self.metrics.render().decode())
