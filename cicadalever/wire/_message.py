"""Requests of callers, responses to them, and answers of replicas."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

Header = tuple[bytes, bytes]

# Memory that a header field takes beside its text.
FIELD_BYTES = 200
# An empty rest of bytes; a view of the end of sent ones would keep them all.
NOTHING = memoryview(b"")


class CallerRequest(NamedTuple):
    """A completely received request; header names are in lower case.

    ``received_at`` is the earliest monotonic time at which its first byte may have
    arrived, because a busy event loop reads late. ``is_first_on_connection`` tells
    whether the connection was opened for it.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    received_at: float
    is_first_on_connection: bool
    keep_alive: bool

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, in bytes."""
        text = sum(len(name) + len(value) for name, value in self.headers)
        fields = FIELD_BYTES * len(self.headers)
        return len(self.target) + text + fields + len(self.body)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class CallerResponse(NamedTuple):
    """A response with a complete body.

    ``encode`` adds the headers Content-Length and Connection.
    """

    status: int
    headers: list[Header]
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def encode(self, *, keep_alive: bool, has_body: bool = True) -> bytes:
        """Return the bytes to send; ``has_body`` is False for HEAD requests."""
        lines = [b"HTTP/1.1 %d %s" % (self.status, _reason(self.status))]
        lines.extend(b"%s: %s" % header for header in self.headers)
        if self.status not in (204, 304):
            lines.append(b"Content-Length: %d" % len(self.body))
        if not keep_alive:
            lines.append(b"Connection: close")
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        return head + self.body if has_body else head


class AnswerFault(StrEnum):
    """Why a request has no answer.

    - ``UNREACHABLE``: no byte of the request was sent.
    - ``LOST``: the connection ended after a part of the request was sent.
    - ``GARBLED``: the replica sent bytes that are not the answer to the request.
    - ``OVERSIZED``: it sent more bytes, or fields, than an answer may have.
    - ``ABANDONED``: this host closed the connection.
    - ``WITHDRAWN``: this host took the request back before a byte was sent.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    GARBLED = "garbled"
    OVERSIZED = "oversized"
    ABANDONED = "abandoned"
    WITHDRAWN = "withdrawn"


class ReplicaAnswer(NamedTuple):
    """A complete answer to a request, or the ``fault`` that explains its absence.

    What a replica says of itself in a head counts whatever becomes of the rest:
    ``rate_limit`` is the value of that header, ``is_leaving`` whether it names itself
    as leaving, and ``retry_after`` how long it asked for a pause with status 503; the
    values of a repeated field are joined by commas.
    """

    status: int
    headers: list[Header]
    body: bytes
    fault: AnswerFault | None = None
    detail: str = ""
    rate_limit: bytes | None = None
    is_leaving: bool = False
    retry_after: bytes | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
