"""Simulated replicas and the connections to them."""

from collections import deque
from collections.abc import Callable
from random import Random

from cicadalever.discovery import ReplicaEntry
from cicadalever.wire import AnswerFault, Exchange, HeaderNames, ReplicaAnswer

from ._loop import VirtualLoop
from ._site import FleetEvent, FleetSite

RECORD = b"0" * 16
# Spread of the time of a read (standard deviation of its logarithm), and the share of
# reads that take ``TAIL_FACTOR`` times as long.
WORK_SPREAD = 0.35
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
MAX_QUEUED = 12


class SimulatedReplica:
    """A replica with slots, a short queue, regular pauses and the trouble of a site."""

    def __init__(
        self, loop: VirtualLoop, entry: ReplicaEntry, site: FleetSite, rng: Random
    ):
        self.loop = loop
        self.entry = entry
        self.site = site
        self.rng = rng
        self.events: list[FleetEvent] = []
        # Ids of the requests that have run, in order.
        self.executed_ids: list[bytes] = []
        self._phase_s = rng.random() * site.pause_period_s
        self._running = 0
        self._queue: deque[SimulatedRead] = deque()

    @property
    def is_dark(self) -> bool:
        """Whether the replica answers nothing now."""
        return any(event.kind == "dark" for event in self._present_events())

    def receive(self, read: "SimulatedRead") -> None:
        """Run a read, queue it, or reject it when the queue is full."""
        if self.is_dark or read.is_cancelled:
            return
        if self._running < self.site.slots:
            self._run(read)
        elif len(self._queue) < MAX_QUEUED:
            self._queue.append(read)
        else:
            read.answer(503, is_run=False)

    def _run(self, read: "SimulatedRead") -> None:
        self._running += 1
        self.executed_ids.append(read.exchange.request_id)
        self.loop.call_later(self._work_s(), self._finish, read)

    def _finish(self, read: "SimulatedRead") -> None:
        self._running -= 1
        if not read.is_cancelled and not self.is_dark:
            read.answer(200, is_run=True)
        while self._queue and self._running < self.site.slots:
            queued = self._queue.popleft()
            if not queued.is_cancelled:
                self._run(queued)

    def _work_s(self) -> float:
        site = self.site
        work_s = site.work_s * self.rng.lognormvariate(0.0, WORK_SPREAD)
        if self.rng.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        for event in self._present_events():
            if event.kind == "slow":
                work_s *= event.factor
        position_s = (self.loop.now() + self._phase_s) % site.pause_period_s
        if position_s < site.pause_s:
            work_s += site.pause_s - position_s
        elif position_s + work_s > site.pause_period_s:
            work_s += site.pause_s
        return work_s

    def _present_events(self) -> list[FleetEvent]:
        now = self.loop.now()
        return [e for e in self.events if e.at_s <= now < e.at_s + e.for_s]


class SimulatedRead:
    """A request on its way to a replica; takes the place of its connection."""

    was_sent = True

    def __init__(
        self,
        replica: SimulatedReplica,
        exchange: Exchange,
        names: HeaderNames,
        one_way_s: float,
    ):
        self.replica = replica
        self.exchange = exchange
        self.names = names
        self.one_way_s = one_way_s
        self.is_cancelled = False
        # Whether the link of the reading host is cut.
        self.is_cut: Callable[[], bool] = lambda: False

    def answer(self, status: int, *, is_run: bool) -> None:
        """Send the answer back."""
        headers = [(self.names.request_id, self.exchange.request_id)]
        if is_run:
            headers.append((self.names.signature, self.replica.entry.id.encode()))
        else:
            headers.append((self.names.not_run, b"1"))
        answer = ReplicaAnswer(status, headers, RECORD if is_run else b"")
        if self.is_cut():
            return
        self.replica.loop.call_later(self.one_way_s, self.exchange.end, answer)

    def close(self, detail: str) -> None:
        """Cancel the request."""
        self.is_cancelled = True
        self.exchange.end(ReplicaAnswer(0, [], b"", AnswerFault.ABANDONED, detail))


class SimulatedPool:
    """Takes the place of the connections of one host to one replica."""

    has_idle = True

    def __init__(
        self,
        replica: SimulatedReplica,
        names: HeaderNames,
        one_way_s: float,
        is_cut: Callable[[], bool],
    ):
        self.is_cut = is_cut
        self.replica = replica
        self.names = names
        self.one_way_s = one_way_s

    def send(self, exchange: Exchange) -> None:
        """Send a request; it arrives after the delay between the data centres."""
        read = SimulatedRead(self.replica, exchange, self.names, self.one_way_s)
        exchange.connection = read
        read.is_cut = self.is_cut
        if self.is_cut():
            return
        self.replica.loop.call_later(self.one_way_s, self.replica.receive, read)

    def warm_up(self) -> None:
        """Do nothing; simulated connections need no handshake."""

    def withdraw_waiting(self, detail: str) -> None:
        """Do nothing; no request waits for a simulated connection."""

    def close(self) -> None:
        """Do nothing; the simulated replicas stay."""

    def close_expired(self) -> None:
        """Do nothing; simulated connections are never idle for too long."""
