"""The rate limits that replicas have named and not withdrawn."""

from collections.abc import Iterable
from enum import StrEnum
from random import Random
from typing import NamedTuple

from cicadalever.placement import HostCounts

from ._permits import PermitSchedule
from ._share import MIN_LIMIT_PER_S, compute_share

# A limit that no host has confirmed for this long is checked by the next read that has
# a permit, although other replicas could serve it.
CHECK_PERIOD_S = 2.0
# Time between two reports to other hosts that a limit still applies.
REPORT_PERIOD_S = 2.0
# Times after the end of a limit at which it is reported, because datagrams get lost.
END_REPORT_DELAYS_S = (0.0, 1.0, 3.0)
# A report that a limit has ended is ignored for this long after the replica has named
# it to this host: the report may be older.
END_GUARD_S = 0.5
# A limit that only other hosts have reported ends after this time, or the time in which
# the replica accepts ``REPORTED_REQUESTS``, without a further report.
MIN_REPORTED_S = 8.0
REPORTED_REQUESTS = 4.0


class LimitChange(StrEnum):
    """How an answer or a report changed what is known of the limit of a replica."""

    NAMED = "named"
    ENDED = "ended"


class LimitNews(NamedTuple):
    """What a replica has named last: ``limit_per_s``, or None for no limit any more."""

    replica_id: str
    limit_per_s: float | None


class EndedLimit(NamedTuple):
    """A limit that has ended: how long it was known and how often it was read."""

    seconds: float
    reads: int


class _NamedLimit:
    __slots__ = (
        "confirmed_at",
        "is_gathered",
        "limit_per_s",
        "named_at",
        "permits",
        "reads",
        "reported_at",
        "since",
    )

    def __init__(
        self, limit_per_s: float, permits: PermitSchedule, is_gathered: bool, now: float
    ):
        self.limit_per_s = limit_per_s
        self.permits = permits
        self.is_gathered = is_gathered
        self.since = now
        # When this or another host last learned from an answer that the limit applies,
        # when this host did (None: never), and when any host last reported it.
        self.confirmed_at = now
        self.named_at: float | None = None
        self.reported_at = float("-inf")
        # Reads of this host since it knows the limit.
        self.reads = 0


