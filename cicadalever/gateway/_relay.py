"""Relay of platform changes between hosts, so that few hosts watch the platform."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet.event

from cicadalever.freshness import WatchTiming
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.peers import (
    MAX_AGE_S,
    ChangeLog,
    Peer,
    Position,
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
# Time for which a host is not chosen as a source again after it failed as one.
REJECTION_S = 2.0
# Followers that have not polled for this long no longer count. A follower that rejected
# this host because its data was too old polls again after ``REJECTION_S``.
FOLLOWER_TIMEOUT_S = 3.0 * REJECTION_S
# Polls are sent before queries that wait for a connection to the same host.
RELAY_RANK = -1
# Longest time for which a host of an older version holds a poll.
FORMER_LONG_POLL_S = 0.8
# Share of the guaranteed connections of peers on which polls may wait; the others are
# for queries.
WAITING_POLL_SHARE = 0.5
DEFAULT_MAX_WAITING = 64
# Most digits of an era or a revision, which have at most 64 bits.
MAX_POSITION_DIGITS = 20


def limit_waiting_polls(guaranteed: int) -> int:
    """Return how many polls may wait if peers can always have so many connections.

    >>> limit_waiting_polls(57)
    28
    """
    return max(1, int(WAITING_POLL_SHARE * guaranteed))


class _Follower(NamedTuple):
    """A waiting poll for the changes after the position ``after``."""

    connection: CallerConnection
    after: Position
    arrived_at: float


class ChangeRelay:
    """Sends changes to the hosts that follow this one, and polls the host it follows.

    ``age_s`` and ``grace_s`` return the age of this host's data and the time that is
    left for expired entries to be published again; see ``RelayedChanges``. A long poll
    without changes is answered after ``timing.long_poll_s``, so that the follower knows
    how old its data is.
    ``on_first_follower`` should start a new call to the platform, since the data of
    this host grows old during a watch with a long wait.
    At most ``max_waiting`` polls wait at a time, since each takes a connection.
    ``on_refused`` is called for each further one, which is answered with 503, so that
    its host reads from the platform.
    """

    def __init__(
        self,
        loop: EventLoop,
        link: PeerLink,
        timing: WatchTiming,
        age_s: Callable[[], float],
        grace_s: Callable[[], float],
        on_first_follower: Callable[[], None],
        max_waiting: int = DEFAULT_MAX_WAITING,
        on_refused: Callable[[], None] = lambda: None,
    ):
        self.loop = loop
        self.link = link
        self.timing = timing
        self.age_s = age_s
        self.grace_s = grace_s
        self.on_first_follower = on_first_follower
        self.max_waiting = max_waiting
        self.on_refused = on_refused
        self._log = ChangeLog()
        self._waiting_followers: list[_Follower] = []
        self._last_poll_at = float("-inf")
        self._source: Peer | None = None

    @property
    def has_followers(self) -> bool:
        """Whether other hosts have recently polled this one."""
        return self.loop.now() - self._last_poll_at <= FOLLOWER_TIMEOUT_S

    # Server side: hosts that follow this one

    def publish(self, update: PlatformUpdate) -> None:
        """Add an update to the log and send it to the waiting followers."""
        if update.is_complete:
            self._log.reset(update.position)
        else:
            self._log.append(
                update.revision, update.raw if update.change_count else None
            )
        if update.change_count:
            self._respond_to_all()

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Respond to a long poll, at once or as soon as there is a change.

        The status is 410 if the log does not reach back to the requested position, or
        does not reach it in time: the follower may come from another era.
        """
        had_followers = self.has_followers
        now = self._last_poll_at = self.loop.now()
        if not had_followers:
            self.on_first_follower()
        after = _parse_position(request.target.removeprefix(RELAY_PATH))
        batches = None if after is None else self._log.since(after)
        if batches is None:
            connection.respond(CallerResponse(410, []))
            return
        follower = _Follower(connection, after, now)
        if batches:
            self._respond(follower)
            return
        if len(self._waiting_followers) >= self.max_waiting:
            self.on_refused()
            connection.respond(CallerResponse(503, []))
            return
        self._waiting_followers.append(follower)
        connection.on_disconnect = lambda: self._remove(follower)
        self.loop.call_later(
            self.timing.long_poll_s, self._respond_if_waiting, follower
        )

    def _respond_to_all(self) -> None:
        waiting, self._waiting_followers = self._waiting_followers, []
        for follower in waiting:
            self.loop.run_guarded(self._respond, follower)

    def _respond_if_waiting(self, follower: _Follower) -> None:
        if self._remove(follower):
            self._respond(follower)

    def _remove(self, follower: _Follower) -> bool:
        # Compared by identity, because a later poll of the same connection for the same
        # revision would be equal.
        for index, waiting in enumerate(self._waiting_followers):
            if waiting is follower:
                del self._waiting_followers[index]
                return True
        return False

    def _respond(self, follower: _Follower) -> None:
        batches = self._log.since(follower.after)
        era, revision = self._log.position
        if batches is None or revision < follower.after.revision:
            follower.connection.respond(CallerResponse(410, []))
            return
        changes = RelayedChanges(
            era,
            revision,
            min(MAX_AGE_S, self.age_s()),
            self.grace_s(),
            batches,
            self.loop.now() - follower.arrived_at,
        )
        follower.connection.respond(CallerResponse(200, [], encode_changes(changes)))

    # Client side: the host that this one follows

    def choose_source(self) -> Peer | None:
        """Return the peer to follow, or None for the platform itself."""
        self._source = self.link.choose_source(self._source)
        return self._source

    def reject(self, source: Peer) -> None:
        """Do not choose a peer as source for ``REJECTION_S``."""
        source.not_followed_until = self.loop.now() + REJECTION_S

    def poll(self, source: Peer, after: Position) -> RelayedChanges | Failure:
        """Return the changes after a position; blocks only the green thread."""
        answered = eventlet.event.Event()
        host, port = source.address

        def encode() -> bytes:
            line = b"GET %s%d-%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            return line % (RELAY_PATH, *after, host.encode(), port)

        sent_at = self.loop.now()
        exchange = Exchange(encode, b"", RELAY_RANK, answered.send)
        timer = self.loop.call_later(
            self.timing.poll_timeout_s, exchange.cancel, "no answer to the poll"
        )
        self.link.send(source.address, exchange)
        answer: ReplicaAnswer = answered.wait()
        timer.cancel()
        if answer.fault is not None:
            return Failure(FailureCode.UNREACHABLE, answer.detail)
        if answer.status != 200:
            return Failure(
                FailureCode.UNAVAILABLE, f"poll answered with status {answer.status}"
            )
        changes = decode_changes(answer.body)
        if isinstance(changes, Failure):
            return changes
        return changes.add_transit(self.loop.now() - sent_at, FORMER_LONG_POLL_S)


def _parse_position(value: bytes) -> Position | None:
    """Return the position in the path of a poll, or None if it is invalid."""
    era, _, revision = value.partition(b"-")
    is_number = era.isdigit() and revision.isdigit()
    if not is_number or max(len(era), len(revision)) > MAX_POSITION_DIGITS:
        return None
    return Position(int(era), int(revision))
