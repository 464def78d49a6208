"""Keeps the configuration and the list of replicas up to date with the platform."""

from collections.abc import Callable
from random import Random

import eventlet
import eventlet.event

from cicadalever.freshness import (
    MAX_WATCH_WAIT_S,
    AnswerMargin,
    Backoff,
    Outage,
    PlannedCall,
    PlatformContact,
    WatchTiming,
)
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.peers import Position, RelayedChanges
from cicadalever.wire import EventLoop

from ._adapter import HistoryLost, PlatformClient, PlatformUpdate
from ._events import EventLog
from ._relay import REJECTION_S, ChangeRelay

# Time after which a first read is used although the changes since then cannot be read:
# without it, this host could serve no request at all.
MAX_UNCONFIRMED_S = 2.0
# Least pause between two calls when another host has a newer version.
MIN_PAUSE_S = 0.2
# Wait of the watch call after a failure: its answer shows at once that the platform is
# reachable again.
RECONNECT_WAIT_S = 0.0
# The platform limits the answer to a watch to a few hundred changes. After an answer
# with at least this many, more may be pending, so the next call follows after this
# share of the interval.
CATCH_UP_MIN_CHANGES = 100
CATCH_UP_INTERVAL_SHARE = 0.2


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
        self._timing = timing
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
        self._previously_confirmed_at = float("-inf")
        self._margin = AnswerMargin(timing.min_margin_s, timing.max_margin_s)
        # When the latest call to the platform began.
        self._called_at = loop.now()
        # Whether a watch call is waiting for its answer, when the latest one began that
        # was checked for being lost, and the version for which one was given up.
        self._is_watching = False
        self._checked_call_at = float("-inf")
        self._given_up_for = 0
        # Greatest version for which a pause was ended.
        self._pause_ended_for = 0

    @property
    def timing(self) -> WatchTiming:
        """Times of the calls.

        A call that waits is made again when they change: it was planned for others, and
        its connection may already be silent for longer than these allow.
        """
        return self._timing

    @timing.setter
    def timing(self, timing: WatchTiming) -> None:
        if timing == self._timing:
            return
        self._timing = timing
        self._margin = AnswerMargin(timing.min_margin_s, timing.max_margin_s)
        if self.relay is not None:
            self.relay.timing = timing
        if self._thread is not None:
            self.restart()

    @property
    def contact_age_s(self) -> float:
        """Seconds since the last answer from the platform."""
        return self.loop.now() - self._contact.answered_at

    @property
    def data_age_s(self) -> float:
        """Seconds since the time as of which the data is proved to be complete."""
        return self.loop.now() - self._contact.confirmed_at

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
        backoff = self._new_backoff()
        while not self.loop.run_guarded(self._follow):
            self._is_incomplete = True
            eventlet.sleep(backoff.next_pause_s(elapsed_s=0.0))

    def _follow(self) -> None:
        if self._revision is None or self._is_incomplete:
            self._read_all(allow_stale=self._revision is None)
            self._is_incomplete = False
        backoff, was_history_lost = self._new_backoff(), False
        while True:
            if self._follow_peer():
                backoff.reset()
                continue
            called_at = self._called_at = self.loop.now()
            call = self._plan_call(called_at)
            result = self._watch(call)
            self._record_lateness(result, called_at + call.wait_s)
            if isinstance(result, HistoryLost) or not self._can_go_on(result):
                self.events.emit("history_lost", revision=self._revision, era=self._era)
                if was_history_lost:
                    # Complete reads do not help and load the platform.
                    eventlet.sleep(backoff.next_pause_s(elapsed_s=0.0))
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
                eventlet.sleep(backoff.next_pause_s(self.loop.now() - called_at))
                continue
            backoff.reset()
            was_history_lost = False
            # The platform has waited to the end if nothing has changed.
            waited_s = 0.0 if result.change_count else call.wait_s
            self._record_contact(min(self.loop.now(), called_at + waited_s))
            self._is_stale = self._is_resuming = False
            self._apply(result)
            pause_s = self.timing.interval_s
            if result.change_count >= CATCH_UP_MIN_CHANGES:
                pause_s *= CATCH_UP_INTERVAL_SHARE
            self._pause_until(called_at + pause_s)

    def _watch(self, call: PlannedCall) -> PlatformUpdate | HistoryLost | Failure:
        self._is_watching = True
        try:
            return self.client.watch(self._revision, *call)
        finally:
            self._is_watching = False

    def notice_newer_version(self, version: int) -> None:
        """End the pause before the next call: another host has a newer ``version``.

        Hosts with different versions cannot gather queries for each other. A watch call
        that still waits when its answer should have come is lost. A pause is ended and
        a call given up once for each version: this host may have rejected the version
        as invalid.
        """
        is_pausing = self._pause is not None and not self._pause.ready()
        if is_pausing and version > self._pause_ended_for:
            self._pause_ended_for = version
            self._pause.send()
        is_checked = self._checked_call_at == self._called_at
        if self._is_watching and not is_checked and version > self._given_up_for:
            self._checked_call_at = self._called_at
            self.loop.call_later(
                self._margin.seconds, self._check_call, version, self._called_at
            )

    def _check_call(self, version: int, called_at: float) -> None:
        """Give up a watch call if it still waits."""
        if not self._is_watching or self._called_at != called_at:
            return
        self._given_up_for = version
        called_s = round(self.loop.now() - called_at, 2)
        self.events.emit("call_given_up", version=version, called_s=called_s)
        reason = f"no answer although a peer has version {version}"
        self._record_failure(Failure(FailureCode.TIMEOUT, reason))
        self.restart()

    def _pause_until(self, when: float) -> None:
        """Wait until a monotonic time, or until a newer version is noticed.

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
        backoff = self._new_backoff()
        timeouts = 0
        while True:
            self._called_at = self.loop.now()
            result = self.client.read_all(
                allow_stale=allow_stale,
                timeout_s=self.timing.plan_read_timeout_s(timeouts),
            )
            if not isinstance(result, Failure):
                break
            timeouts = timeouts + 1 if result.code is FailureCode.TIMEOUT else 0
            self._record_failure(result)
            # The platform may be coming back from an older copy, which a read that may
            # be out of date does not show.
            allow_stale = False
            eventlet.sleep(backoff.next_pause_s(self.loop.now() - self._called_at))
        self._record_contact(float("-inf") if allow_stale else self._called_at)
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

    def _plan_call(self, now: float) -> PlannedCall:
        """Return the times of a watch call that begins at ``now``."""
        return self.timing.plan_call(
            now,
            self._contact.answered_at,
            self._margin.seconds,
            self._longest_wait_s(),
        )

    def _longest_wait_s(self) -> float:
        if self._unconfirmed is not None:
            return 0.0
        if self._contact.is_lost or self._is_resuming:
            return RECONNECT_WAIT_S
        if self.relay is not None and self.relay.has_followers:
            return self.timing.followed_wait_s
        if self._has_rejected_source:
            return REJECTION_S
        return MAX_WATCH_WAIT_S

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
        # Only the source knows whether the platform was away: a call of this host that
        # failed may have been lost on the way.
        now = self.loop.now()
        confirmed_at = now - changes.age_s
        outage = self._end_outage(confirmed_at, confirmed_at, is_relayed=True)
        if changes.grace_s > 0.0:
            failed_at = float("-inf") if outage is None else outage.failed_at
            known = Outage(self._previously_confirmed_at, failed_at, now)
            self.on_platform_returned(known, changes.grace_s)
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
            since = self._previously_confirmed_at
            self.on_platform_returned(Outage(since, since, self.loop.now()), None)
        self._era = era

    def _set_source(self, host: str | None, reason: str) -> None:
        if host != self._source:
            # A connection to the platform may have fallen silent while it was not used.
            self.client.close()
            self._source = host
            self.events.emit("source_changed", source=host or "platform", reason=reason)

    def _new_backoff(self) -> Backoff:
        return Backoff(self.timing.max_backoff_s, self.rng)

    def _record_lateness(self, result: object, due_at: float) -> None:
        """Record how late a watch call was answered, if it was not answered early."""
        late_s = self.loop.now() - due_at
        if isinstance(result, Failure):
            if result.code is FailureCode.TIMEOUT:
                self._margin.record_timeout()
        elif late_s >= 0.0:
            self._margin.record_answer(late_s)

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

    def _record_contact(self, confirmed_at: float) -> None:
        outage = self._end_outage(self.loop.now(), confirmed_at)
        if outage is not None:
            self.on_platform_returned(outage, None)

    def _end_outage(
        self, answered_at: float, confirmed_at: float, *, is_relayed: bool = False
    ) -> Outage | None:
        self._previously_confirmed_at = self._contact.confirmed_at
        outage = self._contact.record_answer(
            answered_at, confirmed_at, is_relayed=is_relayed
        )
        if outage is not None:
            self.events.emit(
                "platform_back",
                away_s=round(outage.returned_at - outage.answered_at, 2),
                failed_s=round(outage.returned_at - outage.failed_at, 2),
            )
            # Removals are later than what was confirmed.
            outage = outage._replace(answered_at=self._previously_confirmed_at)
        return outage
