"""Tests of starts of a gateway process while something is missing or in the way."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from functools import partial
from pathlib import Path
from random import Random
from unittest import mock

import eventlet

from cicadalever.budgets import DescriptorBudget, DescriptorKind
from cicadalever.gateway import HostSettings, RetryLimits, UnfinishedSettings
from cicadalever.gateway._composition import build_gateway
from cicadalever.gateway._follower import WatchTiming
from cicadalever.gateway._settings_review import (
    SETTLE_S,
    UNFINISHED_SETTLE_S,
    SettingsReview,
)
from cicadalever.gateway._settings_update import apply_settings
from cicadalever.outcomes import Failure
from cicadalever.startup import ProcessSignals
from cicadalever.wire import CallerServer, EventLoop
from tests.platform_standins import (
    GATEWAY,
    GatewayProcess,
    ReplicaStandIn,
    StoreStandIn,
    free_port,
    wait_for,
)
from tests.test_gateway import NAMES
from tests.test_gateway_process import SHARDS, configuration

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


def load_settings(path):
    """Return what the adapter reads from a settings file."""
    with mock.patch.object(sys, "path", [str(GATEWAY.parent), *sys.path]):
        from cicadalever_platform import load_host_settings
    return load_host_settings(str(path))


def close_all(descriptors):
    """Close some descriptors."""
    for descriptor in descriptors:
        os.close(descriptor)


class StartTestCase(unittest.TestCase):
    """Starts one gateway process when a test has prepared its surroundings."""

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.store.put("op/config", configuration(7))
        for service in [*SHARDS, "one"]:
            replica = ReplicaStandIn(service, f"i-{service}", bytes(16))
            self.addCleanup(replica.stop)
            self.store.put(f"servers/{replica.id}", replica.entry())
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

    def test_reload_after_the_settings_were_read_is_kept(self):
        """Guards against a change of the settings that a start overlooks."""
        signals, calls = ProcessSignals(), []
        signals.forget_reload()
        signals.request_reload()
        signals.follow(lambda: None, lambda: calls.append("reload"))
        self.assertEqual(calls, ["reload"])


class TestSettingsDuringStart(StartTestCase):
    """A settings file that is not in place yet."""

    def setUp(self):
        super().setUp()
        self.path = self.gateway.settings_path
        self.settings = self.path.read_text()

    def check_start(self, remove=None):
        """Start the process, and put the settings into place after a while."""
        self.gateway.start()
        wait_for(lambda: "waiting for settings" in self.read_log(), "the log line")
        eventlet.sleep(0.7)
        self.assertFalse(self.has_ended(), self.read_log())
        if remove is not None:
            remove()
        self.path.write_text(self.settings)
        self.wait_until_ready()
        self.assertEqual(self.read_log().count("waiting for settings"), 1)

    def test_missing_file(self):
        """Guards against a start that ends since its settings come a moment later."""
        self.path.unlink()
        self.check_start()

    def test_empty_file(self):
        """Guards against a start that ends because it reads a file being replaced."""
        self.path.write_text("")
        self.check_start()

    def test_half_written_file(self):
        """Guards against a start that ends because it reads a file being written."""
        self.path.write_text(self.settings[: len(self.settings) // 2])
        self.check_start()

    def test_file_that_cannot_be_read(self):
        """Guards against a start that ends because of an error of the file system."""
        self.path.unlink()
        self.path.mkdir()
        self.check_start(self.path.rmdir)

    def test_address_that_is_cut(self):
        """Guards against a start with a wrong address of the platform."""
        end = self.settings.index(self.store.address) + len(self.store.address) - 1
        self.path.write_text(self.settings[:end])
        self.check_start()
        (event,) = self.gateway.events("started")
        self.assertEqual(event["platform"][1], int(self.store.address.split(":")[1]))

    def test_stop_while_waiting(self):
        """Guards against a process that waits for settings and cannot be stopped."""
        self.path.unlink()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.gateway.start()
            wait_for(lambda: "waiting for settings" in self.read_log(), "the log line")
            self.gateway.process.send_signal(signal.SIGHUP)
            self.finish(number)
            self.gateway.log_path.write_text("")


class TestSettingsReview(unittest.TestCase):
    """When settings that were read may be used."""

    def setUp(self):
        gateway = GatewayProcess(
            mock.Mock(address="10.200.1.7:8102"),
            seeds="10.1.0.9:7380",
            is_started=False,
        )
        self.addCleanup(gateway.stop)
        self.path = gateway.settings_path
        self.text = self.path.read_text()
        self.complete = load_settings(self.path)

    def read(self, text):
        self.path.write_text(text)
        return load_settings(self.path)

    def test_file_that_is_cut_at_any_byte_is_never_used(self):
        """Guards against settings of which the end is missing or is cut."""
        for end in range(len(self.text)):
            review = SettingsReview()
            cut = self.read(self.text[:end])
            pause_s = SETTLE_S
            if isinstance(cut, UnfinishedSettings):
                pause_s = UNFINISHED_SETTLE_S
            for now in (0.0, 0.5 * pause_s, 0.99 * pause_s):
                used = review.record(cut, now)
                self.assertIn(used, (None, self.complete), self.text[:end])
            used = review.record(self.complete, pause_s)
            self.assertIn(used, (None, self.complete))
            self.assertEqual(
                review.record(self.complete, pause_s + SETTLE_S), self.complete
            )

    def test_cut_line_on_which_the_settings_depend_is_noticed(self):
        """Guards against cut numbers and addresses that are valid."""
        for name in ("platform.Address", "Bounds.GraceS", "Seeds", "Limits.MemoryMb"):
            (line,) = [e for e in self.text.splitlines() if e.startswith(name)]
            text = self.text.replace(f"{line}\n", "") + line
            for end in (len(text), len(text) - 1):
                read = self.read(text[:end])
                self.assertNotIsInstance(read, HostSettings, text[:end])

    def test_file_without_a_last_line_end_is_used_in_the_end(self):
        """Guards against a host that waits for a line end for ever."""
        read = self.read(self.text.strip())
        review = SettingsReview()
        review.record(read, 0.0)
        self.assertEqual(review.record(read, UNFINISHED_SETTLE_S), self.complete)

    def test_values_that_cannot_be_used_are_named(self):
        """Guards against values that end the process, or never settle, such as nan."""
        cases = (
            ("Bounds.GraceS", "nan", "must be in [0, inf], got nan"),
            ("Bounds.GraceS", "", "'' is not a number"),
            ("Bounds.GraceS", "6s", "'6s' is not a number"),
            ("Bounds.DrainMs", "-1", "must be in [0, inf], got -1"),
            ("Bounds.ContactMs", "inf", "must be in [0, inf], got inf"),
            ("Bounds.RetryBudgetRatio", "2", "must be in [0, 1.0], got 2"),
            ("Bounds.RetryWindowS", "0", "must be in (0, inf], got 0"),
            ("Limits.MaxFds", "0", "must be in (0, inf], got 0"),
            ("Listen.Front", "127.0.0.1:99999", "must be in [1, 65535], got '99999'"),
            ("Listen.Ready", "host:80", "'host:80' is not ip:port"),
            ("platform.Address", "10.1.0.:80", "'10.1.0.:80' is not ip:port"),
            ("InternalPorts", "", "must be in [1, 65535], got ''"),
            ("InternalPorts", "0,7395", "must be in [1, 65535], got '0'"),
        )
        for name, value, expected in cases:
            with self.subTest(name=name, value=value):
                read = self.read(self.replace(name, value))
                self.assertIsInstance(read, Failure)
                self.assertIn(f"{name}: ", read.reason)
                self.assertIn(expected, read.reason)

    def test_files_that_mean_the_same(self):
        """Guards against a start that unknown or optional settings prevent."""
        for text in (
            self.text.replace("\n", "\r\n"),
            self.text.replace("\n", "\n\n").replace("=", " = "),
            "# a comment = 1\n=\n==\nnew.Key=a=b\nFaultTolerance.Zones=\n" + self.text,
            self.replace("Seeds", "10.1.0.9:7380,, odd,[::1]:80,host:80,:,"),
            self.text + "Limits.CpuShare=\nLimits.Cores=\nBootstrap=true\n",
        ):
            self.assertEqual(self.read(text), self.complete, text)
        read = self.read(self.replace("Seeds", ""))
        self.assertEqual(read, self.complete._replace(seeds=()))
        self.assertFalse(self.read(f"{self.text}Bootstrap=false\n").is_first_start)

    def replace(self, name, value):
        """Return the settings with another value of a field."""
        lines = self.text.splitlines()
        return "".join(
            f"{name}={value}\n" if line.startswith(f"{name}=") else f"{line}\n"
            for line in lines
        )


class TestAddressesDuringStart(StartTestCase):
    """Addresses that another socket holds for a while."""

    def take(self, address, kind=socket.SOCK_STREAM):
        """Take an address and return the socket that holds it."""
        sock = socket.socket(type=kind)
        self.addCleanup(sock.close)
        sock.bind(address)
        if kind == socket.SOCK_STREAM:
            sock.listen()
        return sock

    def wait_for_event(self, name):
        wait_for(lambda: self.gateway.events(name) or self.has_ended(), name)
        self.assertFalse(self.has_ended(), self.read_log())

    def check_start(self, name, *taken):
        """Start the process while its addresses are taken; it opens them later."""
        self.gateway.start()
        self.wait_for_event(f"{name}_unavailable")
        wait_for(lambda: self.gateway.events("configuration_in_force"), "the table")
        eventlet.sleep(0.5)
        self.assertFalse(self.gateway.events(f"{name}_available"))
        for sock in taken:
            sock.close()
        self.wait_for_event(f"{name}_available")
        self.wait_until_ready()
        self.assertEqual(len(self.gateway.events(f"{name}_unavailable")), 1)

    def test_address_of_callers(self):
        """Guards against a start that ends since its address is free a moment later."""
        taken = self.take(self.gateway.caller_address)
        self.gateway.start()
        self.wait_for_event("callers_unavailable")
        wait_for(lambda: self.gateway.events("configuration_in_force"), "the table")
        status, _, _ = self.gateway.ask(
            "/cicadalever/readiness", address=self.gateway.readiness_address
        )
        self.assertEqual(status, 503)
        taken.close()
        self.wait_until_ready()
        self.assertEqual(self.gateway.ask("/nowhere/x")[0], 404)

    def test_address_of_readiness(self):
        """Guards against a start that ends since its address is free a moment later."""
        self.check_start("readiness", self.take(self.gateway.readiness_address))

    def test_addresses_between_hosts(self):
        """Guards against a host that works without peers for good."""
        for kinds in ([socket.SOCK_STREAM], [socket.SOCK_DGRAM]):
            with self.subTest(kinds=kinds):
                address = ("127.0.0.1", self.gateway.peer_port)
                self.check_start("peers", *(self.take(address, k) for k in kinds))
                self.gateway.kill()
                self.gateway.log_path.write_text("")

    def test_stop_while_waiting(self):
        """Guards against a process that waits for an address and cannot be stopped."""
        self.take(self.gateway.caller_address)
        self.gateway.start()
        self.wait_for_event("callers_unavailable")
        self.finish()


class TestReload(StartTestCase):
    """Settings that change while the gateway runs."""

    def setUp(self):
        super().setUp()
        self.path = self.gateway.settings_path
        self.settings = self.path.read_text()
        self.gateway.start()
        self.wait_until_ready()

    def request_reload(self):
        self.gateway.process.send_signal(signal.SIGHUP)

    def wait_for_reload(self):
        wait_for(lambda: self.gateway.events("reloaded"), "the reload")
        (event,) = self.gateway.events("reloaded")
        return event

    def test_half_written_file_is_read_again(self):
        """Guards against a signal that is forgotten because it came too early."""
        state = self.path.stat()
        self.path.write_text(self.settings[: len(self.settings) // 2])
        self.request_reload()
        wait_for(lambda: self.gateway.events("reload_failed"), "the failure")
        eventlet.sleep(0.5)
        self.path.write_text(self.settings.replace("GraceS=6", "GraceS=7"))
        # The state of the file alone does not tell that it was completed.
        os.utime(self.path, ns=(state.st_atime_ns, state.st_mtime_ns))
        event = self.wait_for_reload()
        self.assertEqual((event["cause"], event["changed"]), ("signal", ["grace_s"]))
        self.assertEqual(len(self.gateway.events("reload_failed")), 1)

    def test_cut_address_is_not_used(self):
        """Guards against a host that follows a wrong address of the platform."""
        end = self.settings.index(self.store.address) + len(self.store.address) - 1
        self.path.write_text(self.settings[:end])
        self.request_reload()
        eventlet.sleep(1.0)
        self.path.write_text(self.settings)
        self.assertEqual(self.wait_for_reload()["changed"], [])
        self.assertEqual(self.gateway.events("platform_lost"), [])

    def test_change_without_a_signal(self):
        """Guards against overlooking a file that is written shortly after the start."""
        text = self.settings.replace("Listen.Front=", "Seeds=10.1.0.9:1\nListen.Front=")
        self.path.write_text(text.replace("MaxFds=4100", "MaxFds=9"))
        event = self.wait_for_reload()
        self.assertEqual(event["cause"], "file changed")
        self.assertEqual(event["changed"], ["max_descriptors"])
        self.assertEqual(event["needs_restart"], ["max_descriptors"])

    def test_series_of_signals_does_not_put_a_change_off(self):
        """Guards against a reload that each further signal begins anew."""
        self.path.write_text(self.settings.replace("GraceS=6", "GraceS=7"))
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline and not self.gateway.events("reloaded"):
            self.request_reload()
            eventlet.sleep(0.02)
        self.assertEqual(self.gateway.events("reloaded")[0]["changed"], ["grace_s"])

    def test_series_of_signals_and_a_stop(self):
        """Guards against signals that end a process before its drain is over."""
        for _ in range(20):
            self.request_reload()
            eventlet.sleep(0.03)
        for number in range(20):
            if number in (3, 5, 6):
                self.gateway.process.send_signal(signal.SIGTERM)
            self.request_reload()
            eventlet.sleep(0.03)
        wait_for(self.has_ended, "the end")
        self.assertEqual(self.gateway.process.returncode, 0)
        self.assertEqual(len(self.gateway.events("draining")), 1)


class TestAppliedSettings(unittest.TestCase):
    """Which settings are in force after a reload."""

    def setUp(self):
        gateway = GatewayProcess(mock.Mock(address="127.0.0.1:9"), is_started=False)
        self.addCleanup(gateway.stop)
        self.settings = load_settings(gateway.settings_path)
        self.adapter = mock.Mock(settings_path=None, header_names=NAMES)
        self.daemon = build_gateway(self.settings, self.adapter, Random(1))
        self.daemon.follower = mock.Mock()

    def apply(self, **changes):
        return apply_settings(
            self.daemon.components,
            self.daemon.follower,
            self.settings._replace(**changes),
            self.settings,
        )

    def test_bounds_are_in_force(self):
        """Guards against bounds that are stored but not kept."""
        change = self.apply(
            contact_s=9.0,
            apply_s=8.0,
            drain_s=7.0,
            data_centres=1,
            retries=RetryLimits(ratio=0.1, window_s=5.0, slack=1.0),
        )
        self.assertEqual(
            change.changed,
            ["data_centres", "contact_s", "apply_s", "drain_s", "retries"],
        )
        self.assertEqual(change.needs_restart, [])
        runner = self.daemon.components.runner
        self.assertEqual(self.daemon.follower.timing, WatchTiming.plan(9.0, 8.0, 7.0))
        self.assertEqual(runner.notices.drain_s, 7.0)
        budget = runner.retry_budget
        self.assertEqual((budget.ratio, budget.window_s, budget.slack), (0.1, 5.0, 1.0))
        self.assertFalse(self.daemon.components.contact.has_other_data_centres)
        self.daemon.follower.restart.assert_not_called()

    def test_platform_and_seeds_are_in_force(self):
        """Guards against a host that keeps calling an address that has moved."""
        self.apply(platform_address=("127.0.0.1", 10), seeds=(("10.1.0.9", 1),))
        self.adapter.connect.assert_called_with(("127.0.0.1", 10))
        self.daemon.follower.restart.assert_called_once_with(
            self.adapter.connect.return_value
        )

    def test_few_descriptors_leave_connections_for_queries_of_peers(self):
        """Guards against polls on all connections that peers can always have."""
        for number in (350, 512, 1024, 4100):
            settings = self.settings._replace(max_descriptors=number)
            daemon = build_gateway(settings, self.adapter, Random(1))
            guaranteed = DescriptorBudget(number).guaranteed(DescriptorKind.PEER)
            max_waiting = daemon.follower.relay.max_waiting
            self.assertLess(max_waiting, guaranteed, f"{number} descriptors")

    def test_settings_that_need_a_restart_are_named(self):
        """Guards against a change without effect that looks applied."""
        change = self.apply(caller_address=("127.0.0.1", 1), memory_bytes=10**9)
        self.assertEqual(change.needs_restart, ["caller_address", "memory_bytes"])


class TestStandardStreams(StartTestCase):
    """Standard streams that are closed or that nobody reads."""

    def test_closed_streams(self):
        """Guards against a start that ends, or sockets that get the log lines."""
        for number in range(1, 8):
            closed = [each for each in (0, 1, 2) if number >> each & 1]
            with self.subTest(closed=closed):
                self.gateway.start(preexec_fn=partial(close_all, closed))
                self.wait_until_ready()
                self.gateway.process.send_signal(signal.SIGHUP)
                self.assertEqual(self.gateway.ask("/nowhere/x")[0], 404)
                for descriptor in (0, 1, 2):
                    path = f"/proc/{self.gateway.process.pid}/fd/{descriptor}"
                    self.assertNotIn("socket", os.readlink(path))
                self.gateway.kill()
        self.assertNotIn("Traceback", self.read_log())

    def test_closed_streams_without_settings(self):
        """Guards against an error message that ends the process."""
        self.gateway.settings_path.rename(f"{self.gateway.settings_path}.later")
        self.gateway.start(preexec_fn=lambda: os.closerange(0, 3))
        eventlet.sleep(0.7)
        self.assertFalse(self.has_ended())
        Path(f"{self.gateway.settings_path}.later").rename(self.gateway.settings_path)
        self.wait_until_ready()


class TestLenientStream(unittest.TestCase):
    """Standard error that cannot be written."""

    PROGRAM = """
