"""One fan-out of a query: sends its reads and collects the answers."""

import heapq
import time
from collections import Counter, defaultdict
from collections.abc import Callable

from eventlet.queue import Empty, LightQueue

from cicadalever.configuration import Configuration
from cicadalever.outcomes import Failure, FailureCode, is_not_run
from cicadalever.scheduling import Rank
from cicadalever.transport import (
    CancelReads,
    ReadAnswer,
    ReadBatch,
    ReadMode,
    ReadRequest,
)

from ._planner import PlannedRead, ReadPlanner
from ._query import Query, ShardRead

# Reads of one shard that are refused and sent again. An interactive query gives up
# after about 0.15 s, others go on at RETRY_DELAY_MAX_S until their deadline.
MAX_TRIES_INTERACTIVE = 6
MAX_TRIES = 100
# A replica that cannot meet the deadline now will not meet it later.
MAX_TRIES_AFTER_REFUSAL = 2
# Share of the time to the deadline that a read may wait at its owner. Above it the
# admission window shrinks, before queries begin to miss their deadline.
QUEUE_SHARE = 0.25
# Share of its shards that must be refused, late or waiting for too long before a query
# counts as congested. One overloaded service must not close the window for all routes.
CONGESTED_SHARE = 0.1
RETRY_DELAY_S = 0.01
RETRY_DELAY_MAX_S = 0.5
MAX_DOUBLINGS = 10
# An interactive query does not wait longer for a shard without a reachable replica:
# during a partition a partial answer now is worth more than one at the deadline.
MAX_INTERACTIVE_POSTPONEMENTS = 3
# Shards to which the first read of a query moves when it is refused.
MAX_TRIAL_MOVES = 5
# Hedge delays after which a trial is hedged without budget.
TRIAL_HEDGE_DELAYS = 4
POSTPONE_DELAY_S = 0.02
# The caller's connection is looked at this often while a query waits.
CONNECTION_CHECK_S = 0.1

_REFUSAL_CODES = frozenset({FailureCode.DEADLINE, FailureCode.OVERLOAD})
_FINAL_CODES = frozenset({FailureCode.QUARANTINED, FailureCode.INVALID})


