"""Sends the answers of reads to the entry hosts that requested them."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

from cicadalever.metrics import Metrics
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.transport import ReadAnswer, ReadAnswers
from cicadalever.upstreams import UpstreamAnswer

from ._read import QueuedRead

_PRESSURE_CODES = frozenset({FailureCode.DEADLINE, FailureCode.OVERLOAD})


class AnswerSender:
    """Batches the answers of one event loop iteration into one message per query.

    ``send`` takes a peer address and a message.
    """

    def __init__(self, send: Callable[[str, Any], Failure | None], metrics: Metrics):
        self.send = send
        self.metrics = metrics
        self._answers: dict[tuple[str, str], list[ReadAnswer]] = defaultdict(list)
        self._is_flush_scheduled = False

    def answer(
        self,
        read: QueuedRead,
        result: UpstreamAnswer | Failure,
        queued_s: float,
        service_s: float,
        *,
        pressure: bool,
    ) -> None:
        """Queue the answer to a read that ran; the times are in seconds.

        ``pressure`` tells the entry host that the replica has too many waiting reads.
        """
        if isinstance(result, Failure):
            rows = b""
            code, reason, snapshot = result.code, result.reason, read.snapshot
        else:
            rows = result.rows
            code, reason, snapshot = "", "", result.snapshot
        self.metrics.read_finished(code, queued_s, service_s)
        self._post(
            read,
            ReadAnswer(
                read.key.number,
                code,
                reason,
                snapshot,
                rows,
                queued_s,
                service_s,
                pressure,
            ),
        )

    def refuse(self, read: QueuedRead, failure: Failure) -> None:
        """Queue a failure for a read that did not run or was abandoned."""
        pressure = failure.code in _PRESSURE_CODES
        self.answer(read, failure, 0.0, 0.0, pressure=pressure)

    def _post(self, read: QueuedRead, answer: ReadAnswer) -> None:
        self._answers[(read.key.sender, read.key.query)].append(answer)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            eventlet.spawn_n(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        pending = self._answers
        self._answers = defaultdict(list)
        for (sender, query), answers in pending.items():
            failure = self.send(sender, ReadAnswers(query, answers))
            if failure is not None:
                logger.warning(
                    "failed to send answers to {}: {}", sender, failure.reason
                )
