"""Tests of the command that shows what gateways report."""

import json
import unittest

from typer.testing import CliRunner

from cicadalever.cli._app import app
from cicadalever.cli._gateway_status import parse_metrics
from cicadalever.gateway._metrics import GatewayMetrics


class TestGatewayStatus(unittest.TestCase):
    """Rows from the metrics of a gateway."""

    def test_row_of_the_metrics_that_gateways_serve(self):
        """Guards against metrics that are renamed on one side only."""
        metrics = GatewayMetrics()
        metrics.set_gauges(
            calls=3,
            age_s=0.5,
            upstream_age_s=0.1,
            version=7,
            replicas=12,
            limited=0,
            leaving=0,
            paused=0,
            quarantined=0,
            lag_s=0.0,
        )
        metrics.request_ended(0, "complete", 0.1)
        metrics.request_ended(1, "too_few", 0.1)
        metrics.extra_read("hedge")
        metrics.extra_read("retry")
        metrics.extra_read("no_allowance")
        metrics.connection_opened()
        expected = {
            "version": 7,
            "age_s": 0.5,
            "platform_calls": 3,
            "replicas": 12,
            "lag_s": 0.0,
            "requests": 2,
            "bad_requests": 1,
            "extra_reads": 2,
            "no_allowance": 1,
            "connections_opened": 1,
        }
        self.assertEqual(parse_metrics(metrics.render().decode()), expected)

    def test_unreachable_host(self):
        """Guards against a traceback, and a success, without a gateway."""
        result = CliRunner().invoke(app, ["gateway-status", "--json", "127.0.0.1:1"])
        self.assertEqual(result.exit_code, 5)
        self.assertIn("error", json.loads(result.stdout)[0])

    def test_wrong_address(self):
        """Guards against a call to something that is no address."""
        result = CliRunner().invoke(app, ["gateway-status", "nowhere"])
        self.assertEqual(result.exit_code, 2)
