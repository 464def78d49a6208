"""Connections and pools of urllib3 that reject answers whose head is cut off.

The standard library takes the end of the stream for the end of the head. An answer that
breaks off there would have the status that was sent, headers with shortened values or
none, and an empty body that looks complete (RFC 9112, section 8).

Answers have a limit for all their bytes and one for what is no body. The library itself
reads informational responses, chunk extensions and trailers without end.
"""

import functools
import http.client
from collections.abc import Callable
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from ._bounded_stream import BoundedStream, end_turn

# Most bytes of one answer on the wire.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class _HeadReader:
    """Reads the lines of a head and raises if the stream ends inside it."""

    def __init__(self, stream: Any):
        self._stream = stream
        self._has_begun = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; an empty one only at the end of an empty stream."""
        line = self._stream.readline(limit)
        # The library itself reports lines that exceed its limit, an empty stream, and
        # answers in another protocol.
        is_cut = not line.endswith(b"\n") and len(line) != limit
        is_begun = self._has_begun or (line and line[:5] == b"HTTP/"[: len(line)])
        if is_cut and is_begun:
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class _CompleteHeadResponse(http.client.HTTPResponse):
    """A response whose head must end with an empty line, of bounded size."""

    def __init__(
        self,
        *arguments: Any,
        max_answer_bytes: int,
        end_turn: Callable[[], None],
        on_received: Callable[[int], None],
        **options: Any,
    ):
        super().__init__(*arguments, **options)
        self.fp = BoundedStream(
            self.fp.detach(), max_answer_bytes, end_turn, on_received
        )

    def begin(self) -> None:
        """Read the head; raise ``http.client.IncompleteRead`` if it is cut off."""
        stream = self.fp
        if stream is None or self.headers is not None:
            super().begin()
            return
        self.fp = _HeadReader(stream)
        try:
            super().begin()
        finally:
            # The response has closed itself if it has no body.
            if self.fp is not None:
                self.fp = stream


class CompleteHeadConnection(HTTPConnection):
    """Connection whose responses must have a complete head.

    ``max_answer_bytes`` limits each of them, with its head and framing. A longer one
    raises ``AnswerTooLargeError``, an ``http.client.HTTPException``. ``end_turn`` is
    called again and again while an answer is read without a wait, and ``on_received``
    with the bytes of the answer so far.
    """

    def __init__(
        self,
        *arguments: Any,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        end_turn: Callable[[], None] = end_turn,
        on_received: Callable[[int], None] = lambda size: None,
        **options: Any,
    ):
        super().__init__(*arguments, **options)
        self.response_class = functools.partial(
            _CompleteHeadResponse,
            max_answer_bytes=max_answer_bytes,
            end_turn=end_turn,
            on_received=on_received,
        )


class CompleteHeadPool(urllib3.HTTPConnectionPool):
    """Pool of such connections to one address.

    >>> CompleteHeadPool("127.0.0.1", 8080).ConnectionCls.__name__
    'CompleteHeadConnection'
    """

    ConnectionCls = CompleteHeadConnection


class CompleteHeadPoolManager(urllib3.PoolManager):
    """Pools of such connections to any address."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.pool_classes_by_scheme = {
            **self.pool_classes_by_scheme,
            "http": CompleteHeadPool,
        }
