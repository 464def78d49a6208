"""Admission control of queries on the entry."""

from collections.abc import Hashable
from enum import StrEnum
from random import Random

from cicadalever.outcomes import Failure, FailureCode

from ._queue import RankQueue
from ._rank import Rank

DECREASE_FACTOR = 0.8
MIN_WINDOW = 1.0
# Weight of the latest query in the moving average of durations.
DURATION_WEIGHT = 0.1

# Minimum time between two decreases of a window, which is otherwise the expected
# duration of a query. Queries that owners refuse at once finish within a millisecond,
# and would shrink the window to its minimum before any query completes.
MIN_DECREASE_INTERVAL_S = 0.01

# Share of the queries that are admitted although they are expected to miss their
# deadline. If none were, an estimate above every deadline would never be corrected.
PROBE_PROBABILITY = 0.05


class Decision(StrEnum):
    """Whether an offered query that is not refused may run now or has to wait."""

    ADMIT = "admit"
    WAIT = "wait"


class _RankState:
    """Window, running queries and waiting queries of one rank.

    ``expected_duration_s`` is the moving average of the seconds that a query runs, 0
    before the first has finished. ``decreased_at`` is the time of the last decrease of
    the window.
    """

    __slots__ = ("decreased_at", "expected_duration_s", "queue", "running", "window")

    def __init__(self, window: float, max_queue: int):
        self.window = window
        self.queue = RankQueue({}, max_queue)
        self.running = 0
        self.expected_duration_s = 0.0
        self.decreased_at = float("-inf")

    def has_room(self) -> bool:
        return self.running + 1 <= self.window

    def expected_wait_s(self) -> float:
        """Return the seconds that a query which is queued now is expected to wait."""
        return (len(self.queue) + 1) * self.expected_duration_s / self.window

    def latest_missed_deadline(self, now: float) -> float:
        """Return the latest deadline that a query started now is expected to miss.

        When no query is running, it is ``now``: otherwise a wrong expected duration
        could lead to the refusal of every query and would never be corrected.
        """
        return now + self.expected_duration_s if self.running else now


class AdmissionControl:
    """A window of running queries and a bounded queue for each rank.

    The window is the number of queries of the rank that may run at once. It shrinks by
    a fifth when a query that was admitted after the last decrease ends congested, at
    most once in the expected duration of a query. While it is fully used, it grows by
    one for each window of queries that are not congested. ``initial_window`` and
    ``max_window`` are at least 1. At most ``max_queue`` queries of each rank wait.

    The caller runs an admitted query and then calls ``finish``. It calls
    ``next_ready`` after each ``finish`` and periodically.
    """

    def __init__(
        self, *, initial_window: float, max_window: float, max_queue: int, rng: Random
    ):
        if not MIN_WINDOW <= initial_window <= max_window:
            raise ValueError(
                f"windows must be {MIN_WINDOW} <= initial_window <= max_window,"
                f" got {initial_window}, {max_window}"
            )
        self.initial_window = initial_window
        self.max_window = max_window
        self.max_queue = max_queue
        self.rng = rng
        self._states = [_RankState(float(initial_window), max_queue) for _ in Rank]

    @property
    def windows(self) -> dict[Rank, float]:
        """The number of queries of each rank that may run at once."""
        return {rank: self._states[rank].window for rank in Rank}

    @property
    def running(self) -> dict[Rank, int]:
        """The number of admitted queries of each rank that have not finished."""
        return {rank: self._states[rank].running for rank in Rank}

    @property
    def waiting(self) -> dict[Rank, int]:
        """The number of waiting queries of each rank."""
        return {rank: len(self._states[rank].queue) for rank in Rank}

    def offer(
        self, key: Hashable, rank: Rank, deadline: float, now: float
    ) -> Decision | Failure:
        """Admit a query, queue it, or refuse it.

        ``deadline`` is in seconds, as ``now``. The code of a refusal is ``DEADLINE`` if
        the query cannot finish in time even without waiting, ``OVERLOAD`` if the wait
        is too long or the queue is full, and ``DUPLICATE_ID`` if ``key`` is already
        waiting.
        """
        state = self._states[rank]
        if deadline <= now:
            return Failure(FailureCode.DEADLINE, "deadline has passed")
        if state.has_room() and not state.queue:
            return self._admit(state, deadline, now)
        wait_s = state.expected_wait_s()
        if now + wait_s + state.expected_duration_s > deadline:
            reason = f"expected wait is {wait_s:.3f} s"
            return Failure(FailureCode.OVERLOAD, reason)
        refusal = state.queue.push(key, None, rank=rank, deadline=deadline, now=now)
        return Decision.WAIT if refusal is None else refusal

    def finish(
        self, rank: Rank, *, congested: bool, elapsed_s: float, now: float
    ) -> None:
        """Record the end of an admitted query and adapt the window of its rank.

        ``congested`` tells that owners refused or delayed reads of the query, or did
        not answer them before its deadline. ``elapsed_s`` is the time in seconds since
        the query was admitted.
        """
        state = self._states[rank]
        if state.running == 0:
            raise RuntimeError(f"finish without an admitted query of rank {rank.name}")
        was_fully_used = not state.has_room()
        state.running -= 1
        if congested:
            self._decrease(state, elapsed_s, now)
            return
        if not state.expected_duration_s:
            state.expected_duration_s = elapsed_s
        state.expected_duration_s += DURATION_WEIGHT * (
            elapsed_s - state.expected_duration_s
        )
        if was_fully_used:
            state.window = min(self.max_window, state.window + 1.0 / state.window)

    def next_ready(self, now: float) -> list[tuple[Hashable, Decision | Failure]]:
        """Return the waiting queries that are now admitted or refused."""
        ready = []
        for state in self._states:
            if not state.queue:
                continue
            missed_deadline = state.latest_missed_deadline(now)
            for entry in state.queue.take_expired(missed_deadline):
                reason = f"waited {now - entry.queued_at:.3f} s"
                ready.append((entry.key, Failure(FailureCode.DEADLINE, reason)))
            while state.queue and state.has_room():
                state.running += 1
                ready.append((state.queue.pop(missed_deadline).key, Decision.ADMIT))
        return ready

    def cancel(self, key: Hashable) -> bool:
        """Remove a waiting query; return False if ``key`` is not waiting."""
        return any(state.queue.remove(key) for state in self._states)

    def _admit(
        self, state: _RankState, deadline: float, now: float
    ) -> Decision | Failure:
        is_late = now + state.expected_duration_s > deadline and state.running > 0
        if is_late and self.rng.random() >= PROBE_PROBABILITY:
            reason = f"a query takes {state.expected_duration_s:.3f} s"
            return Failure(FailureCode.DEADLINE, reason)
        state.running += 1
        return Decision.ADMIT

    def _decrease(self, state: _RankState, elapsed_s: float, now: float) -> None:
        started_at = now - elapsed_s
        min_interval_s = max(state.expected_duration_s, MIN_DECREASE_INTERVAL_S)
        if started_at < state.decreased_at or now < state.decreased_at + min_interval_s:
            return
        state.window = max(MIN_WINDOW, state.window * DECREASE_FACTOR)
        state.decreased_at = now
