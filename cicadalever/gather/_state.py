"""The decisions of one query over many shards, without network or clock."""

from enum import StrEnum
from typing import NamedTuple

# Floating-point shares such as 0.89 of 100 shards must not ask for one shard more.
SHARE_TOLERANCE = 1e-9


class GatherPolicy(NamedTuple):
    """Thresholds of a query.

    Once ``hedge_quantile`` of the shards have answered, after a time t, the missing
    ones are read again at ``hedge_factor`` times t, or at ``max_hedge_target_share`` of
    the route's target. While more shards than the others are missing, they have a cause
    in common that a second read does not avoid, and the allowance is saved. A query
    that has missed its target answers at ``late_answer_factor`` targets with what it
    has.

    Source of the factors: the trials in docs/platform.md, where 1.6, 2.0 and 2.5 times
    the time of 70% of the shards differ by less than the noise.
    """

    hedge_quantile: float = 0.7
    hedge_factor: float = 2.0
    min_hedge_s: float = 0.004
    max_hedge_target_share: float = 0.4
    late_answer_factor: float = 1.5


DEFAULT_POLICY = GatherPolicy()


class GatherEndReason(StrEnum):
    """Why a query ends."""

    COMPLETE = "complete"
    ENOUGH_AT_TARGET = "enough_at_target"
    ENOUGH_LATE = "enough_late"
    NOTHING_LEFT = "nothing_left"
    TOO_FEW = "too_few"
    TIMED_OUT = "timed_out"


class GatherDecision(NamedTuple):
    """What to do now: end the query, read shards again, or wake up later."""

    end_reason: GatherEndReason | None
    hedges: list[int]
    wake_at: float


class GatherState:
    """Progress of one query; shards are numbered from 0 to ``shards`` - 1.

    All times are on one steady clock in seconds. ``answer_by`` is when an answer still
    reaches the caller within the route's target, and ``deadline`` when the caller or
    the route gives up.
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
        # A success names at least one part.
        self.required_answers = max(1, _ceil_share(min_share, shards))
        self.late_answer_by = min(
            deadline, started_at + policy.late_answer_factor * (answer_by - started_at)
        )
        self._reads_in_flight = [0] * shards
        self._answered = [False] * shards
        self._hedged = [False] * shards
        self._exhausted = [False] * shards
        self._answers = 0
        self._lost_shards: set[int] = set()
        self._quantile_answers = max(
            1, min(shards - 1, _ceil_share(policy.hedge_quantile, shards))
        )
        self._quantile_at: float | None = None
        self._missed_target = False

    @property
    def answer_count(self) -> int:
        """Number of shards that have answered."""
        return self._answers

    @property
    def quantile_latency_s(self) -> float | None:
        """Seconds until the early share of the shards had answered, or None."""
        return (
            None if self._quantile_at is None else self._quantile_at - self.started_at
        )

    def is_answered(self, shard: int) -> bool:
        """Tell whether a shard has answered."""
        return self._answered[shard]

    def record_read_start(self, shard: int) -> None:
        """Count a read of a shard that was sent or is about to be sent."""
        self._reads_in_flight[shard] += 1

    def record_answer(self, shard: int, now: float) -> bool:
        """Count an answer; return False when the shard had answered before."""
        self._reads_in_flight[shard] -= 1
        if self._answered[shard]:
            return False
        self._answered[shard] = True
        self._lost_shards.discard(shard)
        self._answers += 1
        if self._answers == self._quantile_answers:
            self._quantile_at = now
        return True

    def needs_decision(self, now: float) -> bool:
        """Tell whether the last answer can change what to do."""
        answers = self._answers
        is_threshold = answers in (self._quantile_answers, self.shards)
        return is_threshold or now >= self.answer_by

    def record_read_failure(self, shard: int) -> None:
        """Count a read that ended without an answer."""
        self._reads_in_flight[shard] -= 1
        self._update_lost_shards(shard)

    def mark_exhausted(self, shard: int) -> None:
        """Note that a shard cannot be read again."""
        self._exhausted[shard] = True
        self._update_lost_shards(shard)

    def mark_hedged(self, shard: int) -> None:
        """Note that a shard was read again, or that it may not be."""
        self._hedged[shard] = True

    def unanswered_shards(self) -> list[int]:
        """Return the shards that have not answered."""
        return [shard for shard in range(self.shards) if not self._answered[shard]]

    def decide(self, now: float) -> GatherDecision:
        """Return what to do at ``now``."""
        end_reason = self._end_reason(now)
        if end_reason is not None:
            return GatherDecision(end_reason, [], now)
        hedge_at = self._hedge_at()
        hedges = []
        if now >= hedge_at:
            hedge_at = float("inf")
            hedges = [
                shard for shard in self.unanswered_shards() if not self._hedged[shard]
            ]
        return GatherDecision(None, hedges, min(hedge_at, self._next_end_at(now)))

    def _end_reason(self, now: float) -> GatherEndReason | None:
        if self._answers == self.shards:
            return GatherEndReason.COMPLETE
        lost = len(self._lost_shards)
        if self.shards - lost < self.required_answers:
            return GatherEndReason.TOO_FEW
        has_enough = self._answers >= self.required_answers
        if has_enough and self._answers + lost == self.shards:
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

    def _update_lost_shards(self, shard: int) -> None:
        is_open = self._answered[shard] or self._reads_in_flight[shard]
        if self._exhausted[shard] and not is_open:
            self._lost_shards.add(shard)

    def _next_end_at(self, now: float) -> float:
        end_times = (self.answer_by, self.late_answer_by, self.deadline)
        return min((time for time in end_times if time > now), default=now)

    def _hedge_at(self) -> float:
        policy = self.policy
        max_hedge_s = policy.max_hedge_target_share * (self.answer_by - self.started_at)
        if self._quantile_at is None:
            # With one shard there are no others to compare it with.
            is_alone = self.shards == 1
            return self.started_at + max_hedge_s if is_alone else float("inf")
        quantile_s = self._quantile_at - self.started_at
        hedge_s = max(policy.min_hedge_s, policy.hedge_factor * quantile_s)
        return self.started_at + min(hedge_s, max(max_hedge_s, quantile_s))


def _ceil_share(share: float, count: int) -> int:
    exact = share * count
    whole = int(exact)
    return whole if exact - whole < SHARE_TOLERANCE * max(1, count) else whole + 1
