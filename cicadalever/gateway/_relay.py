"""Changes of the platform from one host to others, instead of a watch by each."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet.event

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.peers import (
    ChangeLog,
    Peer,
    RelayedChanges,
    decode_changes,
    encode_changes,
)
from cicadalever.wire import (
    CallerConnection,
    CallerRequest,
    CallerResponse,
    EventLoop,
    Exchange,
    ReplicaAnswer,
)

from ._adapter import PlatformUpdate
from ._peers import PeerLink

RELAY_PATH = b"/changes/"
# An answer without changes follows after this time, so that a follower knows the age
# of what it has.
LONG_POLL_S = 0.8
# Time beyond it after which the other host is given up.
LONG_POLL_MARGIN_S = 0.4
# Time for which a host that could not be followed is not tried again.
REJECTION_S = 2.0
# A follower that has not asked for this long is gone. One that was turned away because
# the knowledge was too old asks again after ``REJECTION_S``.
FOLLOWER_TIMEOUT_S = 3.0 * REJECTION_S
# Changes go before the queries that wait for a connection to the same host.
RELAY_RANK = -1


class _Follower(NamedTuple):
    connection: CallerConnection
    after: int


class ChangeRelay:
    """Passes changes on to hosts that follow this one, and follows another one.

    ``age_s`` and ``grace_s`` tell how old the knowledge of this host is, see
    ``RelayedChanges``. ``on_first_follower`` should ask the platform again, since a
    watch that waits for long makes that knowledge old.
    """

    def __init__(
        self,
        loop: EventLoop,
        link: PeerLink,
        age_s: Callable[[], float],
        grace_s: Callable[[], float],
        on_first_follower: Callable[[], None],
    ):
        self.loop = loop
        self.link = link
        self.age_s = age_s
        self.grace_s = grace_s
        self.on_first_follower = on_first_follower
        self._log = ChangeLog()
        self._waiting: list[_Follower] = []
        self._last_poll_at = float("-inf")
        self._source: Peer | None = None

    @property
    def has_followers(self) -> bool:
        """Whether other hosts rely on this one."""
        return self.loop.now() - self._last_poll_at <= FOLLOWER_TIMEOUT_S

    # For hosts that follow this one

    def publish(self, update: PlatformUpdate) -> None:
        """Pass an update on."""
        if update.is_complete:
            self._log.reset(update.revision)
        else:
            self._log.append(
                update.revision, update.raw if update.change_count else None
            )
        if update.change_count:
            self._respond_to_all()

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answer a follower, at once or when something has changed."""
        had_followers = self.has_followers
        self._last_poll_at = self.loop.now()
        if not had_followers:
            self.on_first_follower()
        number = request.target.removeprefix(RELAY_PATH)
        after = int(number) if number.isdigit() else -1
        batches = self._log.since(after)
        if batches is None:
            connection.respond(CallerResponse(410, []))
            return
        follower = _Follower(connection, after)
        if batches:
            self._respond(follower)
            return
        self._waiting.append(follower)
        connection.on_disconnect = lambda: self._remove(follower)
        self.loop.call_later(LONG_POLL_S, self._respond_if_waiting, follower)

    def _respond_to_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for follower in waiting:
            self._respond(follower)

    def _respond_if_waiting(self, follower: _Follower) -> None:
        if self._remove(follower):
            self._respond(follower)

    def _remove(self, follower: _Follower) -> bool:
        # Compared by identity: a connection may wait again for the same revision.
        for index, waiting in enumerate(self._waiting):
            if waiting is follower:
                del self._waiting[index]
                return True
        return False

    def _respond(self, follower: _Follower) -> None:
        batches = self._log.since(follower.after)
        if batches is None:
            follower.connection.respond(CallerResponse(410, []))
            return
        changes = RelayedChanges(
            self._log.revision, self.age_s(), self.grace_s(), batches
        )
        follower.connection.respond(CallerResponse(200, [], encode_changes(changes)))

    # For this host

    def choose_source(self) -> Peer | None:
        """Return the host to follow, or None for the platform itself."""
        self._source = self.link.choose_source(self._source)
        return self._source

    def reject(self, source: Peer) -> None:
        """Do not follow a host for a while."""
        source.not_followed_until = self.loop.now() + REJECTION_S

    def poll(self, source: Peer, after: int) -> RelayedChanges | Failure:
        """Wait for changes after a revision; blocks the green thread only."""
        answered = eventlet.event.Event()
        host, port = source.address

        def encode() -> bytes:
            line = b"GET %s%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            return line % (RELAY_PATH, after, host.encode(), port)

        exchange = Exchange(encode, b"", RELAY_RANK, answered.send)
        timer = self.loop.call_later(
            LONG_POLL_S + LONG_POLL_MARGIN_S, exchange.cancel, "no answer"
        )
        self.link.send(source.address, exchange)
        answer: ReplicaAnswer = answered.wait()
        timer.cancel()
        if answer.fault is not None:
            return Failure(FailureCode.UNREACHABLE, answer.detail)
        if answer.status != 200:
            return Failure(FailureCode.UNAVAILABLE, f"status {answer.status}")
        return decode_changes(answer.body)
