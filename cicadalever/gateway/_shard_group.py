"""Shards of a query that a host of another data centre reads."""

from functools import partial
from typing import TYPE_CHECKING

from cicadalever.gather import decode_attempts, decode_shards
from cicadalever.peers import Peer
from cicadalever.wire import Exchange, Header, ReplicaAnswer

from ._call import LAST_READ_S
from ._outbound import PEER_MISSING, PEER_SHARD_ATTEMPTS
from ._peers import STATUS_DECLINED, PeerLink

if TYPE_CHECKING:
    from ._gather_call import GatherCall

# Time beyond the usual round trip after which a peer that has not acknowledged a group
# is given up.
ACKNOWLEDGE_MARGIN_S = 0.015


class ShardGroup:
    """One request to a peer of another data centre for some shards of a query.

    The peer reads the shards from replicas near it, hedges, and answers with the
    greatest records of all of them. The group ends with one call of
    ``call.group_ended`` or ``call.group_failed``, unless it is cancelled before.
    """

    def __init__(self, call: "GatherCall", link: PeerLink, peer: Peer, shards: list):
        self.call = call
        self.link = link
        self.peer = peer
        self.shards = shards
        self._is_ended = False
        # Whether the peer has begun to read the shards.
        self.is_acknowledged = False
        self._sent_at = 0.0
        self._timer = None
        self._exchange: Exchange | None = None

    def start(self, answer_by: float) -> None:
        """Send the request; the answer is due at the monotonic time ``answer_by``."""
        call, loop = self.call, self.call.loop
        self._sent_at = loop.now()

        def encode() -> bytes:
            return call.outbound.encode_for_peer(
                call.table.version,
                answer_by - self.peer.round_trip_s,
                loop.now(),
                self.shards,
            )

        self._exchange = Exchange(
            encode,
            call.outbound.request_id,
            call.route.rank,
            partial(call.run_or_abort, self._on_answer),
            self._on_acknowledged,
        )
        timeout_s = self.peer.round_trip_s + ACKNOWLEDGE_MARGIN_S
        self._timer = loop.call_later(timeout_s, self._on_timeout)
        self.peer.in_flight += 1
        self.link.send(self.peer.address, self._exchange)

    def cancel(self, detail: str) -> None:
        """Close the connection of the request, which makes the peer stop."""
        if not self._is_ended:
            self._end()
            self._exchange.cancel(detail)

    def _on_acknowledged(self, headers: list[Header]) -> None:
        if self._is_ended:
            return
        if not self.is_acknowledged:
            self.is_acknowledged = True
            self._timer.cancel()
            self.peer.observe_round_trip(self.call.loop.now() - self._sent_at)
        value = dict(headers).get(PEER_SHARD_ATTEMPTS)
        attempts = None if value is None else decode_attempts(value, len(self.shards))
        self.call.record_group_attempts(self, attempts)

    def _on_timeout(self) -> None:
        fail = partial(self.call.run_or_abort, self._fail, "not acknowledged")
        self._timer = self.call.loop.call_later(LAST_READ_S, fail)

    def _on_answer(self, answer: ReplicaAnswer) -> None:
        if self._is_ended:
            return
        if answer.fault is not None:
            self._fail(answer.detail)
            return
        if answer.status == STATUS_DECLINED:
            self._end()
            self.call.group_failed(self, "declined", may_have_begun=False)
            return
        names = self.call.runner.names
        signatures = [
            signature.strip()
            for name, value in answer.headers
            if name == names.signatures
            for signature in value.split(b",")
        ]
        value = answer.header(PEER_MISSING)
        missing = (
            None if value is None else decode_shards(value, len(self.call.route.shards))
        )
        if (
            answer.status != 200
            or missing is None
            or not set(missing) <= set(self.shards)
            or len(signatures) != len(self.shards) - len(missing)
        ):
            self._end()
            reason = f"status {answer.status}, {len(signatures)} signatures"
            self.call.group_failed(self, reason, may_have_begun=True)
            return
        self._end()
        host = self.peer.heartbeat.host
        self.call.leaving.update(
            self.call.runner.statements.record_leaving_report(host, answer)
        )
        self.link.peer_table.record_fellow_answer(self.peer)
        self.call.group_ended(self, signatures, missing, answer.body)

    def _fail(self, reason: str) -> None:
        if self._is_ended:
            return
        self._end()
        may_have_begun = self._exchange.was_sent
        self._exchange.cancel(reason)
        self.link.peer_table.record_fellow_failure(self.peer, self.call.loop.now())
        self.link.close_idle(self.peer.address)
        self.call.group_failed(self, reason, may_have_begun=may_have_begun)

    def _end(self) -> None:
        self._is_ended = True
        self._timer.cancel()
        self.peer.in_flight -= 1
