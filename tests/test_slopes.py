"""Tests of the fit of the slopes and the figures of the capacity page."""

import contextlib
import io
import json
import string
import unittest

from bench.slopes._capacity import (
    TEMPLATE_PATH,
    FleetSize,
    SavedSlope,
    compute_figures,
    read_slopes,
)
from bench.slopes._daemons import count_reads_per_second
from bench.slopes._fit import Fit, Slope, fit_line, to_json
from bench.slopes._main import SLOPE_GROUPS, main
from bench.slopes._simulated_fleet import SimulatedFleet


class FitTest(unittest.TestCase):
    """Guards against wrong slopes, by which the capacity page multiplies."""

    def test_residual_is_the_root_mean_square_distance(self):
        # The line is y = x; the points lie 1 above and below it.
        fit = fit_line([(0, 1), (1, 0), (2, 1), (3, 4)])
        self.assertAlmostEqual(fit.slope, 1.0)
        self.assertAlmostEqual(fit.intercept, 0.0)
        self.assertAlmostEqual(fit.residual, 1.0)
        self.assertAlmostEqual(fit.relative_residual, 1.0 / 1.5)

    def test_too_few_or_equal_points_are_refused(self):
        with self.assertRaisesRegex(ValueError, "4 points, got 3"):
            fit_line([(0, 1), (1, 2), (2, 3)])
        with self.assertRaisesRegex(ValueError, "x = 1"):
            fit_line([(1, 1), (1, 2), (1, 3), (1, 4)])

    def test_json_line_is_read_back(self):
        points = [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)]
        line = to_json(Slope("owner-read", "reads", "CPU s", points))
        self.assertTrue(json.loads(line)["command"].endswith("--only owner-read"))
        read = read_slopes([line])["owner-read"]
        self.assertEqual(read.fit, Fit(2.0, 1.0, 0.0, 0.0))
        self.assertEqual(read.value_at(3), 7.0)


class ReadsPerSecondTest(unittest.TestCase):
    """Guards against a burst of reads that is missed or counted twice."""

    def test_a_window_adds_the_reads_begun_and_the_watches_waiting(self):
        samples = [(0.0, 0, 0), (0.5, 10, 2), (1.0, 12, 4), (2.0, 13, 1)]
        self.assertEqual(count_reads_per_second(samples), [12 + 4, 2 + 4, 1 + 4])


class CapacityTest(unittest.TestCase):
    """Guards against wrong factors and units in the capacity page."""

    def setUp(self):
        names = [name for group in SLOPE_GROUPS for name in group.names]
        points = [(x, 1.0) for x in (6, 24, 48, 52, 96, 190, 570, 3200)]
        measured = SavedSlope(Fit(0.0, 1.0, 0.0, 0.0), points)
        self.slopes = dict.fromkeys(names, measured)
        self.slopes["owner-read"] = SavedSlope(Fit(300e-6, 0.0, 0.0, 0.0), [])

    def test_cores_follow_from_cost_per_read(self):
        self.slopes["entry-query"] = SavedSlope(Fit(100e-6, 1e-3, 0.0, 0.0), [])
        figures = compute_figures(self.slopes, FleetSize())
        self.assertAlmostEqual(figures["node_reads"], 43_333, delta=1)
        self.assertAlmostEqual(figures["entry_query_ms"], 20.0)
        self.assertAlmostEqual(figures["entry_cores"], 4.561, places=3)
        self.assertAlmostEqual(figures["owner_cores"], 13.0, places=3)
        self.assertAlmostEqual(figures["ratio"], 17.561, places=3)
        self.assertAlmostEqual(figures["daemons"], 25.088, places=3)

    def test_memory_is_the_sum_of_its_rows(self):
        self.slopes["memory-replica"] = SavedSlope(Fit(1000.0, 5.0, 0.0, 0.0), [])
        figures = compute_figures(self.slopes, FleetSize())
        self.assertAlmostEqual(figures["replica_mb"], 3.2)
        self.assertAlmostEqual(figures["memory_mb"], 3.2 + 1e-6)

    def test_every_field_of_the_page_has_a_figure(self):
        figures = compute_figures(self.slopes, FleetSize())
        parsed = string.Formatter().parse(TEMPLATE_PATH.read_text())
        fields = {field for _, field, _, _ in parsed}
        self.assertEqual(fields - {None} - set(figures), set())


class SimulatedFleetTest(unittest.TestCase):
    """Guards against messages lost without a partition or delivered across one."""

    def test_partition_separates_regions_and_heals(self):
        fleet = SimulatedFleet(6, 1, data_centres=3)
        fleet.partition_region("region-0")
        fleet.run(6.0)
        sizes = {len(member.table.live()) for member in fleet.members}
        self.assertEqual(sizes, {2, 4})
        fleet.partition_region(None)
        fleet.run(10.0)
        sizes = {len(member.table.live()) for member in fleet.members}
        self.assertEqual(sizes, {6})


class CommandTest(unittest.TestCase):
    """Guards against an unknown name that measures nothing without an error."""

    def test_unknown_name_is_a_usage_error(self):
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            self.assertEqual(main(["--only", "no-such-slope"]), 2)
        self.assertIn("no-such-slope", errors.getvalue())
