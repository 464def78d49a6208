"""Exchange of what hosts know about requests that may crash replicas."""

from collections.abc import Callable, Iterable

from cicadalever.crashes import MAX_FINGERPRINTS, CrashLedger, CrashRecord, SharedMemory
from cicadalever.outcomes import Failure
from cicadalever.peers import (
    CRASH_NEWS_PREFIX,
    Address,
    CrashNews,
    decode_crash_news,
)
from cicadalever.wire import EventLoop

from ._events import EventLog
from ._peers import PeerLink

# Delays after which news is sent. A request that only lost connections is mostly
# cleared before.
NEWS_DELAYS_S = (0.5,)
# The same for a request that has lost a canary read: its caller may already be
# repeating it at another host, and datagrams get lost.
URGENT_DELAYS_S = (0.0, 0.1, 0.4)
# The same for news that is passed on once.
FORWARD_DELAYS_S = (0.0,)
# Least time between two sendings of news, for each request that the first one names,
# and most requests that one names: each is sent to all hosts that the sender knows.
MIN_PERIOD_S = 0.05
MAX_RECORDS = 4
# Time between two questions to another host for all that it knows, time after which one
# without an answer is put to another host, and how often that is done.
SYNC_PERIOD_S = 1.5
SYNC_TIMEOUT_S = 0.2
MAX_SYNC_TRIES = 5


class CrashGossip:
    """Sends news of requests that may crash replicas, and asks for what was missed.

    News goes to the seeds and to the hosts that gather queries; seeds pass on what is
    news to them. A host that knows a loss to be refuted tells the sender. Besides, each
    host now and then exchanges all it knows with another one, so that a host which was
    restarted, cut off or missed a datagram catches up.
    """

    def __init__(
        self,
        loop: EventLoop,
        link: PeerLink,
        ledger: CrashLedger,
        events: EventLog,
        memory: SharedMemory,
    ):
        self.loop = loop
        self.link = link
        self.ledger = ledger
        self.events = events
        self.memory = memory
        # Called with another host and the requests of which it has told news.
        self.on_news: Callable[[str, list[int]], None] = lambda host, changed: None
        # When the news of a request is to be sent.
        self._due: dict[int, list[float]] = {}
        # Requests of which other hosts know; only these are told that one is cleared.
        self._told: set[int] = set()
        self._flush_at = float("inf")
        self._next_flush_at = float("-inf")
        # Unanswered questions, and the host that was asked last.
        self._tries = 0
        self._asked: Address | None = None

    @property
    def is_informed(self) -> bool:
        """Whether this host probably knows what any host has known."""
        return self.memory.is_complete(self.loop.now())

    def start(self) -> None:
        """Begin to exchange news with other hosts."""
        self.link.handlers[CRASH_NEWS_PREFIX] = self._receive
        self.loop.call_later(0.0, self._sync)

    def announce(self, fingerprint: int, *, is_urgent: bool) -> None:
        """Tell other hosts soon what is known about a request."""
        delays = URGENT_DELAYS_S if is_urgent else NEWS_DELAYS_S
        self._plan(fingerprint, delays)

    def announce_once(self, fingerprint: int) -> None:
        """Tell other hosts at once, without repetition."""
        self._plan(fingerprint, FORWARD_DELAYS_S)

    def _plan(self, fingerprint: int, delays: tuple[float, ...]) -> None:
        now = self.loop.now()
        times = [now + delay for delay in delays]
        repetitions = self._due.get(fingerprint, ())
        self._due[fingerprint] = [
            *times,
            *(each for each in repetitions if each > times[-1]),
        ]
        self._schedule()

    def _remember(self, fingerprint: int) -> None:
        if len(self._told) >= MAX_FINGERPRINTS:
            self._told.clear()
        self._told.add(fingerprint)

    def _schedule(self) -> None:
        if not self._due:
            return
        due_at = min(times[0] for times in self._due.values())
        due_at = max(due_at, self._next_flush_at)
        if due_at < self._flush_at:
            self._flush_at = due_at
            self.loop.call_at(due_at, self._flush, due_at)

    def _flush(self, planned_at: float) -> None:
        if planned_at != self._flush_at:
            # Another flush was planned for an earlier time.
            return
        now = self.loop.now()
        self._flush_at = float("inf")
        due = [key for key, times in self._due.items() if times[0] <= now]
        records = []
        for fingerprint in due:
            if len(records) == MAX_RECORDS:
                break
            times = self._due[fingerprint]
            del times[0]
            if not times:
                del self._due[fingerprint]
            record = self.ledger.report(fingerprint, now)
            if record is not None and (record.losses or fingerprint in self._told):
                records.append(record)
                self._remember(fingerprint)
        self._next_flush_at = now + MIN_PERIOD_S * max(1, len(records))
        if records:
            peers = self.link.peer_table
            addresses = dict.fromkeys(peers.advisers())
            if peers.is_seed:
                addresses.update(dict.fromkeys(peers.known_hosts()))
            self._send(records, addresses)
        self._schedule()

    def _sync(self) -> None:
        """Ask another host, and soon once more unless it answers."""
        self._tries += 1
        self.loop.run_guarded(self._ask, self.loop.now())
        self.loop.call_later(SYNC_TIMEOUT_S, self._check_answer)

    def _check_answer(self) -> None:
        if 0 < self._tries < MAX_SYNC_TRIES:
            self._sync()
        else:
            self._tries = 0
            self.loop.call_later(SYNC_PERIOD_S - SYNC_TIMEOUT_S, self._sync)

    def _ask(self, now: float) -> None:
        peers = self.link.peer_table
        addresses = peers.advisers() or peers.known_hosts()
        if addresses:
            address = self._asked = self.link.rng.choice(addresses)
            records = self.ledger.report_all(now)
            self._send(records, [address], wants_reply=True)

    def _send(
        self,
        records: list[CrashRecord],
        addresses: Iterable[Address],
        *,
        wants_reply: bool = False,
    ) -> None:
        age_s = self.memory.age_s(self.loop.now())
        self.link.send_crash_news(records, addresses, age_s, wants_reply=wants_reply)

    def _receive(self, data: bytes) -> None:
        news = decode_crash_news(data)
        if isinstance(news, Failure):
            self.events.emit_detail("heartbeat_unreadable", reason=news.reason)
        elif news.host != self.link.host_id:
            self._merge(news)

    def _merge(self, news: CrashNews) -> None:
        now = self.loop.now()
        if news.address == self._asked:
            self._tries = 0
            self.memory.record_answer(news.memory_ms / 1000, now)
        changed = [
            record.fingerprint
            for record in news.records
            if self.ledger.merge(record, news.host, now)
        ]
        for fingerprint in changed:
            self._remember(fingerprint)
            self.events.emit_detail(
                "crash_news", fingerprint=f"{fingerprint:016x}", by=news.host
            )
            if self.link.peer_table.is_seed:
                self.announce_once(fingerprint)
        self.on_news(news.host, changed)
        refuting = [
            signs
            for record in news.records
            if (signs := self.ledger.refute(record, now)) is not None
        ]
        if refuting:
            self._send(refuting, [news.address])
        if news.wants_reply:
            self._send(self.ledger.report_all(now), [news.address])
