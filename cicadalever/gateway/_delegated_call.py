"""Call whose query is gathered by another host of the data centre."""

from collections.abc import Callable

from cicadalever.peers import Peer
from cicadalever.wire import CallerResponse, Exchange, ReplicaAnswer, is_hop_by_hop

from ._call import LAST_READ_S, Call
from ._peers import PROGRESS_PERIOD_S, STATUS_DECLINED, PeerLink

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
    """Forwards a query to a host with more capacity, and its response to the caller.

    If the peer declines or fails, ``gather_here`` is called instead of ``on_end``, with
    whether the peer may already have sent reads.
    """

    def __init__(self, *arguments, link: PeerLink, gather_here: Callable[[bool], None]):
        super().__init__(*arguments)
        self._link = link
        self._gather_here = gather_here
        self._is_acknowledged = False
        # Whether the time for the acknowledgement has passed.
        self._is_overdue = False

    def start(self, peer: Peer, answer_by: float) -> None:
        """Send the query; the answer is due at the monotonic time ``answer_by``."""
        self._peer = peer

        def encode() -> bytes:
            version = self.table.version
            return self.outbound.encode_for_peer(version, answer_by, self.loop.now())

        self._exchange = Exchange(
            encode,
            self.outbound.request_id,
            self.route.rank,
            self._on_answer,
            self._on_acknowledged,
        )
        peer.in_flight += 1
        now = self.loop.now()
        timeout_s = max(MIN_ACKNOWLEDGE_S, ACKNOWLEDGE_SHARE * (answer_by - now))
        self._set_timer(now + timeout_s)
        self._link.send(peer.address, self._exchange)

    def _on_acknowledged(self) -> None:
        if self.is_ended:
            return
        now = self.loop.now()
        self._silent_at = now + SILENCE_TIMEOUT_S
        if not self._is_acknowledged:
            self._is_acknowledged = True
            self._set_timer(now + LIVENESS_CHECK_S)

    def _on_answer(self, answer: ReplicaAnswer) -> None:
        if self.is_ended:
            return
        if answer.fault is not None:
            self._handle_peer_failure(
                answer.detail, may_have_begun=self._exchange.was_sent
            )
        elif answer.status == STATUS_DECLINED:
            self._fall_back("declined", may_have_begun=False)
        else:
            headers = [each for each in answer.headers if not is_hop_by_hop(each[0])]
            response = CallerResponse(answer.status, headers, answer.body)
            self._end(response, "delegated", gatherer=self._peer.heartbeat.host)

    def _on_timer(self) -> None:
        now = self.loop.now()
        if not self._is_acknowledged and not self._is_overdue:
            self._is_overdue = True
            self._set_timer(now + LAST_READ_S)
        elif not self._is_acknowledged:
            self._handle_peer_failure(
                "not acknowledged", may_have_begun=self._exchange.was_sent
            )
        elif not (self._peer.is_alive(now) or now < self._silent_at):
            self._handle_peer_failure("silent", may_have_begun=True)
        else:
            self._set_timer(now + LIVENESS_CHECK_S)

    def _handle_peer_failure(self, reason: str, *, may_have_begun: bool) -> None:
        self._link.peer_table.record_failure(self._peer, self.loop.now())
        self._fall_back(reason, may_have_begun=may_have_begun)

    def _fall_back(self, reason: str, *, may_have_begun: bool) -> None:
        self._close(reason)
        self.runner.events.emit(
            "gatherer_failed",
            id=self.outbound.request_id,
            gatherer=self._peer.heartbeat.host,
            reason=reason,
            ms=round((self.loop.now() - self.request.received_at) * 1000, 1),
        )
        self._gather_here(may_have_begun)

    def _close(self, detail: str) -> None:
        super()._close(detail)
        self._peer.in_flight -= 1
        # Cancelling closes the connection, which makes the gatherer stop.
        self._exchange.cancel(detail)
