"""State of one owned replica: queue, limit, trials and measured service time."""

from collections import deque
from collections.abc import Container, Mapping

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.quarantine import RunningRead, TrialGate
from cicadalever.scheduling import AdaptiveLimit, Feedback, Rank, RankQueue
from cicadalever.topology import Replica
from cicadalever.transport import ReadMode

from ._read import QueuedRead, ReadKey
from ._responsiveness import Responsiveness

INITIAL_SERVICE_TIME_S = 0.005
# Weight of the latest read in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1
# Number of reads that a new owner runs at once until the former owner has released the
# replica or TAKEOVER_GRACE_S has passed, because both may use slots during that time.
TAKEOVER_LIMIT = 1
TAKEOVER_GRACE_S = 1.0
# A replica is under pressure when more reads than this multiple of its limit wait.
# Short queues are normal at a steady load above half of the capacity, and hedging would
# never be allowed if they counted as pressure.
PRESSURE_QUEUE_RATIO = 4
# For this time after a failed connect or a lost connection, new reads are refused and
# waiting reads start one at a time, so that not every read to a dead upstream waits for
# a connect timeout. The time doubles with each failure in a row.
RECONNECT_DELAY_S = 0.1
RECONNECT_DELAY_MAX_S = 1.0

_FEEDBACK = {
    FailureCode.SHED: Feedback.SHED,
    FailureCode.UNAVAILABLE: Feedback.SHED,
    FailureCode.TIMEOUT: Feedback.TIMEOUT,
    FailureCode.LOST: Feedback.LOST,
    FailureCode.UNREACHABLE: Feedback.LOST,
}


