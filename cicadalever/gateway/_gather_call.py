"""Call that reads all shards of a route and merges their answers."""

from collections.abc import Callable, Collection, Sequence
from functools import partial

from cicadalever.budgets import HeldBytes, HeldKind
from cicadalever.crashes import Admission, AdmissionKind, CanaryReads, CanaryStep
from cicadalever.discovery import ReplicaEntry
from cicadalever.gather import (
    GatherEndReason,
    GatherState,
    ShardAnswer,
    group_by_data_centre,
    merge_top_records,
    shorten_answer,
)
from cicadalever.wire import CallerResponse

from ._answers import NOT_RUN_KINDS, AnswerKind
from ._call import Call, error_response
from ._peers import PeerLink
from ._reads import Read, ReadResult
from ._shard_group import ShardGroup

# Longer lists of signatures are split over several header lines, because receivers
# limit the length of a line.
SIGNATURES_PER_LINE = 60
# Reads that must be overdue, without an answer to any other, before their silence is a
# sign of lost links rather than of slow replicas.
MIN_SILENT_READS = 4
# Time between attempts to read a shard again while the retry budget is used up.
BUDGET_RETRY_S = 0.02
# Growth of the held answers that is reported to the budget of memory. Most queries hold
# less until they end.
REPORT_STEP_BYTES = 16 * 1024


