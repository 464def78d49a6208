"""Classification of the answers of replicas."""

from enum import StrEnum

from cicadalever.notices import parse_pause
from cicadalever.outcomes import Failure
from cicadalever.placement import ReadOutcome
from cicadalever.wire import AnswerFault, HeaderNames, ReplicaAnswer


class AnswerKind(StrEnum):
    """Result of a read, and whether the replica may have run the request."""

    SUCCESS = "success"
    # The replica answered with a status other than 2xx; the request has run.
    FAILURE = "failure"
    # The replica states that it did not run the request.
    NOT_RUN = "not_run"
    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # Another replica received the request and did not run it.
    WRONG_REPLICA = "wrong_replica"
    # The connection was lost, the answer was invalid or the read was cancelled: the
    # request may have run.
    UNKNOWN = "unknown"


NOT_RUN_KINDS = frozenset(
    (AnswerKind.NOT_RUN, AnswerKind.NOT_SENT, AnswerKind.WRONG_REPLICA)
)

_KIND_BY_FAULT = {
    AnswerFault.UNREACHABLE: AnswerKind.NOT_SENT,
    AnswerFault.LOST: AnswerKind.UNKNOWN,
    AnswerFault.GARBLED: AnswerKind.UNKNOWN,
    AnswerFault.OVERSIZED: AnswerKind.UNKNOWN,
    AnswerFault.ABANDONED: AnswerKind.UNKNOWN,
    AnswerFault.WITHDRAWN: AnswerKind.NOT_SENT,
}
_OUTCOME_BY_FAULT = {
    AnswerFault.UNREACHABLE: ReadOutcome.UNREACHABLE,
    AnswerFault.LOST: ReadOutcome.FAILED,
    AnswerFault.GARBLED: ReadOutcome.FAILED,
    AnswerFault.OVERSIZED: ReadOutcome.FAILED,
    AnswerFault.ABANDONED: ReadOutcome.OVERDUE,
    AnswerFault.WITHDRAWN: ReadOutcome.DEFERRED,
}
# These statuses tell a caller that the request has not run. A replica that responds
# with one of them, but without the header that states it, may have run the request. The
# caller gets 502 instead.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Misdirected Request (RFC 9110, section 15.5.20).
STATUS_MISDIRECTED = 421


def _asks_for_pause(value: bytes | None) -> bool:
    return value is not None and not isinstance(parse_pause(value), Failure)


def classify_answer(answer: ReplicaAnswer, names: HeaderNames) -> AnswerKind:
    """Return the result of a read.

    A success needs the signature of the replica and a request id, and its body must
    not be encoded. Otherwise it is not certain that the replica computed the body for
    this request, and the result is ``UNKNOWN``.
    """
    if answer.fault is not None:
        return _KIND_BY_FAULT[answer.fault]
    if answer.status == STATUS_MISDIRECTED:
        return AnswerKind.WRONG_REPLICA
    if answer.header(names.not_run) is not None:
        return AnswerKind.NOT_RUN
    if not 200 <= answer.status < 300:
        return AnswerKind.FAILURE
    is_signed = answer.header(names.signature) is not None
    # Replicas are expected to send bodies without a content encoding.
    is_encoded = answer.header(b"content-encoding") is not None
    if not is_signed or is_encoded or answer.header(names.request_id) is None:
        return AnswerKind.UNKNOWN
    return AnswerKind.SUCCESS


def shows_survival(answer: ReplicaAnswer, kind: AnswerKind, names: HeaderNames) -> bool:
    """Return whether an answer shows that its replica survived running the request.

    A replica that fails part of its requests may not have run this one, so that a
    server error shows nothing.
    """
    if kind is AnswerKind.FAILURE:
        return answer.status < 500 and answer.header(names.signature) is not None
    return kind is AnswerKind.SUCCESS


def classify_read_outcome(answer: ReplicaAnswer, kind: AnswerKind) -> ReadOutcome:
    """Return the outcome of a read that counts for the health of its replica.

    An error status below 500 is caused by the request and not by the replica, so it
    counts as an answer. A replica that asks for a pause has not failed.
    """
    if kind is not AnswerKind.SUCCESS and _asks_for_pause(answer.retry_after):
        return ReadOutcome.DEFERRED
    if answer.fault is not None:
        return _OUTCOME_BY_FAULT[answer.fault]
    if kind is AnswerKind.WRONG_REPLICA:
        return ReadOutcome.UNREACHABLE
    if kind is AnswerKind.SUCCESS or (
        kind is AnswerKind.FAILURE and answer.status < 500
    ):
        return ReadOutcome.ANSWERED
    return ReadOutcome.FAILED
