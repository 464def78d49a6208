"""Pool of the connections of this host to one replica or peer."""

from collections.abc import Callable
from functools import partial
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from cicadalever.budgets import (
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
    MemoryBudget,
)

from ._answer_parser import OnInterim
from ._headers import HeaderNames
from ._loop import EventLoop
from ._message import AnswerFault, ReplicaAnswer
from ._replica_connection import ReplicaConnection

# After a connection was closed without an answer, a host that has other connections to
# the replica waits this long before it opens one more. A replica resets new connections
# when its connection limit is reached.
RESET_BACKOFF_S = 1.0
# Requests that may wait for a connection to one replica; further ones are not run.
MAX_WAITING = 64


class _QueuedExchange(NamedTuple):
    rank: int
    order: int
    exchange: "Exchange"


def _ignore(message: object) -> None:
    """Do nothing with an answer, or with the headers before it."""


class Exchange:
    """One request to a replica, from queueing to its answer.

    ``encode`` is called when the request is sent and returns its bytes. ``rank`` orders
    waiting requests; the smallest is sent first. ``on_interim`` is called with the
    headers of each informational response before the answer.
    """

    def __init__(
        self,
        encode: Callable[[], bytes],
        request_id: bytes,
        rank: int,
        on_answer: Callable[[ReplicaAnswer], None],
        on_interim: OnInterim | None = None,
    ):
        self.encode = encode
        self.request_id = request_id
        self.rank = rank
        self.on_answer = on_answer
        self.on_interim = on_interim
        self.connection: ReplicaConnection | None = None
        self.is_ended = False

    @property
    def is_waiting(self) -> bool:
        """Whether the request waits for a connection."""
        return self.connection is None and not self.is_ended

    @property
    def was_sent(self) -> bool:
        """Whether a byte of the request may have reached the replica."""
        return self.connection is not None and self.connection.was_sent

    def take_request(self) -> bytes:
        """Return the bytes to send, and keep nothing that refers to them.

        It may be called once; a later call returns no bytes.
        """
        encode, self.encode = self.encode, bytes
        return encode()

    def end(self, answer: ReplicaAnswer) -> None:
        """Pass the answer to ``on_answer``, unless one was passed before."""
        if not self.is_ended:
            self.is_ended = True
            on_answer = self.on_answer
            # The callbacks refer to the request, which would stay in memory with an
            # exchange that is still queued. ``bytes()`` stands for no request.
            self.encode, self.on_answer = bytes, _ignore
            if self.on_interim is not None:
                self.on_interim = _ignore
            on_answer(answer)

    def cancel(self, detail: str) -> None:
        """Cancel the request; closing its connection makes the replica stop it."""
        if self.is_ended:
            return
        if self.connection is not None:
            self.connection.close(detail)
        else:
            self.end(ReplicaAnswer(0, [], b"", AnswerFault.WITHDRAWN, detail))


