"""Call whose request is processed by another host."""

from collections.abc import Callable, Sequence
from functools import partial

from cicadalever.gather import decode_attempts
from cicadalever.peers import Peer
from cicadalever.wire import (
    AnswerFault,
    CallerResponse,
    Exchange,
    Header,
    ReplicaAnswer,
    is_hop_by_hop,
)

from ._answers import NOT_RUN_STATUSES
from ._call import LAST_READ_S, Call, error_response
from ._outbound import PEER_LEAVING, PEER_REFUSAL, PEER_SHARD_ATTEMPTS
from ._peers import (
    PROGRESS_PERIOD_S,
    STATUS_DECLINED,
    STATUS_LOST_UPSTREAMS,
    PeerLink,
)

# Without an acknowledgement within this time, this host gathers the query itself: at
# least ``MIN_ACKNOWLEDGE_S``, or a share of the time until the answer is due. A round
# trip inside a data centre takes 0.2 ms, and a busy event loop delays the
# acknowledgement by a few milliseconds. Gathering again costs the retry budget.
MIN_ACKNOWLEDGE_S = 0.015
ACKNOWLEDGE_SHARE = 0.25
# Time between two checks whether the gatherer is alive.
LIVENESS_CHECK_S = 0.1
# A gatherer without a heartbeat still counts as alive for this long after it has last
# reported progress on the connection of the query: heartbeats are datagrams, which a
# link may lose while the query goes on.
SILENCE_TIMEOUT_S = 2.5 * PROGRESS_PERIOD_S


