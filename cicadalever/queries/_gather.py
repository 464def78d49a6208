"""The scatter-gather loop of a query: sends its reads and collects the answers.

A trial is a read in mode ``CANARY`` or ``EXCLUSIVE``. A request that is not known to
be harmless is first sent as a trial to one shard; the reads of the other shards follow
when the trial has succeeded.
"""

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

# Reads sent for one shard before it is given up. An interactive query gives up after
# about 0.15 s; others retry every RETRY_DELAY_MAX_S until their deadline.
MAX_TRIES_INTERACTIVE = 6
MAX_TRIES = 100
# The same for reads that are refused for deadline or overload. A replica that cannot
# meet the deadline now will not meet it later.
MAX_TRIES_AFTER_REFUSAL = 2
# Share of the time to the deadline that a read may wait in the queue of its owner.
# Above it the query counts as congested, so that the admission window shrinks before
# queries begin to miss their deadline.
MAX_QUEUE_TIME_SHARE = 0.25
# A query is congested if the reads of more than this share of its shards were refused,
# unanswered at the deadline or queued for too long. One overloaded service must not
# shrink the admission window of all routes.
CONGESTED_SHARD_SHARE = 0.1
# Delay of the first retry after each replica was tried once; it doubles with each
# further retry.
RETRY_DELAY_S = 0.01
RETRY_DELAY_MAX_S = 0.5
MAX_RETRY_DELAY_DOUBLINGS = 10
# Times that an interactive query looks again for a reachable replica of a shard. During
# a partition a partial answer now is worth more than one at the deadline.
MAX_INTERACTIVE_POSTPONEMENTS = 3
# Times that a refused canary is sent to another shard instead.
MAX_TRIAL_MOVES = 5
# A trial is hedged after this many hedge delays even if the budget for extra reads is
# empty.
TRIAL_HEDGE_DELAY_FACTOR = 4
# Delay before a query looks again for a reachable replica of a shard; it doubles with
# each further postponement.
POSTPONEMENT_DELAY_S = 0.02
# Time between checks of the caller's connection while a query waits.
CONNECTION_CHECK_INTERVAL_S = 0.1

_REFUSAL_CODES = frozenset({FailureCode.DEADLINE, FailureCode.OVERLOAD})
# Codes after which no further read of the query is sent.
_FINAL_CODES = frozenset({FailureCode.QUARANTINED, FailureCode.INVALID})