class ReplicaPool:
    """Sends requests on at most ``max_connections`` connections.

    Further requests wait in the order of their ranks. ``memory`` is shared by all
    pools of a host; the default is one for this pool alone. ``on_handshake`` is called
    with each connection whose handshake was completed or has failed. ``descriptors`` is
    shared by pools as well: one without room closes an idle connection of another, or
    opens none.
    """

    def __init__(
        self,
        loop: EventLoop,
        names: HeaderNames,
        address: tuple[str, int],
        max_connections: int,
        on_connect: Callable[[], None] = lambda: None,
        memory: MemoryBudget | None = None,
        on_handshake: Callable[[ReplicaConnection], None] = lambda connection: None,
        descriptors: DescriptorShare | None = None,
    ):
        self.loop = loop
        self.names = names
        self.address = address
        self.max_connections = max_connections
        self.on_connect = on_connect
        self.on_handshake = on_handshake
        self.memory = memory or MemoryBudget()
        self.descriptors = descriptors or DescriptorShare(
            DescriptorBudget(), DescriptorKind.REPLICA
        )
        self._idle: list[ReplicaConnection] = []
        self._connections: set[ReplicaConnection] = set()
        self._waiting: list[_QueuedExchange] = []
        self._order_numbers = count()
        self._no_connect_before = float("-inf")
        self._is_closing = False
        self._max_requests: int | None = None

    @property
    def has_idle(self) -> bool:
        """Whether there is an idle connection."""
        return bool(self._idle)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections)

    def send(self, exchange: Exchange) -> None:
        """Send a request on an idle or new connection, or queue it.

        It ends as ``UNREACHABLE`` if the queue is full.
        """
        if self._may_start() and self._idle:
            self._start(self._idle.pop(), exchange)
        elif self._may_start() and self._may_connect():
            self._start(self._connect(), exchange)
        elif self._connections and self._may_wait():
            item = _QueuedExchange(exchange.rank, next(self._order_numbers), exchange)
            heappush(self._waiting, item)
        else:
            detail = "no connection available"
            answer = ReplicaAnswer(0, [], b"", AnswerFault.UNREACHABLE, detail)
            self.loop.call_later(0.0, exchange.end, answer)

    def warm_up(self) -> None:
        """Open a connection in advance if there is none."""
        has_none = not self._connections and not self._is_closing
        if has_none and self.descriptors.has_room:
            self._connect()

    def close_expired(self) -> None:
        """Close the idle connections that the replica is about to close."""
        now = self.loop.now()
        for connection in [each for each in self._idle if each.idle_until <= now]:
            connection.close("idle")

    def close_idle(self, detail: str) -> None:
        """Close the idle connections, so that the next requests use new ones."""
        for connection in self._idle[:]:
            connection.close(detail)

    def close(self) -> None:
        """Close the idle connections now and the others after their answers.

        Requests that wait for a connection are withdrawn: none of them was sent.
        """
        self._is_closing = True
        self.withdraw_waiting("replica removed")
        self.close_idle("replica removed")

    def limit_requests(self, most: int | None) -> None:
        """Have at most ``most`` requests in progress; None removes the limit.

        Further requests wait. Those in progress are not interrupted.
        """
        if most == self._max_requests:
            return
        self._max_requests = most
        self._start_waiting()

    def withdraw_waiting(self, detail: str) -> None:
        """End the requests that wait for a connection; none of them was sent."""
        self._end_waiting(AnswerFault.WITHDRAWN, detail)

    def _start_waiting(self) -> None:
        while self._waiting and self._may_start():
            if not self._idle and not self._may_connect():
                return
            exchange = self._next_waiting()
            if exchange is None:
                return
            connection = self._idle.pop() if self._idle else self._connect()
            self._start(connection, exchange)

    def _may_start(self) -> bool:
        in_progress = len(self._connections) - len(self._idle)
        return self._max_requests is None or in_progress < self._max_requests

    def _may_wait(self) -> bool:
        if len(self._waiting) >= MAX_WAITING:
            # Those that were withdrawn leave the queue only in their turn.
            self._waiting = [
                each for each in self._waiting if not each.exchange.is_ended
            ]
            heapify(self._waiting)
        return len(self._waiting) < MAX_WAITING

    def _may_connect(self) -> bool:
        if len(self._connections) >= self.max_connections:
            return False
        if self._connections and self.loop.now() < self._no_connect_before:
            return False
        return self.descriptors.make_room()

    def _connect(self) -> ReplicaConnection:
        connection = ReplicaConnection(
            self.loop,
            self.names,
            self.address,
            self._became_idle,
            self._closed,
            self.memory,
            self.on_handshake,
        )
        self._connections.add(connection)
        self.descriptors.open(connection, partial(connection.close, "descriptors"))
        self.descriptors.use(connection)
        self.on_connect()
        connection.connect()
        return connection

    def _start(self, connection: ReplicaConnection, exchange: Exchange) -> None:
        exchange.connection = connection
        self.descriptors.use(connection)
        if not self.loop.run_guarded(self._send, connection, exchange):
            fault = AnswerFault.LOST if connection.was_sent else AnswerFault.UNREACHABLE
            detail = "the request could not be sent"
            exchange.end(ReplicaAnswer(0, [], b"", fault, detail))
            connection.close(detail)

    def _send(self, connection: ReplicaConnection, exchange: Exchange) -> None:
        connection.send(
            exchange.take_request(),
            exchange.request_id,
            exchange.end,
            exchange.on_interim,
        )

    def _became_idle(self, connection: ReplicaConnection) -> None:
        self._idle.append(connection)
        self.descriptors.rest(connection)
        self._start_waiting()
        if self._is_closing and connection in self._idle:
            connection.close("replica removed")

    def _closed(self, connection: ReplicaConnection, detail: str) -> None:
        self._connections.discard(connection)
        self.descriptors.close(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.is_unreachable:
            self.loop.run_guarded(self.on_handshake, connection)
        # What this host has dropped tells nothing about the replica.
        is_failure = connection.answers_received == 0 and not connection.is_dropped
        if is_failure:
            self._no_connect_before = self.loop.now() + RESET_BACKOFF_S
        has_failed = not self._connections and is_failure
        if has_failed or self._is_closing:
            self._end_waiting(AnswerFault.UNREACHABLE, detail)
        else:
            self._start_waiting()

    def _end_waiting(self, fault: AnswerFault, detail: str) -> None:
        while (exchange := self._next_waiting()) is not None:
            answer = ReplicaAnswer(0, [], b"", fault, detail)
            self.loop.call_later(0.0, exchange.end, answer)

    def _next_waiting(self) -> Exchange | None:
        while self._waiting:
            exchange = heappop(self._waiting).exchange
            if not exchange.is_ended:
                return exchange
        return None