import os, sys, warnings
warnings.simplefilter("ignore")
import eventlet
from cicadalever.startup import LenientStream
def fail(): raise ValueError("nobody handles this")
reader, writer = os.pipe()
os.close(reader)
os.dup2(writer, 2)
sys.stderr = {stream}
eventlet.spawn(fail)
eventlet.sleep(0.1)
print("goes on")
"""

    def run_program(self, stream):
        """Run a program whose green thread fails; return what it prints."""
        return subprocess.run(
            [sys.executable, "-c", self.PROGRAM.format(stream=stream)],
            cwd=GATEWAY.parents[1],
            stdout=subprocess.PIPE,
        ).stdout

    def test_exception_while_nobody_reads_standard_error(self):
        """Guards against a process that ends since it cannot print a traceback."""
        self.assertEqual(self.run_program("LenientStream(sys.stderr)"), b"goes on\n")
        self.assertEqual(self.run_program("sys.stderr"), b"")


class TestCallerServerStart(unittest.TestCase):
    """A listener that could not be opened at once."""

    def test_failed_attempts_leave_no_descriptors(self):
        """Guards against a process that runs out of descriptors while it waits."""
        taken = socket.socket()
        self.addCleanup(taken.close)
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        server = CallerServer(EventLoop(), taken.getsockname(), print, None)
        before = os.listdir("/proc/self/fd")
        for _ in range(3):
            self.assertRaises(OSError, server.start)
        self.assertEqual(len(os.listdir("/proc/self/fd")), len(before))
        self.assertFalse(server.is_listening)


class TestDaemonStart(unittest.TestCase):
    """Signals to ``cicadaleverd`` and its standard streams."""

    def setUp(self):
        addresses = ("caller_address", "admin_address", "peer_address")
        settings = {name: f"127.0.0.1:{free_port()}" for name in addresses} | {
            "host_id": "h1",
            "data_centre": "dc1",
            "region": "south",
            "platform_url": f"http://127.0.0.1:{free_port()}",
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.log_path = (
            Path(folder.name, "h1.json"),
            Path(folder.name, "log"),
        )
        self.path.write_text(json.dumps(settings))
        self.address = settings["admin_address"].split(":")

    def start(self, *command, **options):
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command, "--settings", self.path],
                stdout=log,
                stderr=log,
                **options,
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def has_ended(self):
        return self.process.poll() is not None

    def accepts(self):
        try:
            socket.create_connection(self.address).close()
        except OSError:
            return False
        return True

    def test_reload_request_does_not_end_the_process(self):
        """Guards against SIGHUP with its default action, which ends a daemon."""
        self.start("-m", "cicadalever.daemon")
        wait_for(lambda: "listening" in self.log_path.read_text(), "the start")
        for _ in range(5):
            self.process.send_signal(signal.SIGHUP)
            eventlet.sleep(0.05)
        self.assertIsNone(self.process.poll())
        self.process.send_signal(signal.SIGTERM)
        wait_for(self.has_ended, "the end")
        self.assertEqual(self.process.returncode, 0)

    def test_stop_during_start_prints_no_traceback(self):
        """Guards against a start that a stop ends like an error."""
        code = (
            "import os, sys; import cicadalever.daemon as daemon\n"
            "class Finder:\n"
            "    def find_spec(self, name, *_):\n"
            "        if name == 'cicadalever.settings': os.kill(os.getpid(), {})\n"
            "sys.meta_path.insert(0, Finder()); daemon.main()"
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number=number):
                self.start("-c", code.format(int(number)))
                wait_for(self.has_ended, "the end")
                self.assertEqual(self.process.returncode, 0)
                self.assertNotIn("Traceback", self.log_path.read_text())

    def test_closed_streams(self):
        """Guards against a start that ends because it cannot write a log."""
        self.start("-m", "cicadalever.daemon", preexec_fn=partial(close_all, (0, 1, 2)))
        wait_for(lambda: self.accepts() or self.has_ended(), "the start")
        self.assertFalse(self.has_ended())
