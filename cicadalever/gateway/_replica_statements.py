"""What replicas say of themselves in their answers: rate limits, pauses, departure."""

import time
from collections.abc import Callable, Container, Iterable

from cicadalever.discovery import ReplicaEntry, UpstreamDirectory
from cicadalever.notices import (
    Incarnation,
    ReplicaNotices,
    decode_leaving,
    parse_pause,
)
from cicadalever.outcomes import Failure
from cicadalever.ratelimits import (
    LimitChange,
    LimitNews,
    NamedLimits,
    parse_rate_limit,
)
from cicadalever.wire import EventLoop, ReplicaAnswer

from ._answers import AnswerKind
from ._events import EventLog
from ._metrics import GatewayMetrics
from ._outbound import PEER_LEAVING

# Kinds of answers that end the limit of a replica if they do not name it: those that
# it has computed.
_UNLIMITED_KINDS = frozenset((AnswerKind.SUCCESS, AnswerKind.FAILURE))


class ReplicaStatements:
    """Records what replicas say of themselves, to this host or to another one.

    ``withdraw_waiting`` is called with the id of a replica that wants no requests now,
    and why.
    """

    def __init__(
        self,
        loop: EventLoop,
        directory: UpstreamDirectory,
        events: EventLog,
        metrics: GatewayMetrics,
        limits: NamedLimits,
        notices: ReplicaNotices,
        withdraw_waiting: Callable[[str, str], None],
    ):
        self.loop = loop
        self.directory = directory
        self.events = events
        self.metrics = metrics
        self.limits = limits
        self.notices = notices
        self.withdraw_waiting = withdraw_waiting
        # Services that the configuration in force names as shards.
        self.gathered_services: Container[str] = frozenset()

    def observe_limit(
        self, replica: ReplicaEntry, kind: AnswerKind, answer, sent_at: float
    ) -> None:
        """Record whether a replica names a rate limit in an answer.

        ``sent_at`` is the monotonic time in seconds at which its request was sent.
        """
        value = answer.rate_limit
        is_unlimited = value is None and kind in _UNLIMITED_KINDS and self.limits
        if kind is AnswerKind.WRONG_REPLICA or not (value or is_unlimited):
            return
        if replica.id not in self.directory:
            # Its limit would never end.
            return
        limit_per_s = None if value is None else parse_rate_limit(value)
        if isinstance(limit_per_s, Failure):
            self.events.emit_detail(
                "limit_unreadable", replica=replica.id, reason=limit_per_s.reason
            )
            return
        change = self.limits.record_answer(
            replica.id,
            limit_per_s,
            sent_at,
            self.loop.now(),
            is_gathered=replica.service in self.gathered_services,
        )
        if change is LimitChange.NAMED:
            self._log_limit(replica, limit_per_s, "answer")
        elif change is LimitChange.ENDED:
            self.end_limit(replica, "not named any more")

    def observe_notices(self, replica: ReplicaEntry, answer: ReplicaAnswer) -> None:
        """Record whether a replica has said that it leaves or needs a pause."""
        if answer.is_leaving:
            incarnation = Incarnation(replica.id, replica.started_at_ms)
            self._hold_off_leaving(incarnation, "answer")
        if answer.retry_after is None:
            return
        pause_s = parse_pause(answer.retry_after)
        if isinstance(pause_s, Failure):
            self.events.emit_detail(
                "pause_unreadable", replica=replica.id, reason=pause_s.reason
            )
        elif self.notices.record_pause(replica, pause_s, self.loop.now()):
            self.metrics.replica_held_off("paused")
            self.events.emit(
                "replica_paused",
                replica=replica.id,
                service=replica.service,
                seconds=pause_s,
            )
            self.withdraw_waiting(replica.id, "the replica pauses")

    def record_leaving_report(
        self, host: str, answer: ReplicaAnswer
    ) -> list[Incarnation]:
        """Record and return the replicas that a peer names as leaving in its answer."""
        named = [
            incarnation
            for name, value in answer.headers
            if name == PEER_LEAVING
            for incarnation in decode_leaving(value)
        ]
        for incarnation in named:
            self._hold_off_leaving(incarnation, host)
        return named

    def _hold_off_leaving(self, incarnation: Incarnation, source: str) -> None:
        unix_ms = int(time.time() * 1000)
        if not self.notices.record_leaving(incarnation, self.loop.now(), unix_ms):
            return
        replica = self.directory.get(incarnation.id)
        self.notices.record_entry(incarnation.id, replica)
        self.metrics.replica_held_off("leaving")
        self.events.emit(
            "replica_leaving",
            replica=incarnation.id,
            service=replica.service if replica is not None else None,
            source=source,
        )
        if replica is not None and replica.started_at_ms == incarnation.started_at_ms:
            self.withdraw_waiting(incarnation.id, "the replica is leaving")

    def record_limit_reports(self, host: str, reports: Iterable[LimitNews]) -> None:
        """Record what another host has learned about limits from answers."""
        for news in reports:
            replica = self.directory.get(news.replica_id)
            if replica is None:
                continue
            change = self.limits.record_report(
                news,
                self.loop.now(),
                is_gathered=replica.service in self.gathered_services,
            )
            if change is LimitChange.NAMED:
                self._log_limit(replica, news.limit_per_s, host)
            elif change is LimitChange.ENDED:
                self.end_limit(replica, f"reported by {host}")

    def end_unconfirmed_limits(self) -> None:
        """End the limits that other hosts have reported, but not lately."""
        for replica_id in self.limits.find_unconfirmed(self.loop.now()):
            self.end_limit(self.directory.get(replica_id), "not reported any more")

    def _log_limit(self, replica: ReplicaEntry, limit_per_s: float, source: str):
        self.events.emit(
            "limit_named",
            replica=replica.id,
            service=replica.service,
            limit_per_s=limit_per_s,
            share_per_s=round(self.limits.share_per_s(replica.id), 4),
            source=source,
        )

    def end_limit(self, replica: ReplicaEntry, reason: str) -> None:
        """Log the end of a rate limit, unless the replica had none."""
        ended = self.limits.forget(replica.id, self.loop.now())
        if ended is not None:
            self.events.emit(
                "limit_ended",
                replica=replica.id,
                service=replica.service,
                reason=reason,
                seconds=round(ended.seconds, 2),
                reads=ended.reads,
            )