class Gather:
    """Drives one ``Query`` until it is complete, hopeless or out of time."""

    def __init__(
        self,
        coordinator,
        work,
        query: Query,
        configuration: Configuration,
        mailbox: LightQueue,
    ):
        self.coordinator = coordinator
        self.work = work
        self.query = query
        self.mailbox = mailbox
        self._planner = ReadPlanner(coordinator, query, configuration, work.fingerprint)
        self.hedges = 0
        self.retries = 0
        self.restart_wanted = False
        self._hedge_at: list[tuple[float, int]] = []
        self._retry_at: list[tuple[float, str, ReadMode]] = []
        self._unsent: list[str] = []
        self._gone: set[str] = set()
        self._postponements: Counter[str] = Counter()
        self._max_queued_s = QUEUE_SHARE * (work.deadline - time.monotonic())
        self._congested: set[str] = set()
        self._trial_moves = 0
        self._trial_may_have_crashed = False

    @property
    def is_congested(self) -> bool:
        """Whether owners refused, delayed or did not answer a share of the reads."""
        return len(self._congested) > CONGESTED_SHARE * len(self.query.shards)

    def run(self, is_caller_connected: Callable[[], bool], may_restart: bool) -> None:
        """Send all reads and wait for the answers, at most until the deadline."""
        self._send_first_wave()
        while not self._is_finished():
            now = time.monotonic()
            if now >= self.work.deadline:
                outstanding = self.query.outstanding.values()
                self._congested.update(read.shard for read in outstanding)
                break
            try:
                answers = self.mailbox.get(timeout=self._wait_time(now))
            except Empty:
                answers = ()
                if self.work.idempotent and not is_caller_connected():
                    break
            self._receive(answers)
            if may_restart and self._is_snapshot_gone():
                self.restart_wanted = True
                break
            self._send_due(time.monotonic())
        self._cancel_outstanding()

    def _is_finished(self) -> bool:
        if self.query.is_complete:
            return True
        return not (self.query.outstanding or self._retry_at or self._unsent)

    def _wait_time(self, now: float) -> float:
        wake_at = min(self.work.deadline, now + CONNECTION_CHECK_S)
        if self._hedge_at:
            wake_at = min(wake_at, self._hedge_at[0][0])
        if self._retry_at:
            wake_at = min(wake_at, self._retry_at[0][0])
        return max(wake_at - now, 0.0005)

    def _send_first_wave(self) -> None:
        coordinator = self.coordinator
        shards = list(self.query.shards)
        fingerprint = self.work.fingerprint
        if not coordinator.uses_canary:
            self._send_normal(shards)
        elif coordinator.quarantine.is_suspect(fingerprint, time.monotonic()):
            self._send_trial(shards, ReadMode.EXCLUSIVE)
        elif fingerprint in coordinator.proven:
            self._send_normal(shards)
        else:
            self._send_trial(shards, ReadMode.CANARY)

    def _send_trial(self, shards: list[str], mode: ReadMode) -> None:
        """Send the one read that must succeed before the others are sent."""
        chosen = self._planner.choose_trial_shard(shards)
        self._unsent = [shard for shard in shards if shard != chosen]
        self._send([self._plan(chosen, mode)])

    def _send_normal(self, shards: list[str]) -> None:
        plans = [self._plan(shard, ReadMode.NORMAL) for shard in shards]
        self.coordinator.budget.earn(len(plans))
        self._send(plans)

    def _plan(self, shard: str, mode: ReadMode) -> PlannedRead | None:
        plan = self._planner.plan(shard, mode)
        if plan is None:
            self._postpone(shard, mode)
        return plan

    def _postpone(self, shard: str, mode: ReadMode) -> None:
        """Look again later for a replica whose owner can be reached."""
        self.query.fail_shard(
            shard,
            Failure(FailureCode.UNREACHABLE, "no replica with a reachable owner"),
        )
        count = self._postponements[shard]
        interactive = self.work.rank == Rank.INTERACTIVE
        if interactive and count >= MAX_INTERACTIVE_POSTPONEMENTS:
            return
        self._postponements[shard] += 1
        delay_s = min(POSTPONE_DELAY_S * 2**count, RETRY_DELAY_MAX_S)
        heapq.heappush(self._retry_at, (time.monotonic() + delay_s, shard, mode))

    def _send(self, plans: list[PlannedRead | None]) -> None:
        coordinator = self.coordinator
        now = time.monotonic()
        by_owner: dict[str, list[ReadRequest]] = defaultdict(list)
        for plan in plans:
            if plan is None:
                continue
            owner = coordinator.view.owner_of(plan.replica)
            read = self.query.start_read(
                plan.shard, plan.replica.id, owner.address, plan.mode, now
            )
            coordinator.selector.started(plan.replica.id, now)
            by_owner[owner.address].append(
                ReadRequest(read.number, plan.replica.id, plan.shard, plan.mode)
            )
            self._schedule_hedge(read)
        for address, reads in by_owner.items():
            if address != coordinator.view.self_address:
                coordinator.silence.sent(address, len(reads), now)
            failure = coordinator.send(address, self._batch(reads))
            if failure is not None:
                self.mailbox.put([_synthetic_answer(read, failure) for read in reads])

    def _batch(self, reads: list[ReadRequest]) -> ReadBatch:
        work = self.work
        return ReadBatch(
            self.coordinator.view.self_address,
            self.query.query_id,
            work.request_id,
            int(work.rank),
            time.time() + work.deadline - time.monotonic(),
            work.route.operation,
            self.query.snapshot,
            work.fingerprint,
            work.parameters,
            reads,
        )

    def _schedule_hedge(self, read: ShardRead) -> None:
        if not (self.coordinator.features.hedging and self.work.idempotent):
            return
        if self.query.tries(read.shard) > 1:
            return
        delay_s = self.coordinator.latencies.hedge_delay(read.shard, read.started)
        heapq.heappush(self._hedge_at, (read.started + delay_s, read.number))

    def _receive(self, answers) -> None:
        now = time.monotonic()
        for answer in answers:
            self.coordinator.budget.note_answer(answer.pressure)
            accepted = self.query.accept(answer)
            if accepted is None:
                continue
            read, failure = accepted
            self.coordinator.silence.ended(read.owner, 1)
            if failure is None or failure.code != FailureCode.HOST_LOST:
                self.coordinator.silence.heard(read.owner, now)
            if answer.queued_s > self._max_queued_s:
                self._congested.add(read.shard)
            latency_s = now - read.started
            self.coordinator.selector.finished(
                read.replica,
                None if failure is not None else latency_s,
                failure is None,
                now,
            )
            if failure is None:
                self._accept_rows(read, latency_s, now)
            else:
                self._handle_failure(read, failure, now)

    def _accept_rows(self, read: ShardRead, latency_s: float, now: float) -> None:
        self.coordinator.latencies.add(read.shard, latency_s, now)
        for rival in self.query.rivals_of(read.shard):
            self._cancel_rival(rival, now)
        if self._unsent:
            self.coordinator.proven.add(self.work.fingerprint)
            unsent, self._unsent = self._unsent, []
            self._send_normal(unsent)

    def _cancel_rival(self, rival: ShardRead, now: float) -> None:
        failure = Failure(FailureCode.CANCELLED, "another replica answered first")
        self.query.give_up(rival, failure)
        self.coordinator.silence.ended(rival.owner, 1)
        # A cancelled read says nothing about its replica: one read in a hundred being
        # slow must not turn the load away from it.
        self.coordinator.selector.finished(rival.replica, None, True, now)
        self._send_cancel(rival.owner, [rival.number], confirm=True)

    def _handle_failure(self, read: ShardRead, failure: Failure, now: float) -> None:
        if failure.code in _REFUSAL_CODES:
            self._congested.add(read.shard)
        is_gone = failure.code == FailureCode.SNAPSHOT_GONE
        if is_gone and self._planner.is_tried_everywhere(read.shard):
            self._gone.add(read.shard)
        if failure.code in _FINAL_CODES:
            self._stop_sending()
            return
        if not self.query.is_open(read.shard):
            return
        if read.mode != ReadMode.NORMAL and not _is_harmless(failure):
            self._trial_may_have_crashed = True
        if self._move_trial(read, failure):
            return
        if not self._may_retry(read, failure, now):
            self._fail_trial(failure)
            return
        self.retries += 1
        mode = _mode_of_retry(read, failure)
        heapq.heappush(
            self._retry_at, (now + self._retry_delay(read.shard), read.shard, mode)
        )

    def _may_retry(self, read: ShardRead, failure: Failure, now: float) -> bool:
        coordinator = self.coordinator
        tries = self.query.tries(read.shard)
        if failure.code in _REFUSAL_CODES:
            return tries < MAX_TRIES_AFTER_REFUSAL
        if tries >= self._max_tries():
            return False
        if is_not_run(failure.code):
            return True
        if not self.work.idempotent:
            return False
        if failure.code == FailureCode.HOST_LOST:
            # The loss of a host fails many reads at once, more than the budget holds.
            return True
        return (
            not coordinator.features.budgeted_retries or coordinator.budget.try_spend()
        )

    def _max_tries(self) -> int:
        interactive = self.work.rank == Rank.INTERACTIVE
        return MAX_TRIES_INTERACTIVE if interactive else MAX_TRIES

    def _retry_delay(self, shard: str) -> float:
        tries = self.query.tries(shard)
        replicas = self._planner.replica_count(shard)
        if tries < replicas:
            return 0.0
        delay_s = RETRY_DELAY_S * 2 ** min(tries - replicas, MAX_DOUBLINGS)
        jitter = 0.5 + self.coordinator.rng.random()
        return min(delay_s, RETRY_DELAY_MAX_S) * jitter

    def _is_snapshot_gone(self) -> bool:
        if not self._gone:
            return False
        newest = self.coordinator.view.configuration().newest_snapshot()
        return newest.id > self.query.snapshot

    def _fail_trial(self, failure: Failure) -> None:
        """Try another shard if the trial did not run; else give the query up."""
        if not self._unsent or self.query.outstanding or self._retry_at:
            return
        if _is_harmless(failure) and not self._trial_may_have_crashed:
            self._send([self._plan(self._unsent.pop(), ReadMode.CANARY)])
            return
        self._stop_sending_because(failure)

    def _move_trial(self, read: ShardRead, failure: Failure) -> bool:
        """Send the first read to another shard; tell whether that was possible.

        A shard whose replicas all refuse must not keep the others from being read. It
        is read with them once the trial has succeeded elsewhere.
        """
        if read.mode != ReadMode.CANARY or not self._unsent:
            return False
        if not _is_harmless(failure):
            return False
        if self._trial_moves >= MAX_TRIAL_MOVES:
            return False
        if self.query.tries(read.shard) < self._planner.replica_count(read.shard):
            return False
        self._trial_moves += 1
        self._unsent.append(read.shard)
        self._send([self._plan(self._unsent.pop(0), ReadMode.CANARY)])
        return True

    def _stop_sending_because(self, failure: Failure) -> None:
        for shard in self._unsent:
            self.query.fail_shard(shard, failure)
        self._unsent = []

    def _stop_sending(self) -> None:
        self._retry_at.clear()
        self._hedge_at.clear()
        failure = Failure(FailureCode.QUARANTINED, "the request is quarantined")
        self._stop_sending_because(failure)

    def _send_due(self, now: float) -> None:
        plans = []
        while self._retry_at and self._retry_at[0][0] <= now:
            _, shard, mode = heapq.heappop(self._retry_at)
            if not self.query.is_open(shard):
                continue
            plans.append(self._plan(shard, mode))
        while self._hedge_at and self._hedge_at[0][0] <= now:
            _, number = heapq.heappop(self._hedge_at)
            plans.append(self._plan_hedge(number, now))
        if plans:
            self._send(plans)
        while self._unsent and not self.query.outstanding and not self._retry_at:
            unreachable = Failure(FailureCode.UNREACHABLE, "no replica is reachable")
            self._fail_trial(unreachable)

    def _plan_hedge(self, number: int, now: float) -> PlannedRead | None:
        read = self.query.outstanding.get(number)
        if read is None or self.query.is_covered(read.shard):
            return None
        plan = self._planner.plan_hedge(read.shard, read.mode)
        if plan is None or plan.replica.id == read.replica:
            return None
        if not self._may_hedge(read, now):
            return None
        self.hedges += 1
        return plan

    def _may_hedge(self, read: ShardRead, now: float) -> bool:
        """Tell whether an extra read is allowed.

        All other reads of a query wait for its trial. One that is very late is sent
        again even if the budget is empty, as it is on an entry with few queries.
        """
        if self.coordinator.budget.try_spend():
            return True
        delay_s = self.coordinator.latencies.hedge_delay(read.shard, now)
        if read.mode == ReadMode.NORMAL:
            return False
        late_at = read.started + TRIAL_HEDGE_DELAYS * delay_s
        if now < late_at:
            heapq.heappush(self._hedge_at, (late_at, read.number))
            return False
        return True

    def _cancel_outstanding(self) -> None:
        now = time.monotonic()
        by_owner: dict[str, list[int]] = defaultdict(list)
        for read in self.query.outstanding.values():
            by_owner[read.owner].append(read.number)
            self.coordinator.selector.finished(read.replica, None, False, now)
        for address, numbers in by_owner.items():
            self.coordinator.silence.ended(address, len(numbers))
            if self.work.idempotent:
                self._send_cancel(address, numbers)

    def _send_cancel(
        self, address: str, numbers: list[int], *, confirm: bool = False
    ) -> None:
        sender = self.coordinator.view.self_address
        message = CancelReads(sender, self.query.query_id, numbers, confirm)
        self.coordinator.send(address, message)


def _mode_of_retry(read: ShardRead, failure: Failure) -> ReadMode:
    """Return how a failed read is sent again.

    Only a read that may have crashed its upstream, or is suspected to, runs alone.
    """
    if failure.code == FailureCode.SUSPECT:
        return ReadMode.EXCLUSIVE
    if read.mode == ReadMode.CANARY and not _is_harmless(failure):
        return ReadMode.EXCLUSIVE
    return read.mode


def _is_harmless(failure: Failure) -> bool:
    """Tell whether a failed read certainly crashed no upstream.

    A lost host, or an upstream that hangs, has not crashed during the read.
    """
    if failure.code == FailureCode.SUSPECT:
        return False
    return is_not_run(failure.code) or failure.code == FailureCode.HOST_LOST


def _synthetic_answer(request: ReadRequest, failure: Failure) -> ReadAnswer:
    return ReadAnswer(
        request.number, failure.code, failure.reason, 0, b"", 0.0, 0.0, False
    )