class GatherCall(Call):
    """Reads all shards of a route and merges the answers that arrive in time.

    ``GatherState`` decides when to read a shard again and when to respond. When a
    response was due at the target time, ``on_late`` is called with the seconds by which
    it was late. With a ``link``, hosts of other data centres read the shards whose
    replicas are there (``group_by_data_centre``); without, all reads are direct. A call
    that is itself such a group (``is_group``) reads a part of the shards.
    """

    def __init__(
        self,
        *arguments,
        on_late: Callable[[float], None],
        link: PeerLink | None = None,
        is_group: bool = False,
    ):
        super().__init__(*arguments)
        self._on_late = on_late
        self._is_group = is_group
        self._link = link
        self._attempts = [0] * len(self.route.shards)
        # Whether a read since the last report was not the first one of its shard.
        self._has_extra_attempt = False
        self._groups: set[ShardGroup] = set()
        self._shard_answers: dict[int, ShardAnswer] = {}
        self._group_answers: list[tuple[list[bytes], ShardAnswer]] = []
        self._held = HeldBytes(self.runner.memory, HeldKind.ANSWER, self._on_dropped)
        # Bytes of the answers that wait for the others, and those last reported.
        self._answer_bytes = 0
        self._reported_bytes = 0

    @property
    def attempts(self) -> list[int]:
        """Number of replicas that may have got the read of each shard."""
        return list(self._attempts)

    def start(self, answer_by: float, attempts: Sequence[int] = ()) -> None:
        """Send the first reads; the answer is due at the monotonic time ``answer_by``.

        ``attempts`` is the number of replicas that may have got the read of each shard
        from other hosts. If there are any, each read counts as an extra one.
        """
        route = self.route
        is_repeat = any(attempts)
        self._state = GatherState(
            len(route.shards),
            route.min_shard_share,
            self.request.received_at,
            answer_by,
            self.give_up_at,
        )
        self._tried: list[set[str]] = [set() for _ in route.shards]
        self._attempts = list(attempts) or [0] * len(route.shards)
        # Shards to be read again, with the cause, and shards without a read so far.
        self._awaiting: dict[int, str] = {}
        self._unread: set[int] = set()
        # Replicas that were chosen for the first reads when the groups were formed.
        self._chosen_replicas: dict[int, ReplicaEntry] = {}
        self._may_have_run = is_repeat
        # Result of a read that ends before ``ReadRunner.start`` returns.
        self._synchronous_result: ReadResult | None = None
        self._is_repeat = is_repeat
        self._is_starting = False
        admission = self._admit()
        if admission.kind is AdmissionKind.REFUSED:
            self._end_crashing(admission)
            return
        if is_repeat and self._end_if_exhausted():
            return
        if not is_repeat and self._refuse_if_held_off():
            return
        self._overdue_at, self._was_overdue = float("inf"), False
        self._overdue_s = self.runner.selector.overdue_s(route.name)
        self._sent_at = self.loop.now()
        self._unread = set(range(len(route.shards)))
        is_suspect = admission.kind is not AdmissionKind.FREE
        # The host that asks for a group of shards has sent a canary if it had to.
        is_informed = self._is_group or self.runner.guard.is_informed
        self._canaries = CanaryReads(
            is_suspect=is_suspect,
            needs_survival=is_repeat or not is_informed,
        )
        if not self._canaries.is_holding:
            self._start_unread()
        elif not is_repeat:
            self._prepare_held()
        if not self.is_ended:
            self._advance(self.loop.now())

    def _start_unread(self) -> None:
        """Send the first read of each shard that has none."""
        unread, self._unread = self._unread, set()
        if not unread:
            return
        self._is_starting = True
        grouped = set() if self._is_repeat else self._start_groups(unread)
        for shard in sorted(unread - grouped):
            if not self._start_shard(shard) and shard not in self._awaiting:
                self._state.mark_exhausted(shard)
        self._is_starting = False
        self._sent_at = self.loop.now()
        waiting = len(self._awaiting)
        if (
            self._is_repeat
            and len(self.route.shards) - waiting < self._state.required_answers
        ):
            # The budget for repeated reads recovers too slowly for this request. The
            # caller can try another host.
            self._end(error_response(502), "no_budget", unread=waiting)
            return
        self._overdue_at = self._sent_at + self._overdue_s

    def _start_shard(self, shard: int) -> bool:
        """Send the first read of a shard by this host; return whether it was sent."""
        if self._is_repeat:
            return self._read_again(shard, "repeat")
        self.runner.retry_budget.earn(self.route.shards[shard])
        return self._read(shard)

    def _prepare_held(self) -> None:
        """Choose the replicas of the held reads, and connect to them meanwhile.

        Shards of other data centres may be read by a host there.
        """
        own = self.runner.selector.data_centre
        for shard, service in enumerate(self.route.shards):
            replica = self.runner.choose_replica(service, self.route, ())
            if replica is not None:
                self._chosen_replicas[shard] = replica
                if self._link is None or replica.data_centre == own:
                    self.runner.connect_to(replica, self.table)

    def _handle_held(self, now: float) -> None:
        """Send, drop or keep the reads that wait for the end of a canary read."""
        admission = self._admit()
        step = self._canaries.decide(admission, now)
        if step is CanaryStep.RELEASE:
            self._canaries.release()
            self._start_unread()
        elif step is CanaryStep.SEND and not self._send_canary(admission):
            self._drop_held()
        elif step is CanaryStep.DROP:
            is_refused = admission.kind is AdmissionKind.REFUSED
            if is_refused and not (self._may_have_run or self._reads):
                self._end_crashing(admission)
            else:
                self._drop_held()

    def _drop_held(self) -> None:
        """Send none of the reads that wait."""
        self._canaries.release()
        for shard in self._unread.union(self._awaiting):
            self._state.mark_exhausted(shard)
        self._unread.clear()
        self._awaiting.clear()

    def _send_canary(self, admission: Admission) -> bool:
        """Read one of the shards that wait, if one can be read.

        The first choice is one whose replicas the query may have crashed: a replica
        that survives it shows that it does not. Among others it is random, since a slow
        one would delay all queries.
        """
        rng = self.runner.selector.rng
        order = {service: number for number, service in enumerate(admission.services)}
        shards = self.route.shards
        held = sorted(
            self._unread.union(self._awaiting),
            key=lambda shard: (order.get(shards[shard], len(order)), rng.random()),
        )
        for shard in held:
            is_first = shard in self._unread and not self._is_repeat
            cause = self._awaiting.get(shard, "repeat")
            if is_first and self._read(shard):
                self.runner.retry_budget.earn(shards[shard])
            elif is_first or not self._read_again(shard, cause, is_held=False):
                continue
            self._unread.discard(shard)
            return True
        return False

    def _refuse_if_held_off(self) -> bool:
        """Refuse the query if too many shards may not be read; return whether it was.

        Otherwise the shards that can be read would be read in vain.
        """
        if not (self.runner.limits or self.runner.notices):
            return False
        services = self.route.shards
        unreadable = [
            each for each in services if not self.runner.can_read(each, self.route)
        ]
        may_lack = len(services) - self._state.required_answers
        if len(unreadable) <= may_lack:
            return False
        refusal = self.runner.find_refusal(unreadable, self.route, may_lack)
        if refusal is None:
            return False
        self._end(
            self._refusal(refusal),
            refusal.reason,
            missing=len(unreadable),
            missing_services=unreadable[:8],
            is_group=self._is_group,
        )
        return True

    def _end_if_exhausted(self) -> bool:
        """End the query if no attempt is left for too many shards.

        The other shards would be read in vain. Return whether the query has ended.
        """
        most = self.route.max_attempts
        exhausted = sum(count >= most for count in self._attempts)
        if len(self._attempts) - exhausted >= self._state.required_answers:
            return False
        self._end(error_response(502), "no_attempts", exhausted=exhausted)
        return True

    @property
    def missing_shards(self) -> list[int]:
        """Shards that have not answered."""
        return self._state.unanswered_shards()

    def _start_groups(self, unread: Collection[int]) -> set[int]:
        """Send groups of shards to hosts of other data centres; return these shards."""
        if self._link is None:
            return set()
        fellows = self._link.fellows_by_data_centre(self.table.version)
        if not fellows:
            return set()
        for shard in unread:
            service = self.route.shards[shard]
            replica = self.runner.choose_replica(service, self.route, ())
            if replica is not None:
                self._chosen_replicas[shard] = replica
        data_centre_of = {
            shard: replica.data_centre
            for shard, replica in self._chosen_replicas.items()
            if shard in unread
        }
        own = self.runner.selector.data_centre
        groups = group_by_data_centre(data_centre_of, own, fellows)
        for data_centre, shards in groups.items():
            self._state.delegate(shards)
            for shard in shards:
                self._attempts[shard] += 1
            group = ShardGroup(self, self._link, fellows[data_centre], shards)
            self._groups.add(group)
            group.start(self._state.answer_by)
        return {shard for shards in groups.values() for shard in shards}

    def group_ended(
        self,
        group: ShardGroup,
        signatures: list[bytes],
        missing: list[int],
        records: bytes,
    ) -> None:
        """Add the answer of a group, which lacks the ``missing`` shards.

        The other host has hedged these, so that no attempt is left for them.
        """
        now = self.loop.now()
        self._groups.discard(group)
        self._may_have_run = True
        answer = shorten_answer(ShardAnswer("", "", records), self.route.top_records)
        self._group_answers.append((signatures, answer))
        self._hold(len(answer.records) + sum(map(len, signatures)))
        lacking = set(missing)
        for shard in group.shards:
            if shard in lacking:
                self._give_up_group_shard(shard)
            else:
                self._state.record_answer(shard, now)
        self._advance(now)

    def group_failed(
        self, group: ShardGroup, reason: str, *, may_have_begun: bool
    ) -> None:
        """Read the shards of a group directly, because its host did not.

        A host that has acknowledged the group may have hedged it, so that no attempt is
        left for its shards.
        """
        self._groups.discard(group)
        self._may_have_run = self._may_have_run or may_have_begun
        self.runner.events.emit_detail(
            "group_failed",
            id=self.outbound.request_id,
            host=group.peer.heartbeat.host,
            shards=len(group.shards),
            reason=reason,
        )
        if group.is_acknowledged:
            for shard in group.shards:
                self._give_up_group_shard(shard)
            self._advance(self.loop.now())
            return
        self._state.reclaim(group.shards)
        chosen = [self._chosen_replicas.pop(shard) for shard in group.shards]
        if reason != "declined":
            # What keeps this host from the other one mostly keeps it from the replicas
            # there as well.
            self.runner.avoid_late([replica.id for replica in chosen])
        self._is_starting = True
        for shard in group.shards:
            if may_have_begun:
                has_read = self._read_again(shard, "repeat")
            else:
                self._attempts[shard] -= 1
                self.runner.retry_budget.earn(self.route.shards[shard])
                has_read = self._read(shard)
            if not has_read and shard not in self._awaiting:
                self._state.mark_exhausted(shard)
        self._is_starting = False
        self._advance(self.loop.now())

    def record_group_attempts(
        self, group: ShardGroup, attempts: Sequence[int] | None
    ) -> None:
        """Record how many replicas may have got the read of each shard of a group.

        None means that the other host does not tell, so that it may have used them all.
        """
        if attempts is None:
            attempts = [self.route.max_attempts] * len(group.shards)
        for shard, count in zip(group.shards, attempts, strict=True):
            if count > max(1, self._attempts[shard]):
                self._attempts[shard] = count
                self._has_extra_attempt = True
        self._report_attempts()

    def _report_attempts(self) -> None:
        has_extra_attempt, self._has_extra_attempt = self._has_extra_attempt, False
        if has_extra_attempt and self.on_extra_attempt is not None:
            self.on_extra_attempt()

    def _give_up_group_shard(self, shard: int) -> None:
        self._attempts[shard] = self.route.max_attempts
        self._has_extra_attempt = True
        self._state.record_read_failure(shard)
        self._state.mark_exhausted(shard)

    def hand_over_unanswered(self, lost_since: float, *, is_cut_off: bool) -> None:
        """Let another host gather the query if no replica has answered this host.

        While that is only suspected, the answers must be overdue.
        """
        is_overdue = self.loop.now() >= self._overdue_at or self._was_overdue
        if not self._shard_answers and (is_cut_off or is_overdue):
            self._try_hand_over(self._attempts_for_handover())

    def _attempts_for_handover(self) -> list[int]:
        # The services have earned their share of the retry budget here, so that each
        # read of the other host is an extra one.
        return [max(1, count) for count in self._attempts]

    def _read(self, shard: int) -> bool:
        replica = self._chosen_replicas.pop(shard, None)
        if replica is None or not self.runner.may_still_read(replica, self.route):
            service = self.route.shards[shard]
            replica = self.runner.choose_replica(
                service, self.route, self._tried[shard]
            )
        if replica is None:
            return False
        self._tried[shard].add(replica.id)
        self._attempts[shard] += 1
        self._has_extra_attempt = self._has_extra_attempt or self._attempts[shard] > 1
        self._state.record_read_start(shard)
        is_holding = self._canaries.is_holding
        is_canary = is_holding or self._admit().kind is not AdmissionKind.FREE
        if is_canary:
            self._canaries.record_start(self.loop.now(), self._overdue_s)
        if is_holding:
            self._begin_canary()
        read = self.runner.start(
            replica,
            self.outbound,
            self.route,
            self.table,
            partial(self.run_or_abort, self._on_read_end),
            is_canary=is_canary,
        )
        if read.on_end is not None:
            self._reads[read] = shard
        else:
            self._handle_result(shard, self._synchronous_result)
        return True

    def _read_again(
        self, shard: int, cause: str, *, is_extra: bool = True, is_held: bool = True
    ) -> bool:
        """Read a shard from another replica, if attempts and retry budget remain.

        Return whether a read was started. A read that replaces one that was never sent
        is not extra. Without budget, or while a canary read decides about the others,
        the shard is tried again later, unless the read ``is_held`` no more.
        """
        if self._canaries.has_lost:
            return False
        if self._canaries.is_holding and is_held:
            self._awaiting.setdefault(shard, cause)
            return False
        service = self.route.shards[shard]
        has_attempts = self._attempts[shard] < self.route.max_attempts
        is_hedge = cause == "hedge"
        if not has_attempts or not self._has_untried_replica(shard, is_hedge=is_hedge):
            return False
        if is_extra and not self.runner.try_spend(service):
            self._awaiting.setdefault(shard, cause)
            return False
        self._awaiting.pop(shard, None)
        self.runner.metrics.extra_read(cause)
        if cause == "hedge":
            self.hedges += 1
        else:
            self.retries += 1
        return self._read(shard)

    def _has_untried_replica(self, shard: int, *, is_hedge: bool = False) -> bool:
        service, tried = self.route.shards[shard], self._tried[shard]
        return self.runner.can_read(service, self.route, tried, is_hedge=is_hedge)

    def _on_read_end(self, read: Read, result: ReadResult) -> None:
        shard = self._reads.pop(read, None)
        if shard is None:
            self._synchronous_result = result
            return
        self._handle_result(shard, result)
        if self._is_starting or self.is_ended:
            return
        now = self.loop.now()
        if (
            result.kind is not AnswerKind.SUCCESS
            or result.is_canary
            or self._state.needs_decision(now)
        ):
            self._advance(now)

    def _handle_result(self, shard: int, result: ReadResult) -> None:
        self._observe(result)
        self._observe_loss(result)
        if result.kind is AnswerKind.SUCCESS:
            self._add_shard_answer(shard, result)
            return
        self._state.record_read_failure(shard)
        # A read that did not run does not count as an attempt.
        if result.kind in NOT_RUN_KINDS:
            self._attempts[shard] -= 1
        else:
            self._may_have_run = True
        if self._state.is_answered(shard) or shard in self._reads.values():
            return
        is_extra = result.kind is not AnswerKind.NOT_SENT
        has_read = self._read_again(shard, "retry", is_extra=is_extra)
        if not has_read and shard not in self._awaiting:
            self._state.mark_exhausted(shard)

    def _observe_loss(self, result: ReadResult) -> None:
        """Hold further reads if the query may crash replicas."""
        if result.is_canary:
            self._canaries.record_end(has_run=result.kind not in NOT_RUN_KINDS)
            if result.kind is AnswerKind.SUCCESS:
                self._canaries.record_survival()
        if result.is_lost:
            self._canaries.record_loss(is_canary=result.is_canary)

    def _add_shard_answer(self, shard: int, result: ReadResult) -> None:
        self._may_have_run = True
        if not self._state.record_answer(shard, self.loop.now()):
            return
        self._awaiting.pop(shard, None)
        signature = result.answer.header(self.runner.names.signature).decode("latin-1")
        answer = ShardAnswer(self.route.shards[shard], signature, result.answer.body)
        answer = shorten_answer(answer, self.route.top_records)
        self._shard_answers[shard] = answer
        self._hold(len(answer.records) + len(signature))

    def _hold(self, size: int) -> None:
        """Count an answer that waits for those of other shards."""
        self._answer_bytes += size
        if self._answer_bytes - self._reported_bytes >= REPORT_STEP_BYTES:
            self._reported_bytes = self._answer_bytes
            self._held.set(self._answer_bytes)

    def _on_dropped(self) -> None:
        # Called while another holder receives.
        self.loop.call_later(0.0, self.run_or_abort, self._end_dropped)

    def _end_dropped(self) -> None:
        """Respond with what has arrived, if that is enough."""
        if self.is_ended:
            return
        if self._state.answer_count >= self._state.required_answers:
            self._finish(GatherEndReason.NOTHING_LEFT)
        else:
            self._end(error_response(502), "no_memory", answer_bytes=self._answer_bytes)

    def _on_timer(self) -> None:
        self._advance(self.loop.now())

    def _close(self, detail: str) -> None:
        super()._close(detail)
        self._shard_answers.clear()
        self._group_answers.clear()
        self._held.set(0)
        # The former one refers to the call, so that it would keep the request.
        self._held = HeldBytes(self.runner.memory, HeldKind.ANSWER)
        for group in self._groups:
            group.cancel(detail)
        self._groups.clear()

    def _advance(self, now: float) -> None:
        if not self.is_ended and self._canaries.is_holding:
            self._handle_held(now)
        if self.is_ended:
            return
        decision = self._state.decide(now)
        # A hedge may fail immediately and change the decision.
        while decision.end_reason is None and (decision.hedges or self._awaiting):
            for shard in set(decision.hedges).union(self._awaiting):
                self._state.mark_hedged(shard)
                is_hedge = shard in decision.hedges
                cause = "hedge" if is_hedge else self._awaiting.get(shard, "retry")
                self._read_again(shard, cause)
                if not self._can_read_again(shard):
                    self._state.mark_exhausted(shard)
            decision = self._state.decide(now)
            if not decision.hedges:
                break
        self._report_attempts()
        if decision.end_reason is not None:
            self._finish(decision.end_reason)
            return
        wake_at = decision.wake_at
        if now >= self._overdue_at:
            self._overdue_at = float("inf")
            self._was_overdue = True
            self.runner.report_overdue(self._reads, self._overdue_s)
            if not self._shard_answers and len(self._reads) >= MIN_SILENT_READS:
                self.runner.on_silence(self._sent_at)
        wake_at = min(wake_at, self._overdue_at)
        if self._canaries.is_holding:
            wake_at = min(wake_at, self._canaries.due_at)
        elif self._awaiting:
            wake_at = min(wake_at, now + BUDGET_RETRY_S)
        self._set_timer(wake_at)

    def _can_read_again(self, shard: int) -> bool:
        if self._canaries.has_lost:
            return False
        has_attempts = self._attempts[shard] < self.route.max_attempts
        return has_attempts and self._has_untried_replica(shard)

    def _finish(self, end_reason: GatherEndReason) -> None:
        missing = [
            self.route.shards[shard] for shard in self._state.unanswered_shards()
        ]
        fields = {
            "shards": self._state.shards,
            "missing": len(missing),
            "missing_services": missing[:8],
            "reads_open": len(self._reads),
            "groups": len(self._group_answers),
            "is_group": self._is_group,
            "sent_ms": _milliseconds(self._sent_at - self.request.received_at),
            "early_ms": _milliseconds(self._state.quantile_latency_s),
        }
        if (
            end_reason is GatherEndReason.TOO_FEW
            and not self._canaries.has_lost
            and self._try_hand_over(self._attempts_for_handover())
        ):
            return
        if end_reason in (GatherEndReason.TOO_FEW, GatherEndReason.TIMED_OUT):
            self._end(self._failure(end_reason), end_reason, **fields)
            return
        self._end(self._success(len(missing)), end_reason, **fields)
        if end_reason is GatherEndReason.ENOUGH_AT_TARGET:
            self._on_late(self.loop.now() - self._state.answer_by)

    def _failure(self, end_reason: GatherEndReason) -> CallerResponse:
        if end_reason is GatherEndReason.TIMED_OUT:
            return error_response(504)
        if self._may_have_run or self._reads or self._groups:
            return error_response(502)
        unanswered = [self.route.shards[each] for each in self.missing_shards]
        return self._refusal(self.runner.find_refusal(unanswered, self.route))

    def _success(self, missing: int) -> CallerResponse:
        names = self.runner.names
        answers = list(self._shard_answers.values())
        signatures = [answer.signature.encode("latin-1") for answer in answers]
        for group_signatures, answer in self._group_answers:
            signatures += group_signatures
            answers.append(answer)
        headers = [
            (names.request_id, self.outbound.request_id),
            (names.missing_shards, b"%d" % missing),
        ]
        for start in range(0, len(signatures), SIGNATURES_PER_LINE):
            line = b", ".join(signatures[start : start + SIGNATURES_PER_LINE])
            headers.append((names.signatures, line))
        body = merge_top_records(answers, self.route.top_records)
        return CallerResponse(200, headers, body)


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
