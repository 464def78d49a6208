"""Tests of starts of a gateway process while something is missing or in the way."""

import signal
import sys
import time
import unittest

import eventlet

from cicadalever.startup import ProcessSignals
from tests.platform_standins import GATEWAY, GatewayProcess, StoreStandIn, wait_for
from tests.test_gateway_process import configuration

# Runs a program and sends a signal to it each time one of the modules is imported.
SIGNAL_AT_IMPORT = """
import os, runpy, sys
path, number, *modules = sys.argv[1:]
class Finder:
    def find_spec(self, name, *_):
        if name in modules:
            os.kill(os.getpid(), int(number))
sys.meta_path.insert(0, Finder())
sys.path.insert(0, os.path.dirname(path))
runpy.run_path(path, run_name="__main__")
"""


class StartTestCase(unittest.TestCase):
    """Starts one gateway process when a test has prepared its surroundings."""

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.store.put("op/config", configuration(7))
        self.gateway = GatewayProcess(self.store, is_started=False)
        self.addCleanup(self.gateway.stop)

    def wait_until_ready(self):
        wait_for(lambda: self.is_ready() or self.has_ended(), "readiness")
        self.assertFalse(self.has_ended(), self.read_log())

    def is_ready(self):
        return self.gateway.is_ready()

    def has_ended(self):
        return self.gateway.process.poll() is not None

    def read_log(self):
        return self.gateway.log_path.read_text()

    def finish(self, number=signal.SIGTERM, within_s=2.0):
        """Send a signal; the process ends soon, with status 0 and no traceback."""
        sent_at = time.monotonic()
        self.gateway.process.send_signal(number)
        wait_for(self.has_ended, "the end")
        self.assertLess(time.monotonic() - sent_at, within_s)
        self.assertEqual(self.gateway.process.returncode, 0)
        self.assertNotIn("Traceback", self.read_log())


class TestSignalsDuringStart(StartTestCase):
    """Signals that arrive while the program loads."""

    def start_with_signal(self, number, *modules):
        """Start the gateway, and send a signal to it when it imports the modules."""
        self.gateway.start(
            [sys.executable, "-c", SIGNAL_AT_IMPORT, str(GATEWAY), str(int(number))]
            + [*modules]
        )

    def test_reload_request_during_start_does_not_end_the_process(self):
        """Guards against SIGHUP with its default action while modules are loaded."""
        for module in ("eventlet", "cicadalever_platform", "msgspec"):
            with self.subTest(module=module):
                self.start_with_signal(signal.SIGHUP, module)
                self.wait_until_ready()
                self.gateway.kill()

    def test_settings_are_read_again_if_the_signal_came_after_they_were_read(self):
        """Guards against a change of the settings that a start overlooks."""
        self.start_with_signal(signal.SIGHUP, "cicadalever.gateway._composition")
        self.wait_until_ready()
        wait_for(lambda: self.gateway.events("reloaded"), "the reload")

    def test_series_of_reload_requests(self):
        """Guards against a start that repeated signals interrupt."""
        self.gateway.start()
        self.wait_for_handler()
        while not self.gateway.is_ready():
            self.assertFalse(self.has_ended(), self.read_log())
            self.gateway.process.send_signal(signal.SIGHUP)
            eventlet.sleep(0.01)

    def wait_for_handler(self):
        """Wait until the interpreter has started and the program handles SIGHUP."""
        status = f"/proc/{self.gateway.process.pid}/status"

        def is_handled():
            with open(status) as file:
                masks = [line.split()[1] for line in file if line.startswith("SigCgt")]
            return int(masks[0], 16) & 1 << signal.SIGHUP - 1

        wait_for(is_handled, "the handler")

    def test_stop_during_start_ends_the_process_at_once(self):
        """Guards against a traceback, or a start that a stop does not end."""
        for number in (signal.SIGTERM, signal.SIGINT):
            for module in ("eventlet", "cicadalever.gateway._composition"):
                with self.subTest(number=number, module=module):
                    self.start_with_signal(number, module)
                    wait_for(self.has_ended, "the end")
                    self.assertEqual(self.gateway.process.returncode, 0)
                    self.assertEqual(self.read_log(), "")


class TestProcessSignals(unittest.TestCase):
    """Signals that are noted until the program can act on them."""

    def test_reload_before_the_settings_are_read_is_forgotten(self):
        """Guards against a reload of settings that were read after the signal."""
        signals, calls = ProcessSignals(), []
        signals.request_reload()
        signals.forget_reload()
        signals.follow(lambda: None, lambda: calls.append("reload"))
        self.assertEqual(calls, [])
        signals.request_reload()
        self.assertEqual(calls, ["reload"])
