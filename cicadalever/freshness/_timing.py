"""Times of the calls that keep a copy of the platform's data current."""

from typing import NamedTuple

from ._grace import MISSING_ENTRY_GRACE_S

# Longest wait that the platform allows for a watch call.
MAX_WATCH_WAIT_S = 30.0
# Least wait of a watch call while the platform answers.
MIN_WATCH_WAIT_S = 0.1
# An unanswered call is given up at this share of the contact time after the last
# answer. The rest is left for a call on a new connection and for a busy host.
GIVE_UP_SHARE = 0.7
# Least time between two watch calls, as a share of the time in which a change must be
# in force. Changes in quick succession are then fetched by one call.
INTERVAL_SHARE = 0.35
# Greatest age of data from another host, and longest hold of a long poll, as shares of
# the same time. The rest is left for asking the platform instead.
MAX_AGE_SHARE = 0.5
LONG_POLL_SHARE = 0.25
MAX_LONG_POLL_S = 0.8
# Time after the end of a long poll after which the source counts as unreachable.
POLL_MARGIN_SHARE = 0.1
MAX_POLL_MARGIN_S = 0.4
# Time for the answer of a slow platform to a host that relays changes to others.
SLOW_ANSWER_S = 0.4
# Bounds of ``AnswerMargin``; it exceeds the greater one only after several time-outs.
MIN_MARGIN_SHARE = 0.125
MIN_MARGIN_RANGE_S = (0.25, 0.5)
MAX_MARGIN_SHARE = 0.3
LEAST_MAX_MARGIN_S = 1.0
# Longest pause between failed calls, before a part of it is added at random, as a share
# of what the grace for missing entries leaves of the contact time.
MAX_BACKOFF_SHARE = 0.4
MAX_BACKOFF_RANGE_S = (0.3, 1.0)
# Time-out for each page of a complete read, and its growth with each time-out in a row:
# a page may be large and the link slow.
READ_TIMEOUT_SHARE = 0.5
READ_TIMEOUT_RANGE_S = (1.0, 2.5)
READ_TIMEOUT_GROWTH = 1.5
LONGEST_READ_TIMEOUT_S = 10.0


class PlannedCall(NamedTuple):
    """Wait of a watch call, and the time after which it is given up, in seconds."""

    wait_s: float
    timeout_s: float


class WatchTiming(NamedTuple):
    """Times of the calls to the platform and to the source, in seconds.

    A connection may fall silent at any time after the last answer, and neither TCP
    keep-alive probes nor the platform tell so. A call is therefore given up
    ``give_up_s`` after the last answer, however late it began: a call on a new
    connection then brings this host up to date before the bounds of the deployment
    apply again.

    >>> timing = WatchTiming.plan(contact_s=4.0, apply_s=3.0, drain_s=3.0)
    >>> call = timing.plan_call(now=11.0, answered_at=10.0, margin_s=0.5)
    >>> round(call.wait_s, 2), round(11.0 + call.timeout_s, 2)
    (1.3, 12.8)
    """

    give_up_s: float
    interval_s: float
    # Greatest age of data from another host that is used.
    max_age_s: float
    # Longest time for which a source holds a poll, and time-out of one.
    long_poll_s: float
    poll_timeout_s: float
    # Bounds of ``AnswerMargin``.
    min_margin_s: float
    max_margin_s: float
    # Time-out for each page of a complete read.
    read_timeout_s: float
    # Longest pause of ``Backoff``.
    max_backoff_s: float

    @property
    def followed_wait_s(self) -> float:
        """Longest wait of a watch call of a host that relays changes to others.

        It is short enough that the data of this host does not become older than
        ``max_age_s`` while nothing changes.
        """
        return max(
            min(MIN_WATCH_WAIT_S, 0.1 * self.max_age_s),
            self.max_age_s - self.interval_s - SLOW_ANSWER_S,
        )

    def plan_read_timeout_s(self, timeouts: int) -> float:
        """Return the time-out of a complete read after ``timeouts`` in a row."""
        patient_s = self.read_timeout_s * READ_TIMEOUT_GROWTH**timeouts
        return min(LONGEST_READ_TIMEOUT_S, patient_s)

    @classmethod
    def plan(cls, contact_s: float, apply_s: float, drain_s: float) -> "WatchTiming":
        """Return the timing for the bounds of a deployment; see ``HostSettings``."""
        bound_s = min(contact_s, apply_s, drain_s)
        long_poll_s = min(MAX_LONG_POLL_S, LONG_POLL_SHARE * bound_s)
        return cls(
            GIVE_UP_SHARE * contact_s,
            INTERVAL_SHARE * bound_s,
            MAX_AGE_SHARE * bound_s,
            long_poll_s,
            long_poll_s + min(MAX_POLL_MARGIN_S, POLL_MARGIN_SHARE * bound_s),
            _clamp(MIN_MARGIN_SHARE * contact_s, *MIN_MARGIN_RANGE_S),
            max(LEAST_MAX_MARGIN_S, MAX_MARGIN_SHARE * contact_s),
            _clamp(READ_TIMEOUT_SHARE * contact_s, *READ_TIMEOUT_RANGE_S),
            _clamp(
                MAX_BACKOFF_SHARE * (contact_s - MISSING_ENTRY_GRACE_S),
                *MAX_BACKOFF_RANGE_S,
            ),
        )

    def plan_call(
        self,
        now: float,
        answered_at: float,
        margin_s: float,
        longest_wait_s: float = MAX_WATCH_WAIT_S,
    ) -> PlannedCall:
        """Return the times of a watch call that begins at ``now``.

        ``margin_s`` is left for its answer after the end of the wait.
        """
        left_s = answered_at + self.give_up_s - margin_s - now
        wait_s = min(MAX_WATCH_WAIT_S, longest_wait_s, max(MIN_WATCH_WAIT_S, left_s))
        return PlannedCall(wait_s, wait_s + margin_s)


def _clamp(value: float, low: float, high: float) -> float:
    return min(high, max(low, value))
