"""Judgement of a replica's answer."""

from enum import StrEnum

from cicadalever.placement import ReadOutcome
from cicadalever.wire import AnswerFault, HeaderNames, ReplicaAnswer


class AnswerKind(StrEnum):
    """What an answer is worth, and whether the request can have run."""

    SUCCESS = "success"
    # An answer of the replica that is no success; the request has run.
    FAILURE = "failure"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    WRONG_REPLICA = "wrong_replica"
    # Lost, garbled or given up: the request may have run.
    UNKNOWN = "unknown"


NOT_RUN_KINDS = frozenset(
    (AnswerKind.NOT_RUN, AnswerKind.NOT_SENT, AnswerKind.WRONG_REPLICA)
)

_KIND_BY_FAULT = {
    AnswerFault.UNREACHABLE: AnswerKind.NOT_SENT,
    AnswerFault.LOST: AnswerKind.UNKNOWN,
    AnswerFault.GARBLED: AnswerKind.UNKNOWN,
    AnswerFault.ABANDONED: AnswerKind.UNKNOWN,
}
_OUTCOME_BY_FAULT = {
    AnswerFault.UNREACHABLE: ReadOutcome.UNREACHABLE,
    AnswerFault.LOST: ReadOutcome.FAILED,
    AnswerFault.GARBLED: ReadOutcome.FAILED,
    AnswerFault.ABANDONED: ReadOutcome.OVERDUE,
}
STATUS_MISDIRECTED = 421


def classify_answer(answer: ReplicaAnswer, names: HeaderNames) -> AnswerKind:
    """Tell what an answer is worth."""
    if answer.fault is not None:
        return _KIND_BY_FAULT[answer.fault]
    if answer.status == STATUS_MISDIRECTED:
        return AnswerKind.WRONG_REPLICA
    if answer.header(names.not_run) is not None:
        return AnswerKind.NOT_RUN
    if not 200 <= answer.status < 300:
        return AnswerKind.FAILURE
    is_signed = answer.header(names.signature) is not None
    # Bodies are asked for without an encoding.
    is_encoded = answer.header(b"content-encoding") is not None
    if not is_signed or is_encoded or answer.header(names.request_id) is None:
        return AnswerKind.UNKNOWN
    return AnswerKind.SUCCESS


def classify_read_outcome(answer: ReplicaAnswer, kind: AnswerKind) -> ReadOutcome:
    """Tell how an answer counts for its replica."""
    if answer.fault is not None:
        return _OUTCOME_BY_FAULT[answer.fault]
    if kind is AnswerKind.WRONG_REPLICA:
        return ReadOutcome.UNREACHABLE
    if kind is AnswerKind.SUCCESS or (
        kind is AnswerKind.FAILURE and answer.status < 500
    ):
        return ReadOutcome.ANSWERED
    return ReadOutcome.FAILED
