"""Streams of answers that bound the bytes and share the processor."""

import http.client
import io
import time
from collections.abc import Callable

# Most bytes of all lines of an answer: head, informational responses, chunk sizes with
# their extensions, and trailers.
MAX_LINE_BYTES = 1024 * 1024
# Time for which an answer whose bytes are there is read before others get their turn.
MAX_TURN_S = 0.005


class AnswerTooLargeError(http.client.HTTPException):
    """An answer has more bytes than its reader accepts."""


def end_turn() -> None:
    """Let other threads run; the green ones where the ``time`` module is patched."""
    time.sleep(0.0)


class _TurnTakingStream(io.RawIOBase):
    """Reads from a socket, which never blocks while it has data, and yields between."""

    def __init__(
        self,
        raw: io.RawIOBase,
        max_bytes: int,
        end_turn: Callable[[], None],
        on_received: Callable[[int], None],
    ):
        self._raw = raw
        self._max_bytes = max_bytes
        self._end_turn = end_turn
        self._on_received = on_received
        self._bytes_left = max_bytes
        self._turn_ends_at = time.monotonic() + MAX_TURN_S

    def readable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer) -> int | None:
        """Read some bytes; raise ``AnswerTooLargeError`` beyond the limit."""
        if time.monotonic() >= self._turn_ends_at:
            self._end_turn()
            self._turn_ends_at = time.monotonic() + MAX_TURN_S
        size = self._raw.readinto(buffer)
        self._bytes_left -= size or 0
        if self._bytes_left < 0:
            raise AnswerTooLargeError(f"answer exceeds {self._max_bytes} bytes")
        self._on_received(self._max_bytes - self._bytes_left)
        return size

    def close(self) -> None:
        """Close the stream of the socket as well."""
        if not self.closed:
            self._raw.close()
        super().close()


class BoundedStream(io.BufferedReader):
    """Buffered stream of one answer with at most ``max_bytes`` bytes.

    What is read as lines, which is all but the body, has at most ``MAX_LINE_BYTES``.
    ``on_received`` is called after each read from the socket with the number of bytes
    of the answer so far; an exception that it raises ends the read.
    """

    def __init__(
        self,
        raw: io.RawIOBase,
        max_bytes: int,
        end_turn: Callable[[], None],
        on_received: Callable[[int], None] = lambda size: None,
    ):
        super().__init__(_TurnTakingStream(raw, max_bytes, end_turn, on_received))
        self._max_bytes = max_bytes
        self._line_bytes_left = MAX_LINE_BYTES

    def read(self, size: int | None = -1, /) -> bytes:
        """Return ``size`` bytes, or all; at once refuse more than an answer may have.

        The base class allocates the memory for all bytes before it reads the first.
        """
        if size is not None and size > self._max_bytes:
            reason = f"answer announces {size} bytes, at most {self._max_bytes} allowed"
            raise AnswerTooLargeError(reason)
        return super().read(size)

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; raise ``AnswerTooLargeError`` beyond the limit."""
        line = super().readline(size)
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise AnswerTooLargeError(
                f"lines of an answer exceed {MAX_LINE_BYTES} bytes"
            )
        return line