class DelegatedCall(Call):
    """Forwards a request to another host, and its response to the caller.

    If the peer declines or fails, ``fall_back`` is called instead of ``on_end``: with
    ``attempts`` if the peer may already have sent reads, and with None otherwise.
    ``service`` is that of a request without shards, and ``attempts`` the number of
    replicas that may have got the request before, for each shard. ``is_handed_over``
    tells that this host cannot read itself.
    """

    def __init__(
        self,
        *arguments,
        link: PeerLink,
        fall_back: Callable[[list[int] | None], None],
        service: str | None = None,
        attempts: Sequence[int] = (),
        is_handed_over: bool = False,
    ):
        super().__init__(*arguments)
        self._is_handed_over = is_handed_over
        self._link = link
        self._call_fall_back = fall_back
        self._service = service
        self._attempts = list(attempts) or [0] * max(1, len(self.route.shards))
        # What the peer has reported last, which includes ``attempts``.
        self._reported_attempts: list[int] | None = None
        self._is_acknowledged = False
        # Whether the time for the acknowledgement, or the last report, has passed. What
        # has arrived meanwhile is read before the peer is given up.
        self._is_overdue = False

    @property
    def attempts(self) -> list[int]:
        """Number of replicas that may have got the request, for each shard.

        A peer that has acknowledged the request reports each attempt beyond the first
        one for a shard. If it does not, it may have used them all.
        """
        if not self._is_acknowledged:
            return [count + 1 for count in self._attempts]
        if self._reported_attempts is None:
            return [self.route.max_attempts] * len(self._attempts)
        known = zip(self._attempts, self._reported_attempts, strict=True)
        return [max(1, *counts) for counts in known]

    def start(self, peer: Peer, answer_by: float) -> None:
        """Send the query; the answer is due at the monotonic time ``answer_by``."""
        self._peer = peer

        def encode() -> bytes:
            version = self.table.version
            return self.outbound.encode_for_peer(
                version,
                answer_by,
                self.loop.now(),
                service=self._service,
                attempts=self._attempts,
            )

        self._exchange = Exchange(
            encode,
            self.outbound.request_id,
            self.route.rank,
            partial(self.run_or_abort, self._on_answer),
            self._on_acknowledged,
        )
        peer.in_flight += 1
        now = self.loop.now()
        timeout_s = max(MIN_ACKNOWLEDGE_S, ACKNOWLEDGE_SHARE * (answer_by - now))
        self._check_by(now + timeout_s)
        self._link.send(peer.address, self._exchange)

    def _on_acknowledged(self, headers: list[Header]) -> None:
        if self.is_ended:
            return
        self._record_attempts(headers)
        now = self.loop.now()
        self._silent_at = now + SILENCE_TIMEOUT_S
        if not self._is_acknowledged:
            self._is_acknowledged = True
            self._is_overdue = False
            self._check_by(now + LIVENESS_CHECK_S)

    def _record_attempts(self, headers: list[Header]) -> None:
        value = dict(headers).get(PEER_SHARD_ATTEMPTS)
        if value is not None:
            count = len(self._attempts)
            self._reported_attempts = decode_attempts(value, count)

    def _on_answer(self, answer: ReplicaAnswer) -> None:
        if self.is_ended:
            return
        if answer.fault is not None:
            self._handle_peer_failure(
                answer.detail,
                may_have_begun=self._exchange.was_sent,
                is_faulty=answer.fault is AnswerFault.OVERSIZED,
            )
        elif self._is_refusal(answer, STATUS_DECLINED):
            self._fall_back("declined", may_have_begun=False)
        elif self._is_refusal(answer, STATUS_LOST_UPSTREAMS):
            self._record_attempts(answer.headers)
            self._handle_peer_failure("lost its upstreams", may_have_begun=True)
        else:
            self._respond(answer)

    def _is_refusal(self, answer: ReplicaAnswer, status: int) -> bool:
        """Return whether the peer itself has answered with a status."""
        return answer.status == status and answer.header(PEER_REFUSAL) is not None

    def _respond(self, answer: ReplicaAnswer) -> None:
        status = answer.status
        if any(self._attempts) and status in NOT_RUN_STATUSES:
            # The peer does not know whether the reads of this host have run.
            status = 502
        host = self._peer.heartbeat.host
        self.runner.statements.record_leaving_report(host, answer)
        headers = [
            each
            for each in answer.headers
            if not is_hop_by_hop(each[0]) and each[0] != PEER_LEAVING
        ]
        self._end(
            CallerResponse(status, headers, answer.body),
            "delegated",
            gatherer=host,
            is_handed_over=self._is_handed_over,
        )

    def _check_by(self, when: float) -> None:
        # Later than ``give_up_at``, at which the peer sends its final response.
        self._set_timer(min(when, self.outbound.deadline))

    def _on_timer(self) -> None:
        now = self.loop.now()
        if now >= self.outbound.deadline:
            self._end(
                error_response(504), "timed_out", gatherer=self._peer.heartbeat.host
            )
        elif self._is_acknowledged and (
            self._peer.is_alive(now) or now < self._silent_at
        ):
            self._is_overdue = False
            self._check_by(now + LIVENESS_CHECK_S)
        elif not self._is_overdue:
            self._is_overdue = True
            self._check_by(now + LAST_READ_S)
        elif self._is_acknowledged:
            self._handle_peer_failure("silent", may_have_begun=True)
        else:
            self._handle_peer_failure(
                "not acknowledged", may_have_begun=self._exchange.was_sent
            )

    def _handle_peer_failure(
        self, reason: str, *, may_have_begun: bool, is_faulty: bool = False
    ) -> None:
        self._link.peer_table.record_failure(
            self._peer, self.loop.now(), is_faulty=is_faulty
        )
        self._link.close_idle(self._peer.address)
        self._fall_back(reason, may_have_begun=may_have_begun)

    def _fall_back(self, reason: str, *, may_have_begun: bool) -> None:
        attempts = self.attempts if may_have_begun else None
        self._close(reason)
        self.runner.events.emit(
            "gatherer_failed",
            id=self.outbound.request_id,
            gatherer=self._peer.heartbeat.host,
            reason=reason,
            ms=round((self.loop.now() - self.request.received_at) * 1000, 1),
            extra_attempts=sum(count > 1 for count in attempts or ()),
        )
        self._call_fall_back(attempts)
        self._forget_callbacks()

    def _close(self, detail: str) -> None:
        super()._close(detail)
        self._peer.in_flight -= 1
        # Cancelling closes the connection, which makes the gatherer stop.
        self._exchange.cancel(detail)
