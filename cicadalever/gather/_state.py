"""Decisions of one query over many shards, free of I/O and clocks."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

# Relative tolerance that keeps rounding errors from requiring one shard more, as with a
# share of 0.89 of 100 shards.
SHARE_TOLERANCE = 1e-9


class GatherPolicy(NamedTuple):
    """Thresholds for hedging reads and for answering with a part of the shards.

    The target time of a query is ``GatherState.answer_by``. All delays count from the
    start of the query.

    Once ``hedge_quantile`` of the shards have answered, after t seconds, each missing
    shard is read again after ``hedge_factor`` times t, but at least ``min_hedge_s``.
    The delay is at most ``max_hedge_target_share`` of the time to the target, or t if
    that is longer. No shard is hedged before that: while more than
    1 - ``hedge_quantile`` of the shards are missing, they are late for a common cause
    that a second read does not avoid, and hedges would only use up the retry budget. A
    single shard is hedged after ``max_hedge_target_share`` of the time to the target.

    A query without enough shards at its target waits for all shards until
    ``late_answer_factor`` times the time to the target. From then on it ends as soon as
    it has enough.
    """

    hedge_quantile: float = 0.7
    hedge_factor: float = 2.0
    min_hedge_s: float = 0.004
    max_hedge_target_share: float = 0.4
    late_answer_factor: float = 1.5


DEFAULT_POLICY = GatherPolicy()


class GatherEndReason(StrEnum):
    """Why a query ends; enough means at least the required share of the shards."""

    # All shards have answered.
    COMPLETE = "complete"
    # Enough shards had answered at the target time.
    ENOUGH_AT_TARGET = "enough_at_target"
    # Enough shards answered, but only after the target time.
    ENOUGH_LATE = "enough_late"
    # Enough shards have answered, and no other one can answer any more.
    NOTHING_LEFT = "nothing_left"
    # Not enough shards can answer any more.
    TOO_FEW = "too_few"
    # Too few shards had answered at the deadline.
    TIMED_OUT = "timed_out"


class GatherDecision(NamedTuple):
    """What to do now.

    The query ends if there is an ``end_reason``. Otherwise the shards in ``hedges`` are
    read again, and the next decision is due at ``wake_at``, or when the state changes.
    """

    end_reason: GatherEndReason | None
    hedges: list[int]
    wake_at: float


class GatherState:
    """Progress of one query; shards are numbered from 0 to ``shards`` - 1.

    A successful answer needs at least ``min_share`` (0 to 1) of the shards. All times
    are on one monotonic clock in seconds. ``answer_by`` is the latest time at which an
    answer reaches the caller within the target latency of the route; ``deadline`` is
    the time at which the caller or the route gives up.
    """

    def __init__(
        self,
        shards: int,
        min_share: float,
        started_at: float,
        answer_by: float,
        deadline: float,
        policy: GatherPolicy = DEFAULT_POLICY,
    ):
        self.shards = shards
        self.started_at = started_at
        self.answer_by = answer_by
        self.deadline = deadline
        self.policy = policy
        self.required_answers = required_shards(min_share, shards)
        self.late_answer_by = min(
            deadline, started_at + policy.late_answer_factor * (answer_by - started_at)
        )
        self._reads_in_flight = [0] * shards
        self._answered = [False] * shards
        self._hedged = [False] * shards
        self._exhausted = [False] * shards
        self._answer_count = 0
        # Shards that cannot answer any more.
        self._lost_shards: set[int] = set()
        # Shards that another host reads and hedges.
        self._delegated: set[int] = set()
        # Answers of the other shards, and how many of them set the delay of hedges.
        self._own_answer_count = 0
        self._update_quantile()
        self._quantile_at: float | None = None
        # Whether too few shards had answered at the target time.
        self._missed_target = False

    @property
    def answer_count(self) -> int:
        """Number of shards that have answered."""
        return self._answer_count

    @property
    def quantile_latency_s(self) -> float | None:
        """Seconds until ``hedge_quantile`` of the shards had answered, or None."""
        return (
            None if self._quantile_at is None else self._quantile_at - self.started_at
        )

    def is_answered(self, shard: int) -> bool:
        """Return whether a shard has answered."""
        return self._answered[shard]

    def record_read_start(self, shard: int) -> None:
        """Record a read of a shard that was sent or is about to be sent."""
        self._reads_in_flight[shard] += 1

    def record_answer(self, shard: int, now: float) -> bool:
        """Record an answer, and return False if the shard had answered before."""
        self._reads_in_flight[shard] -= 1
        if self._answered[shard]:
            return False
        self._answered[shard] = True
        self._lost_shards.discard(shard)
        self._answer_count += 1
        if shard not in self._delegated:
            self._own_answer_count += 1
            if self._own_answer_count == self._quantile_answers:
                self._quantile_at = now
        return True

    def needs_decision(self, now: float) -> bool:
        """Return whether the answer recorded last can change the decision.

        Callers can skip ``decide`` after most answers.
        """
        answers = self._answer_count
        is_last = answers + len(self._lost_shards) == self.shards
        has_quantile = self._own_answer_count == self._quantile_answers
        return is_last or has_quantile or now >= self.answer_by

    def delegate(self, shards: Iterable[int]) -> None:
        """Record that another host reads ``shards``; it hedges them itself."""
        for shard in shards:
            self._delegated.add(shard)
            self._reads_in_flight[shard] += 1
        self._update_quantile()

    def reclaim(self, shards: Iterable[int]) -> None:
        """Record that the other host does not read ``shards`` after all."""
        for shard in shards:
            self._delegated.discard(shard)
            self._reads_in_flight[shard] -= 1
        self._update_quantile()

    def record_read_failure(self, shard: int) -> None:
        """Record a read that ended without an answer."""
        self._reads_in_flight[shard] -= 1
        self._update_lost_shards(shard)

    def mark_exhausted(self, shard: int) -> None:
        """Record that a shard cannot be read again."""
        self._exhausted[shard] = True
        self._update_lost_shards(shard)

    def mark_hedged(self, shard: int) -> None:
        """Exclude a shard from later hedges, whether or not it could be read again."""
        self._hedged[shard] = True

    def unanswered_shards(self) -> list[int]:
        """Return the shards that have not answered."""
        return [shard for shard in range(self.shards) if not self._answered[shard]]

    def decide(self, now: float) -> GatherDecision:
        """Return whether to end the query, hedge shards or wait, as of ``now``."""
        end_reason = self._end_reason(now)
        if end_reason is not None:
            return GatherDecision(end_reason, [], now)
        hedge_at = self._next_hedge_at()
        hedges = []
        if now >= hedge_at:
            hedge_at = float("inf")
            hedges = [
                shard
                for shard in self.unanswered_shards()
                if not self._hedged[shard] and shard not in self._delegated
            ]
        return GatherDecision(None, hedges, min(hedge_at, self._next_end_at(now)))

    def _end_reason(self, now: float) -> GatherEndReason | None:
        if self._answer_count == self.shards:
            return GatherEndReason.COMPLETE
        lost_count = len(self._lost_shards)
        if self.shards - lost_count < self.required_answers:
            return GatherEndReason.TOO_FEW
        has_enough = self._answer_count >= self.required_answers
        if has_enough and self._answer_count + lost_count == self.shards:
            return GatherEndReason.NOTHING_LEFT
        if now >= self.answer_by:
            if has_enough and not self._missed_target:
                return GatherEndReason.ENOUGH_AT_TARGET
            self._missed_target = True
        if has_enough and now >= self.late_answer_by:
            return GatherEndReason.ENOUGH_LATE
        if now >= self.deadline:
            return GatherEndReason.TIMED_OUT
        return None

    def _update_quantile(self) -> None:
        own = self.shards - len(self._delegated)
        quantile_answers = _ceil_share(self.policy.hedge_quantile, own)
        self._quantile_answers = max(1, min(own - 1, quantile_answers))

    def _update_lost_shards(self, shard: int) -> None:
        has_answer_or_read = self._answered[shard] or self._reads_in_flight[shard]
        if self._exhausted[shard] and not has_answer_or_read:
            self._lost_shards.add(shard)

    def _next_end_at(self, now: float) -> float:
        end_times = (self.answer_by, self.late_answer_by, self.deadline)
        return min((time for time in end_times if time > now), default=now)

    def _next_hedge_at(self) -> float:
        policy = self.policy
        max_hedge_s = policy.max_hedge_target_share * (self.answer_by - self.started_at)
        if self._quantile_at is None:
            # A single shard has no others whose latency could set the delay.
            is_single = self.shards - len(self._delegated) == 1
            return self.started_at + max_hedge_s if is_single else float("inf")
        quantile_s = self._quantile_at - self.started_at
        hedge_s = max(policy.min_hedge_s, policy.hedge_factor * quantile_s)
        return self.started_at + min(hedge_s, max(max_hedge_s, quantile_s))


def required_shards(min_share: float, shards: int) -> int:
    """Return how many of ``shards`` a successful answer contains at least.

    That is at least one, also with a share of 0.
    """
    return max(1, _ceil_share(min_share, shards))


def _ceil_share(share: float, count: int) -> int:
    """Return ``share`` of ``count``, rounded up except for rounding errors."""
    exact = share * count
    whole = int(exact)
    return whole if exact - whole < SHARE_TOLERANCE * max(1, count) else whole + 1
