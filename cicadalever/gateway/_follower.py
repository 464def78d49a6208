"""Keeps the configuration and the list of replicas up to date with the platform."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

import eventlet
import eventlet.event

from cicadalever.freshness import Outage, PlatformContact
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.peers import Position, RelayedChanges
from cicadalever.wire import EventLoop

from ._adapter import HistoryLost, PlatformClient, PlatformUpdate
from ._events import EventLog
from ._relay import REJECTION_S, ChangeRelay

# Longest wait that the platform allows for a watch call.
MAX_WATCH_WAIT_S = 30.0
# Time to call the platform again after a watch has timed out, and to apply the answer.
RECOVERY_MARGIN_S = 3.0
# Time after which a first read is used although the changes since then cannot be read:
# without it, this host could serve no request at all.
MAX_UNCONFIRMED_S = 2.0
# Least pause between two calls when another host has a newer version.
MIN_PAUSE_S = 0.2
# Wait of the watch call after a failure: short, so that its answer soon shows that the
# platform is reachable again.
RECONNECT_WAIT_S = 0.1
# Least time between two watch calls, as a share of the time in which a change must be
# in force. Changes in quick succession are then fetched by one call.
INTERVAL_SHARE = 0.35
# Greatest age of data from another host, as a share of the same time. The rest is left
# for asking the platform instead.
MAX_AGE_SHARE = 0.5
# Time for the answer of a slow platform, and the least wait of a watch call of a host
# that relays changes to others.
SLOW_ANSWER_S = 0.4
MIN_FOLLOWED_WAIT_S = 0.1
# The platform limits the answer to a watch to a few hundred changes. After an answer
# with at least this many, more may be pending, so the next call follows after this
# share of the interval.
CATCH_UP_MIN_CHANGES = 100
CATCH_UP_INTERVAL_SHARE = 0.2
# Exponential back-off after failed calls. Up to half of it is added at random, so that
# hosts do not call the platform at the same moment.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class WatchTiming(NamedTuple):
    """Longest wait of a watch call and least time between two calls, in seconds.

    A platform that lost a watch call during a disturbance never answers it, and TCP
    keep-alive probes do not detect that. The wait therefore ends early enough for this
    host to be up to date when the bounds of the deployment apply again.
    """

    wait_s: float
    interval_s: float
    # Greatest age of data from another host that is used.
    max_age_s: float = 0.0

    @property
    def followed_wait_s(self) -> float:
        """Longest wait of a watch call of a host that relays changes to others.

        It is short enough that the data of this host does not become older than
        ``max_age_s`` while nothing changes.
        """
        return max(
            MIN_FOLLOWED_WAIT_S,
            self.max_age_s - self.interval_s - SLOW_ANSWER_S,
        )

    @classmethod
    def plan(cls, contact_s: float, apply_s: float, drain_s: float) -> "WatchTiming":
        """Return the timing for the bounds of a deployment; see ``HostSettings``."""
        bound_s = min(apply_s, drain_s)
        wait_s = contact_s + bound_s - RECOVERY_MARGIN_S
        return cls(
            min(MAX_WATCH_WAIT_S, max(1.0, wait_s)),
            INTERVAL_SHARE * bound_s,
            MAX_AGE_SHARE * bound_s,
        )


class PlatformFollower:
    """Reads the full state once and then follows the changes in a green thread.

    The first read may be seconds old: it can name replicas that have left and routes
    that were removed. It is delivered together with the changes since then, or alone
    if these cannot be had for ``MAX_UNCONFIRMED_S``.

    A revision tells where to go on only within one era of the platform. When an answer
    belongs to another one, or does not reach the revision that it should continue, the
    full state is read again.

    The source is a larger host of the data centre as long as there is one with fresh
    data (``relay``), and a watch of the platform otherwise. ``on_update`` gets each
    update. When the platform is reachable again, for this host or for the larger one,
    ``on_platform_returned`` is called before the next update with what this host knows
    of the outage, and with the seconds in which expired entries may still be published
    again, or None for the full grace period.
    """

    def __init__(
        self,
        client: PlatformClient,
        timing: WatchTiming,
        loop: EventLoop,
        rng: Random,
        events: EventLog,
        on_update: Callable[[PlatformUpdate], None],
        on_platform_returned: Callable[[Outage, float | None], None],
        relay: ChangeRelay | None = None,
        decode: Callable[[bytes], PlatformUpdate | Failure] | None = None,
    ):
        self.client = client
        self.timing = timing
        self.loop = loop
        self.rng = rng
        self.events = events
        self.on_update = on_update
        self.on_platform_returned = on_platform_returned
        self.relay = relay
        self.decode = decode
        self._source: str | None = None
        self._has_rejected_source = False
        self._revision: int | None = None
        self._era = 0
        # Whether the revision comes from a read that may be out of date.
        self._is_stale = False
        # Whether no watch call has been answered since the start or a suspension.
        self._is_resuming = True
        # Whether an update may have been applied in part only.
        self._is_incomplete = False
        # A first read that may be out of date, and when it arrived.
        self._unconfirmed: PlatformUpdate | None = None
        self._unconfirmed_since = 0.0
        self._thread = None
        self._pause: eventlet.event.Event | None = None
        self._contact = PlatformContact(loop.now())
        # Time as of which nothing was missing before the latest answer.
        self._previously_current_at = loop.now()
        # When the latest call to the platform began.
        self._called_at = loop.now()

    @property
    def contact_age_s(self) -> float:
        """Seconds since the last answer from the platform."""
        return self.loop.now() - self._contact.answered_at

    def start(self) -> None:
        """Start the green thread."""
        self._is_resuming = True
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the green thread and close the connections to the platform."""
        self._thread.kill()
        self.client.close()

    def restart(self, client: PlatformClient | None = None) -> None:
        """Reconnect and resume, for example after a suspension or with a new client."""
        self.stop()
        self.client = client or self.client
        self.start()

    def _run(self) -> None:
        """Follow the platform until ``stop``.

        After an unexpected error, the full state is read again: an update may have been
        applied in part only.
        """
        backoff_s = MIN_BACKOFF_S
        while not self.loop.run_guarded(self._follow):
            self._is_incomplete = True
            self._sleep_with_jitter(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    def _follow(self) -> None:
        if self._revision is None or self._is_incomplete:
            self._read_all(allow_stale=self._revision is None)
            self._is_incomplete = False
        backoff_s, was_history_lost = MIN_BACKOFF_S, False
        while True:
            if self._follow_peer():
                backoff_s = MIN_BACKOFF_S
                continue
            called_at = self._called_at = self.loop.now()
            wait_s = self._watch_wait_s()
            result = self.client.watch(self._revision, wait_s)
            if isinstance(result, HistoryLost) or not self._can_go_on(result):
                self.events.emit("history_lost", revision=self._revision, era=self._era)
                if was_history_lost:
                    # Complete reads do not help and load the platform.
                    self._sleep_with_jitter(backoff_s)
                    backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)
                was_history_lost = True
                # A stale read may return a revision that is older than the history of
                # changes that the platform still has.
                self._read_all(allow_stale=False)
                continue
            if isinstance(result, Failure):
                self._record_failure(result)
                age_s = self.loop.now() - self._unconfirmed_since
                if self._unconfirmed is not None and age_s >= MAX_UNCONFIRMED_S:
                    self.events.emit("started_unconfirmed", age_s=round(age_s, 2))
                    self._deliver_unconfirmed()
                self._sleep_with_jitter(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)
                continue
            backoff_s, was_history_lost = MIN_BACKOFF_S, False
            self._record_contact()
            self._is_stale = self._is_resuming = False
            self._apply(result)
            pause_s = self.timing.interval_s
            if result.change_count >= CATCH_UP_MIN_CHANGES:
                pause_s *= CATCH_UP_INTERVAL_SHARE
            self._pause_until(called_at + pause_s)

    def hurry(self) -> None:
        """End the pause before the next call: another host has a newer version.

        Hosts with different versions cannot gather queries for each other.
        """
        if self._pause is not None and not self._pause.ready():
            self._pause.send()

    def _pause_until(self, when: float) -> None:
        """Wait until a monotonic time, or until ``hurry`` is called.

        The first ``MIN_PAUSE_S`` of the wait cannot be shortened.
        """
        left_s = when - self.loop.now()
        if left_s <= MIN_PAUSE_S:
            eventlet.sleep(max(0.0, left_s))
            return
        eventlet.sleep(MIN_PAUSE_S)
        self._pause = eventlet.event.Event()
        with eventlet.Timeout(left_s - MIN_PAUSE_S, False):
            self._pause.wait()
        self._pause = None

    def _read_all(self, *, allow_stale: bool) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            self._called_at = self.loop.now()
            result = self.client.read_all(allow_stale=allow_stale)
            if not isinstance(result, Failure):
                break
            self._record_failure(result)
            # The platform may be coming back from an older copy, which a read that may
            # be out of date does not show.
            allow_stale = False
            self._sleep_with_jitter(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)
        self._record_contact()
        self._begin_era(result.era)
        self._revision = result.revision
        self._is_stale = allow_stale
        self._unconfirmed = result
        self._unconfirmed_since = self.loop.now()
        if not allow_stale:
            self._deliver_unconfirmed()

    def _deliver_unconfirmed(self) -> None:
        update, self._unconfirmed = self._unconfirmed, None
        if update is not None:
            self._deliver(update)

    def _watch_wait_s(self) -> float:
        if self._unconfirmed is not None:
            return 0.0
        if self._contact.is_lost or self._is_resuming:
            return RECONNECT_WAIT_S
        if self.relay is not None and self.relay.has_followers:
            return self.timing.followed_wait_s
        if self._has_rejected_source:
            return min(self.timing.wait_s, REJECTION_S)
        return self.timing.wait_s

    def _follow_peer(self) -> bool:
        """Apply changes of a larger host; return whether that was possible."""
        source = None if self.relay is None else self.relay.choose_source()
        self._has_rejected_source = False
        if source is None:
            self._set_source(None, "no larger host is known")
            return False
        if self._is_read_too_old():
            return False
        changes = self.relay.poll(source, Position(self._era, self._revision))
        if isinstance(changes, Failure):
            reason = changes.reason
        elif changes.era != self._era:
            reason = f"larger host is in era {changes.era}, this one in {self._era}"
        elif changes.age_s > self.timing.max_age_s:
            reason = f"data of the larger host is {changes.age_s:.2f} s old"
        else:
            reason = self._apply_relayed(changes)
        if reason is not None:
            self.relay.reject(source)
            self._has_rejected_source = True
            self._set_source(None, reason)
            return False
        self._set_source(source.heartbeat.host, "data of the larger host is fresh")
        return True

    def _apply_relayed(self, changes: RelayedChanges) -> str | None:
        """Apply changes from another host; return why that failed, or None."""
        updates = [self.decode(data) for data in changes.batches]
        for update in updates:
            if isinstance(update, Failure):
                return update.reason
        self._record_contact(changes.age_s, changes.grace_s)
        self._deliver_unconfirmed()
        self._is_stale = self._is_resuming = False
        for update in updates:
            self._apply(update._replace(era=changes.era))
        self._revision = changes.revision
        return None

    def _apply(self, update: PlatformUpdate) -> None:
        self._deliver_unconfirmed()
        self._revision = update.revision
        self._deliver(update)

    def _deliver(self, update: PlatformUpdate) -> None:
        self.on_update(update)
        if self.relay is not None:
            self.relay.publish(update)

    def _can_go_on(self, result: PlatformUpdate | Failure) -> bool:
        """Return whether a watch call has failed or continues what this host knows.

        Changes that are too large for one answer stay so; pages of the full state are
        bounded.
        """
        if isinstance(result, Failure):
            return result.code is not FailureCode.TOO_LARGE
        is_continued = result.era == self._era and result.revision >= self._revision
        return is_continued and not self._is_read_too_old()

    def _is_read_too_old(self) -> bool:
        """Return whether the first read may not be continued.

        It may show an era that had ended by then. The longer ago that was, the more of
        its revisions have been given out again.
        """
        read_age_s = self.loop.now() - self._unconfirmed_since
        return self._is_stale and read_age_s > MAX_UNCONFIRMED_S

    def _begin_era(self, era: int) -> None:
        """Note the era of a complete read.

        Replicas that have published their entry in a later part of the previous era
        will do so again.
        """
        if self._revision is not None and era != self._era:
            self.events.emit(
                "era_changed", era=era, previous=self._era, revision=self._revision
            )
            since = self._previously_current_at
            self.on_platform_returned(Outage(since, since, self.loop.now()), None)
        self._era = era

    def _set_source(self, host: str | None, reason: str) -> None:
        if host != self._source:
            self._source = host
            self.events.emit("source_changed", source=host or "platform", reason=reason)

    def _sleep_with_jitter(self, seconds: float) -> None:
        eventlet.sleep(seconds * (1.0 + 0.5 * self.rng.random()))

    def _record_failure(self, failure: Failure) -> None:
        now = self.loop.now()
        answered_s = now - self._contact.answered_at
        if self._contact.record_failure(self._called_at):
            self.events.emit(
                "platform_lost",
                reason=failure.reason,
                called_s=round(now - self._called_at, 2),
                answered_s=round(answered_s, 2),
            )

    def _record_contact(self, age_s: float = 0.0, grace_s: float | None = None) -> None:
        """Record an answer, relayed by another host if that gave ``grace_s``.

        Only the other host knows whether the platform was away: this one may have
        failed to reach it for reasons of its own.
        """
        now = self.loop.now()
        previous = float("-inf") if self._is_stale else self._contact.answered_at
        self._previously_current_at = previous
        outage = self._contact.record_answer(
            now - age_s, is_relayed=grace_s is not None
        )
        if outage is not None:
            self.events.emit(
                "platform_back",
                away_s=round(outage.returned_at - outage.answered_at, 2),
                failed_s=round(outage.returned_at - outage.failed_at, 2),
            )
        if grace_s:
            failed_at = float("-inf") if outage is None else outage.failed_at
            self.on_platform_returned(Outage(previous, failed_at, now), grace_s)
        elif outage is not None and grace_s is None:
            outage = outage._replace(answered_at=previous)
            self.on_platform_returned(outage, None)