class NamedLimits:
    """The limits of replicas, by id, and this host's permits to read these replicas.

    A replica names its limit in each answer for as long as it applies. What one host
    learns from an answer, it reports to the others, so that not every host has to send
    a request to learn it. Reports can be late or lost: a limit that was named to this
    host ends only with an answer that does not name it or with a report of one, while
    one that was only reported ends by itself. Times are on one monotonic clock in
    seconds.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._limits: dict[str, _NamedLimit] = {}
        self._counts: HostCounts | None = None
        self._is_gatherer = True
        self._is_seed = False
        # Ended limits that are still to be reported, and when.
        self._ends_to_report: list[tuple[float, str]] = []

    def __bool__(self) -> bool:
        """Return whether any replica has a limit."""
        return bool(self._limits)

    def __contains__(self, replica_id: str) -> bool:
        """Return whether a replica has a limit."""
        return replica_id in self._limits

    def __len__(self) -> int:
        return len(self._limits)

    def share_per_s(self, replica_id: str) -> float | None:
        """Return this host's permits per second, or None without a limit."""
        limit = self._limits.get(replica_id)
        return None if limit is None else limit.permits.rate_per_s

    def may_read(self, replica_id: str, now: float) -> bool:
        """Return whether a replica has no limit, or this host has a permit to read."""
        limit = self._limits.get(replica_id)
        return limit is None or limit.permits.is_open(now)

    def needs_check(self, replica_id: str, now: float) -> bool:
        """Return whether a read with a permit should tell if the limit still applies.

        Other replicas serve first, so that a limited one would mostly not be read, and
        the end of its limit would not be noticed.
        """
        limit = self._limits.get(replica_id)
        return (
            limit is not None
            and now - limit.confirmed_at >= CHECK_PERIOD_S
            and limit.permits.is_open(now)
        )

    def expected_wait_s(self, replica_ids: Iterable[str]) -> float:
        """Return the mean time until one of some limited replicas takes a request."""
        total_per_s = sum(
            self._limits[replica_id].limit_per_s
            for replica_id in replica_ids
            if replica_id in self._limits
        )
        return 1.0 / max(MIN_LIMIT_PER_S, total_per_s)

    def divide(
        self,
        counts: HostCounts | None,
        now: float,
        *,
        is_gatherer: bool,
        is_seed: bool = False,
    ) -> None:
        """Use this host's share for a number of hosts, or None if it is not known."""
        known = (self._counts, self._is_gatherer, self._is_seed)
        if (counts, is_gatherer, is_seed) == known:
            return
        self._counts, self._is_gatherer, self._is_seed = counts, is_gatherer, is_seed
        for limit in self._limits.values():
            self._set_rate(limit, now)

    def record_read(self, replica_id: str) -> None:
        """Record that a read is sent to a replica; it uses a permit."""
        limit = self._limits.get(replica_id)
        if limit is not None:
            limit.reads += 1
            limit.permits.take()

    def record_answer(
        self,
        replica_id: str,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
        *,
        is_gathered: bool,
    ) -> LimitChange | None:
        """Record an answer that names ``limit_per_s``, or none (None).

        An answer to a request that was sent before the limit was last confirmed, at
        ``sent_at``, does not end the limit: it may have been computed earlier.
        """
        limit = self._limits.get(replica_id)
        if limit_per_s is None:
            if limit is None or sent_at <= limit.confirmed_at:
                return None
            self._ends_to_report += [
                (now + delay_s, replica_id) for delay_s in END_REPORT_DELAYS_S
            ]
            return LimitChange.ENDED
        change = self._confirm(replica_id, limit_per_s, now, is_gathered)
        self._limits[replica_id].named_at = now
        return change

    def record_report(
        self, news: LimitNews, now: float, *, is_gathered: bool
    ) -> LimitChange | None:
        """Record what another host has learned from an answer of a replica."""
        limit = self._limits.get(news.replica_id)
        if news.limit_per_s is None:
            if limit is None:
                return None
            is_doubtful = (
                limit.named_at is not None and now - limit.named_at < END_GUARD_S
            )
            return None if is_doubtful else LimitChange.ENDED
        change = self._confirm(news.replica_id, news.limit_per_s, now, is_gathered)
        self._limits[news.replica_id].reported_at = now
        return change

    def take_reports(self, now: float) -> list[LimitNews]:
        """Return what other hosts should hear now; it is not returned again soon."""
        news = []
        for replica_id, limit in self._limits.items():
            is_named = limit.named_at is not None and limit.named_at > limit.reported_at
            if is_named and now - limit.reported_at >= REPORT_PERIOD_S:
                limit.reported_at = now
                news.append(LimitNews(replica_id, limit.limit_per_s))
        due = [each for each in self._ends_to_report if each[0] <= now]
        for each in due:
            self._ends_to_report.remove(each)
        ended = {replica_id for _, replica_id in due} - set(self._limits)
        return news + [LimitNews(replica_id, None) for replica_id in sorted(ended)]

    def find_unconfirmed(self, now: float) -> list[str]:
        """Return the replicas whose limit was only reported, and not lately."""
        return [
            replica_id
            for replica_id, limit in self._limits.items()
            if limit.named_at is None
            and now - limit.confirmed_at
            > max(
                MIN_REPORTED_S,
                REPORTED_REQUESTS / max(MIN_LIMIT_PER_S, limit.limit_per_s),
            )
        ]

    def forget(self, replica_id: str, now: float) -> EndedLimit | None:
        """Discard the limit of a replica that withdrew it, restarted or left."""
        limit = self._limits.pop(replica_id, None)
        return None if limit is None else EndedLimit(now - limit.since, limit.reads)

    def _confirm(
        self, replica_id: str, limit_per_s: float, now: float, is_gathered: bool
    ) -> LimitChange | None:
        limit = self._limits.get(replica_id)
        if limit is None:
            rate_per_s = self._share(limit_per_s, is_gathered)
            permits = PermitSchedule(rate_per_s, now, self._rng)
            limit = _NamedLimit(limit_per_s, permits, is_gathered, now)
            self._limits[replica_id] = limit
            return LimitChange.NAMED
        limit.confirmed_at = now
        if (limit_per_s, is_gathered) != (limit.limit_per_s, limit.is_gathered):
            limit.limit_per_s, limit.is_gathered = limit_per_s, is_gathered
            self._set_rate(limit, now)
        return None

    def _set_rate(self, limit: _NamedLimit, now: float) -> None:
        rate_per_s = self._share(limit.limit_per_s, limit.is_gathered)
        limit.permits.set_rate(rate_per_s, now)

    def _share(self, limit_per_s: float, is_gathered: bool) -> float:
        return compute_share(
            limit_per_s,
            self._counts,
            is_gathered=is_gathered,
            is_gatherer=self._is_gatherer,
            is_seed=self._is_seed,
        )