class Gather:
    """Sends and retries the reads of one ``Query`` until it ends.

    It ends when all shards are covered, when nothing is left to send or to wait for,
    at the deadline, when the caller of an idempotent request has disconnected, or when
    a restart on a newer snapshot is needed.

    ``coordinator`` is a ``QueryCoordinator`` and ``request`` a ``ValidatedRequest``.
    ``mailbox`` receives lists of ``ReadAnswer``.
    """

    def __init__(
        self,
        coordinator,
        request,
        query: Query,
        configuration: Configuration,
        mailbox: LightQueue,
    ):
        self.coordinator = coordinator
        self.request = request
        self.query = query
        self.mailbox = mailbox
        self._planner = ReadPlanner(
            coordinator, query, configuration, request.fingerprint
        )
        self.hedges = 0
        self.retries = 0
        self.restart_needed = False
        self._hedge_schedule: list[tuple[float, int]] = []
        self._retry_schedule: list[tuple[float, str, ReadMode]] = []
        self._unsent_shards: list[str] = []
        self._shards_without_snapshot: set[str] = set()
        self._postponements: Counter[str] = Counter()
        self._max_queue_time_s = MAX_QUEUE_TIME_SHARE * (
            request.deadline - time.monotonic()
        )
        self._congested_shards: set[str] = set()
        self._trial_moves = 0
        self._trial_may_have_crashed_upstream = False

    @property
    def is_congested(self) -> bool:
        """Whether the reads of too many shards were refused, delayed or unanswered."""
        return len(self._congested_shards) > CONGESTED_SHARD_SHARE * len(
            self.query.shards
        )

    def run(self, is_caller_connected: Callable[[], bool], may_restart: bool) -> None:
        """Send all reads and wait for the answers, at most until the deadline.

        With ``may_restart`` it stops early and sets ``restart_needed`` if no replica of
        a shard has the pinned snapshot and a newer one is configured.
        """
        self._send_initial_reads()
        while not self._is_finished():
            now = time.monotonic()
            if now >= self.request.deadline:
                outstanding = self.query.outstanding.values()
                self._congested_shards.update(read.shard for read in outstanding)
                break
            try:
                answers = self.mailbox.get(timeout=self._wait_time_s(now))
            except Empty:
                answers = ()
                if self.request.idempotent and not is_caller_connected():
                    break
            self._receive(answers)
            if may_restart and self._needs_restart():
                self.restart_needed = True
                break
            self._send_due_reads(time.monotonic())
        self._cancel_outstanding()

    def _is_finished(self) -> bool:
        if self.query.is_complete:
            return True
        return not (
            self.query.outstanding or self._retry_schedule or self._unsent_shards
        )

    def _wait_time_s(self, now: float) -> float:
        wake_at = min(self.request.deadline, now + CONNECTION_CHECK_INTERVAL_S)
        if self._hedge_schedule:
            wake_at = min(wake_at, self._hedge_schedule[0][0])
        if self._retry_schedule:
            wake_at = min(wake_at, self._retry_schedule[0][0])
        return max(wake_at - now, 0.0005)

    def _send_initial_reads(self) -> None:
        coordinator = self.coordinator
        shards = list(self.query.shards)
        fingerprint = self.request.fingerprint
        if not coordinator.uses_canary:
            self._send_normal(shards)
        elif coordinator.quarantine.is_suspect(fingerprint, time.monotonic()):
            self._send_trial(shards, ReadMode.EXCLUSIVE)
        elif fingerprint in coordinator.proven:
            self._send_normal(shards)
        else:
            self._send_trial(shards, ReadMode.CANARY)

    def _send_trial(self, shards: list[str], mode: ReadMode) -> None:
        """Send one read, which must succeed before the other shards are read."""
        chosen = self._planner.choose_trial_shard(shards)
        self._unsent_shards = [shard for shard in shards if shard != chosen]
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
        """Look for a replica with a reachable owner again after a delay."""
        self.query.fail_shard(
            shard,
            Failure(FailureCode.UNREACHABLE, "no replica with a reachable owner"),
        )
        count = self._postponements[shard]
        interactive = self.request.rank == Rank.INTERACTIVE
        if interactive and count >= MAX_INTERACTIVE_POSTPONEMENTS:
            return
        self._postponements[shard] += 1
        delay_s = min(POSTPONEMENT_DELAY_S * 2**count, RETRY_DELAY_MAX_S)
        heapq.heappush(self._retry_schedule, (time.monotonic() + delay_s, shard, mode))

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
                coordinator.silence_detector.reads_sent(address, len(reads), now)
            failure = coordinator.send(address, self._batch(reads))
            if failure is not None:
                self.mailbox.put([_synthetic_answer(read, failure) for read in reads])

    def _batch(self, reads: list[ReadRequest]) -> ReadBatch:
        request = self.request
        return ReadBatch(
            self.coordinator.view.self_address,
            self.query.query_id,
            request.request_id,
            int(request.rank),
            time.time() + request.deadline - time.monotonic(),
            request.route.operation,
            self.query.snapshot,
            request.fingerprint,
            request.parameters,
            reads,
        )

    def _schedule_hedge(self, read: ShardRead) -> None:
        if not (self.coordinator.features.hedging and self.request.idempotent):
            return
        if self.query.tries(read.shard) > 1:
            return
        delay_s = self.coordinator.latencies.hedge_delay(read.shard, read.sent_at)
        heapq.heappush(self._hedge_schedule, (read.sent_at + delay_s, read.number))

    def _receive(self, answers) -> None:
        now = time.monotonic()
        for answer in answers:
            self.coordinator.budget.record_answer(answer.pressure)
            accepted = self.query.accept(answer)
            if accepted is None:
                continue
            read, failure = accepted
            self.coordinator.silence_detector.reads_ended(read.owner, 1)
            if failure is None or failure.code != FailureCode.HOST_LOST:
                self.coordinator.silence_detector.heard_from(read.owner, now)
            if answer.queued_s > self._max_queue_time_s:
                self._congested_shards.add(read.shard)
            latency_s = now - read.sent_at
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
        for redundant in self.query.redundant_reads(read.shard):
            self._cancel_redundant_read(redundant, now)
        if self._unsent_shards:
            self.coordinator.proven.add(self.request.fingerprint)
            unsent, self._unsent_shards = self._unsent_shards, []
            self._send_normal(unsent)

    def _cancel_redundant_read(self, redundant: ShardRead, now: float) -> None:
        failure = Failure(FailureCode.CANCELLED, "another replica answered first")
        self.query.give_up(redundant, failure)
        self.coordinator.silence_detector.reads_ended(redundant.owner, 1)
        # A cancelled read alone does not count as a failure of its replica: one slow
        # read in a hundred must not move the load to other replicas.
        self.coordinator.selector.finished(redundant.replica, None, True, now)
        self._send_cancel(redundant.owner, [redundant.number], confirm=True)

    def _handle_failure(self, read: ShardRead, failure: Failure, now: float) -> None:
        if failure.code in _REFUSAL_CODES:
            self._congested_shards.add(read.shard)
        lacks_snapshot = failure.code == FailureCode.SNAPSHOT_GONE
        if lacks_snapshot and self._planner.are_all_replicas_tried(read.shard):
            self._shards_without_snapshot.add(read.shard)
        if failure.code in _FINAL_CODES:
            self._stop_as_quarantined()
            return
        if not self.query.needs_read(read.shard):
            return
        if read.mode != ReadMode.NORMAL and not _is_crash_excluded(failure):
            self._trial_may_have_crashed_upstream = True
        if self._move_trial(read, failure):
            return
        if not self._may_retry(read, failure, now):
            self._replace_or_fail_trial(failure)
            return
        self.retries += 1
        mode = _mode_of_retry(read, failure)
        heapq.heappush(
            self._retry_schedule,
            (now + self._retry_delay(read.shard), read.shard, mode),
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
        if not self.request.idempotent:
            return False
        if failure.code == FailureCode.HOST_LOST:
            # The loss of a host fails more reads at once than the budget can hold.
            return True
        return (
            not coordinator.features.budgeted_retries or coordinator.budget.try_spend()
        )

    def _max_tries(self) -> int:
        interactive = self.request.rank == Rank.INTERACTIVE
        return MAX_TRIES_INTERACTIVE if interactive else MAX_TRIES

    def _retry_delay(self, shard: str) -> float:
        tries = self.query.tries(shard)
        replicas = self._planner.replica_count(shard)
        if tries < replicas:
            return 0.0
        delay_s = RETRY_DELAY_S * 2 ** min(tries - replicas, MAX_RETRY_DELAY_DOUBLINGS)
        jitter = 0.5 + self.coordinator.rng.random()
        return min(delay_s, RETRY_DELAY_MAX_S) * jitter

    def _needs_restart(self) -> bool:
        """Tell whether a newer snapshot may cover a shard that lacks the pinned one."""
        if not self._shards_without_snapshot:
            return False
        newest = self.coordinator.view.configuration().newest_snapshot()
        return newest.id > self.query.snapshot

    def _replace_or_fail_trial(self, failure: Failure) -> None:
        """Move the trial to another shard, or fail all shards that wait for it.

        It is moved only if no trial of this query can have crashed an upstream.
        """
        if not self._unsent_shards or self.query.outstanding or self._retry_schedule:
            return
        if _is_crash_excluded(failure) and not self._trial_may_have_crashed_upstream:
            self._send([self._plan(self._unsent_shards.pop(), ReadMode.CANARY)])
            return
        self._fail_unsent_shards(failure)

    def _move_trial(self, read: ShardRead, failure: Failure) -> bool:
        """Send a canary to another shard; tell whether that was possible.

        A shard whose replicas all refuse must not prevent the reads of the others. It
        is read together with them when the canary has succeeded on another shard.
        """
        if read.mode != ReadMode.CANARY or not self._unsent_shards:
            return False
        if not _is_crash_excluded(failure):
            return False
        if self._trial_moves >= MAX_TRIAL_MOVES:
            return False
        if self.query.tries(read.shard) < self._planner.replica_count(read.shard):
            return False
        self._trial_moves += 1
        self._unsent_shards.append(read.shard)
        self._send([self._plan(self._unsent_shards.pop(0), ReadMode.CANARY)])
        return True

    def _fail_unsent_shards(self, failure: Failure) -> None:
        for shard in self._unsent_shards:
            self.query.fail_shard(shard, failure)
        self._unsent_shards = []

    def _stop_as_quarantined(self) -> None:
        """Send no further reads; fail the unsent shards as quarantined."""
        self._retry_schedule.clear()
        self._hedge_schedule.clear()
        failure = Failure(FailureCode.QUARANTINED, "the request is quarantined")
        self._fail_unsent_shards(failure)

    def _send_due_reads(self, now: float) -> None:
        plans = []
        while self._retry_schedule and self._retry_schedule[0][0] <= now:
            _, shard, mode = heapq.heappop(self._retry_schedule)
            if not self.query.needs_read(shard):
                continue
            plans.append(self._plan(shard, mode))
        while self._hedge_schedule and self._hedge_schedule[0][0] <= now:
            _, number = heapq.heappop(self._hedge_schedule)
            plans.append(self._plan_hedge(number, now))
        if plans:
            self._send(plans)
        while (
            self._unsent_shards
            and not self.query.outstanding
            and not self._retry_schedule
        ):
            unreachable = Failure(FailureCode.UNREACHABLE, "no replica is reachable")
            self._replace_or_fail_trial(unreachable)

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
        """Tell whether a hedge of ``read`` may be sent; spend the budget for it.

        All other reads of a query wait for its trial. A trial that has not been
        answered after ``TRIAL_HEDGE_DELAY_FACTOR`` hedge delays is therefore hedged
        even if the budget is empty, as it often is on an entry with few queries.
        """
        if self.coordinator.budget.try_spend():
            return True
        delay_s = self.coordinator.latencies.hedge_delay(read.shard, now)
        if read.mode == ReadMode.NORMAL:
            return False
        late_at = read.sent_at + TRIAL_HEDGE_DELAY_FACTOR * delay_s
        if now < late_at:
            heapq.heappush(self._hedge_schedule, (late_at, read.number))
            return False
        return True

    def _cancel_outstanding(self) -> None:
        now = time.monotonic()
        by_owner: dict[str, list[int]] = defaultdict(list)
        for read in self.query.outstanding.values():
            by_owner[read.owner].append(read.number)
            self.coordinator.selector.finished(read.replica, None, False, now)
        for address, numbers in by_owner.items():
            self.coordinator.silence_detector.reads_ended(address, len(numbers))
            if self.request.idempotent:
                self._send_cancel(address, numbers)

    def _send_cancel(
        self, address: str, numbers: list[int], *, confirm: bool = False
    ) -> None:
        sender = self.coordinator.view.self_address
        message = CancelReads(sender, self.query.query_id, numbers, confirm)
        self.coordinator.send(address, message)


def _mode_of_retry(read: ShardRead, failure: Failure) -> ReadMode:
    """Return the mode in which a failed read is sent again.

    The mode is ``EXCLUSIVE`` if the read may have crashed its upstream, or if its owner
    refused it because the fingerprint is a suspect.
    """
    if failure.code == FailureCode.SUSPECT:
        return ReadMode.EXCLUSIVE
    if read.mode == ReadMode.CANARY and not _is_crash_excluded(failure):
        return ReadMode.EXCLUSIVE
    return read.mode


def _is_crash_excluded(failure: Failure) -> bool:
    """Tell whether a failed read certainly crashed no upstream.

    ``HOST_LOST`` means that the owner was lost or that the upstream hangs, neither of
    which is a crash of the upstream during the read.
    """
    if failure.code == FailureCode.SUSPECT:
        return False
    return is_not_run(failure.code) or failure.code == FailureCode.HOST_LOST


def _synthetic_answer(request: ReadRequest, failure: Failure) -> ReadAnswer:
    return ReadAnswer(
        request.number, failure.code, failure.reason, 0, b"", 0.0, 0.0, False
    )