class OwnedReplica:
    """Decides which read starts next on a replica, and which reads are refused.

    At most ``limit`` reads run at once, never more than the replica has slots. The
    most urgent rank goes first, and ``floors`` gives the other ranks a minimum share.
    A read that is not expected to meet its deadline is refused before it starts. A
    request that is suspected of crashing upstreams runs alone.

    ``takeover`` says that another host may still run reads on the replica.
    """

    def __init__(
        self,
        replica: Replica,
        floors: Mapping[Rank, float],
        *,
        proven: Container[int] = (),
        now: float,
        takeover: bool,
    ):
        self.replica = replica
        self._queue = RankQueue(floors)
        self._limit = AdaptiveLimit(replica.slots, maximum=replica.slots)
        self._gate = TrialGate(proven)
        # Entries that left the queue and may not start yet because of a trial.
        self._held: deque = deque()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._draining = replica.draining
        self._full_limit_at = now + TAKEOVER_GRACE_S if takeover else now
        self._connection_failures = 0
        self._reconnect_at = 0.0
        self._running_keys: set[ReadKey] = set()
        # Reads that ran during a recorded crash; their loss is not another crash.
        self._lost_in_crash: set[ReadKey] = set()
        self._answered_since_crash = True
        self._responsiveness = Responsiveness()
        self._unresponsive = False

    @property
    def draining(self) -> bool:
        """Whether the replica accepts no new work."""
        return self._draining

    @property
    def running(self) -> int:
        """Number of running reads."""
        return self._limit.in_flight

    @property
    def limit(self) -> int:
        """Number of reads that may run at once."""
        return self._limit.limit

    @property
    def waiting(self) -> int:
        """Number of waiting reads."""
        return len(self._queue) + len(self._held)

    @property
    def queue_lengths(self) -> Mapping[Rank, int]:
        """Waiting reads by rank."""
        return self._queue.lengths

    @property
    def service_time_s(self) -> float:
        """Exponential moving average of the time that a read takes, in seconds."""
        return self._service_time_s

    @property
    def state_name(self) -> str:
        """State for operators: up, down or draining."""
        if self._draining:
            return "draining"
        return "down" if self._connection_failures or self._unresponsive else "up"

    @property
    def recent_failures(self) -> int:
        """Failed connects and lost connections since the last successful read."""
        return self._connection_failures

    def update(self, replica: Replica) -> None:
        """Set the attributes of the replica from the configuration in force."""
        self.replica = replica

    def running_reads(self) -> list[RunningRead]:
        """Return the running reads, to which a crash may be attributed."""
        return self._gate.running()

    @property
    def answered_since_crash(self) -> bool:
        """Whether the replica has answered a read or a probe since its last crash.

        Until then, each read is preceded by a probe. Behind a TCP proxy, connections to
        a process that is down open and break at once, which would look like a crash
        caused by the read.
        """
        return self._answered_since_crash

    @property
    def unresponsive(self) -> bool:
        """Whether the replica does not answer at all, so that its reads are refused."""
        return self._unresponsive

    def seems_stuck(self, now: float) -> bool:
        """Tell whether the replica leaves its reads unanswered and should be probed."""
        return self._responsiveness.is_stuck(
            now, self._limit.in_flight, self._service_time_s
        )

    def mark_unresponsive(self) -> None:
        """Refuse all reads until a probe is answered."""
        self._unresponsive = True

    def record_probe_answer(self, now: float) -> None:
        """Record that the replica answered a probe."""
        self._answered_since_crash = True
        if self._unresponsive:
            self._unresponsive = False
            self._responsiveness.record_answer(now)
        elif self.seems_stuck(now):
            self._responsiveness.record_false_alarm(now)

    def is_running(self, key: ReadKey) -> bool:
        """Tell whether read ``key`` is running on the replica."""
        return key in self._running_keys

    def record_loss(self, key: ReadKey) -> bool:
        """Record the loss of read ``key``; return whether it is a new crash.

        All reads that run when an upstream crashes are lost, one after the other. Only
        the first loss counts as a crash; the others belong to the same one.
        """
        if key in self._lost_in_crash:
            return False
        self._answered_since_crash = False
        self._lost_in_crash |= self._running_keys
        return True

    def is_under_pressure(self) -> bool:
        """Tell whether too many reads wait in proportion to the limit."""
        return self.waiting > PRESSURE_QUEUE_RATIO * self._limit.limit

    def submit(self, read: QueuedRead, now: float) -> Failure | None:
        """Add ``read`` to the queue or return why it is refused.

        The codes are ``DRAINING``, ``UNREACHABLE``, ``DEADLINE``, ``DUPLICATE_ID`` and
        ``OVERLOAD``.
        """
        if self._draining:
            return Failure(FailureCode.DRAINING, f"{self.replica.id} is draining")
        if self._unresponsive:
            reason = f"{self.replica.id} does not answer"
            return Failure(FailureCode.UNREACHABLE, reason)
        if now < self._reconnect_at:
            return Failure(
                FailureCode.UNREACHABLE, f"{self.replica.id} refused connections"
            )
        refusal = self._check_deadline(read, now)
        if refusal is not None:
            return refusal
        # The other reads of a query wait for its trial read, so it goes first.
        return self._queue.push(
            read.key,
            read,
            rank=Rank(read.rank),
            deadline=read.deadline,
            now=now,
            at_front=read.mode != ReadMode.NORMAL,
        )

    def can_finish(self, read: QueuedRead, now: float) -> bool:
        """Tell whether a read that starts now is expected to meet its deadline.

        If no other read runs, the answer is always true: otherwise a service time that
        was measured too high would refuse all reads and never be corrected.
        """
        if self._limit.in_flight <= 1:
            return True
        return now + self._service_time_s <= read.deadline

    def start_next(self, now: float):
        """Remove and return the queue entry to start now, or None."""
        # Fast path: most calls, after each read and on each tick, find an empty queue.
        if self._unresponsive or not self.waiting:
            return None
        if now < self._reconnect_at and self._limit.in_flight:
            return None
        if now < self._full_limit_at and self._limit.in_flight >= TAKEOVER_LIMIT:
            return None
        if not self._limit.try_acquire():
            return None
        entry = self._take_startable(now)
        if entry is None:
            self._limit.release(Feedback.IGNORED, now)
            return None
        read = entry.item
        self._responsiveness.record_start(now, self._limit.in_flight - 1)
        self._gate.started(read.key, read.fingerprint, read.mode)
        self._running_keys.add(read.key)
        return entry

    def finish(
        self, read: QueuedRead, result: object, service_s: float, now: float
    ) -> None:
        """Record the end of a read that ``start_next`` returned.

        ``service_s`` is the time in seconds that the read took. ``result`` is a
        ``Failure`` or anything else for success.
        """
        self._gate.finished(read.key)
        self._running_keys.discard(read.key)
        self._lost_in_crash.discard(read.key)
        if isinstance(result, Failure):
            self._limit.release(_FEEDBACK.get(result.code, Feedback.IGNORED), now)
            self._record_connection_failure(result.code, now)
            if result.code == FailureCode.TIMEOUT:
                self._responsiveness.record_timeout()
            elif result.code != FailureCode.UNREACHABLE:
                self._responsiveness.record_answer(now)
            return
        self._responsiveness.record_answer(now)
        self._answered_since_crash = True
        self._connection_failures = 0
        self._reconnect_at = 0.0
        self._service_time_s += SERVICE_TIME_WEIGHT * (service_s - self._service_time_s)
        self._limit.release(Feedback.OK, now, service_s)

    def cancel(self, key: ReadKey) -> QueuedRead | None:
        """Remove and return a waiting read, or None if it is not waiting."""
        entry = self._queue.remove(key)
        if entry is not None:
            return entry.item
        for entry in self._held:
            if entry.item.key == key:
                self._drop_held(entry)
                return entry.item
        return None

    def take_expired(self, now: float) -> list:
        """Remove and return the entries whose deadline passed while they waited."""
        expired = self._queue.take_expired(now)
        late = [entry for entry in self._held if entry.deadline <= now]
        for entry in late:
            self._drop_held(entry)
        return expired + late

    def drain_queue(self) -> list:
        """Remove and return all waiting entries."""
        entries = [*self._held, *self._queue.drain()]
        for entry in list(self._held):
            self._drop_held(entry)
        return entries

    def set_draining(self, draining: bool) -> bool:
        """Set whether the replica is draining; return whether this is a change."""
        changed = self._draining != draining
        self._draining = draining
        return changed

    def lift_takeover_limit(self, now: float) -> None:
        """Allow the full limit, because the former owner closed its connections."""
        self._full_limit_at = min(self._full_limit_at, now)

    def _check_deadline(self, read: QueuedRead, now: float) -> Failure | None:
        if not self.waiting and not self._limit.in_flight:
            return None
        wait_s = 0.0
        if self.waiting or self._limit.in_flight >= self._limit.limit:
            concurrency = min(self._limit.limit, self.replica.slots)
            wait_s = self._queue.estimate_wait(
                Rank(read.rank), self._service_time_s, concurrency
            )
        if now + wait_s + self._service_time_s <= read.deadline:
            return None
        reason = f"estimated wait {wait_s * 1000:.0f} ms passes the deadline"
        return Failure(FailureCode.DEADLINE, f"{self.replica.id}: {reason}")

    def _drop_held(self, entry) -> None:
        self._held.remove(entry)
        if entry.item.mode == ReadMode.EXCLUSIVE:
            self._gate.release_reservation(entry.item.fingerprint)

    def _take_startable(self, now: float):
        if any(read.mode == ReadMode.EXCLUSIVE for read in self._gate.running()):
            return None
        for entry in self._held:
            if entry.deadline > now and self._may_start(entry.item):
                self._held.remove(entry)
                return entry
        while self._gate.reserved_for is None:
            entry = self._queue.pop(now)
            if entry is None or self._may_start(entry.item):
                return entry
            self._held.append(entry)
        return None

    def _may_start(self, read: QueuedRead) -> bool:
        return self._gate.may_start(read.fingerprint, read.mode)

    def _record_connection_failure(self, code: FailureCode, now: float) -> None:
        if code not in (FailureCode.UNREACHABLE, FailureCode.LOST):
            return
        self._connection_failures += 1
        delay_s = RECONNECT_DELAY_S * 2 ** min(self._connection_failures - 1, 4)
        self._reconnect_at = now + min(delay_s, RECONNECT_DELAY_MAX_S)
