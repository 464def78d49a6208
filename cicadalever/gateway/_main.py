"""Entry point of the gateway process."""

import contextlib
import gc
import os
import time
from random import Random

import eventlet

from cicadalever.startup import ProcessSignals

from ._adapter import HostSettings, PlatformAdapter
from ._settings_review import SettingsReview

# Requests leave few reference cycles and a collection blocks the event loop, so
# collections are rare.
GC_THRESHOLD = 20_000
# Time between two reads of settings that cannot be used yet, and between two log lines
# about them.
SETTINGS_POLL_S = 0.05
WAITING_LOG_PERIOD_S = 10.0
STDERR_FD = 2


def main(adapter: PlatformAdapter, signals: ProcessSignals) -> None:
    """Run the gateway until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Waits as long as the settings cannot be read: they may be placed in a moment, and a
    process that ends would only be started again.
    """
    review = SettingsReview()
    # Loading takes about the time for which settings must not change.
    review.record(adapter.load_settings(), time.monotonic())
    from ._composition import build_gateway

    settings = _wait_for_settings(adapter, signals, review)
    daemon = build_gateway(settings, adapter, Random())
    daemon.components.events.start()
    signals.follow(daemon.request_stop, daemon.request_reload)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    daemon.start()
    eventlet.event.Event().wait()


def _wait_for_settings(
    adapter: PlatformAdapter, signals: ProcessSignals, review: SettingsReview
) -> HostSettings:
    log_due_at = 0.0
    while True:
        signals.forget_reload()
        now = time.monotonic()
        settings = review.record(adapter.load_settings(), now)
        if settings is not None:
            return settings
        if review.reason is not None and now >= log_due_at:
            log_due_at = now + WAITING_LOG_PERIOD_S
            _print_error(f"gateway: waiting for settings: {review.reason}")
        time.sleep(SETTINGS_POLL_S)


def _print_error(text: str) -> None:
    """Write a line to standard error unless that would block."""
    with contextlib.suppress(OSError):
        os.set_blocking(STDERR_FD, False)
        os.write(STDERR_FD, f"{text}\n".encode(errors="replace"))
