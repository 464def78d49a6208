"""Reads of one connection, in turns whose work is bounded."""

import socket
from collections.abc import Callable

from ._loop import EventLoop

RECEIVE_BYTES = 65536
# Bytes of a read that are parsed before its pieces are counted: at first, and while the
# pieces have been few. The cost of a piece does not depend on its size.
FIRST_SLICE_BYTES = 4096
SLICE_BYTES = 8192
# Pieces in one slice after which the connection has to wait for its next turn. A
# request of a usual caller has fewer header fields.
MAX_PIECES = 64


class PacedReader:
    """Passes the bytes of a socket on, a slice at a time.

    ``on_bytes`` gets a slice and whether more has been read already, and returns the
    number of pieces that the parser found. After a slice of more than ``MAX_PIECES``
    the connection waits for a turn, see ``EventLoop.take_turn``, and reads less in it.
    ``on_bytes`` gets no bytes at the end of the stream, and ``on_error`` what a read
    raises.
    """

    __slots__ = (
        "loop",
        "on_bytes",
        "on_error",
        "_socket",
        "_watch",
        "_rest",
        "_rest_bytes",
        "_is_waiting",
        "_is_closed",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_bytes: Callable[[bytes, bool], int],
        on_error: Callable[[OSError], None],
    ):
        self.loop = loop
        self.on_bytes = on_bytes
        self.on_error = on_error
        self._socket = sock
        self._watch = None
        self._rest = b""
        self._rest_bytes = 0
        self._is_waiting = False
        self._is_closed = False

    @property
    def rest_bytes(self) -> int:
        """Bytes that were read and not passed on yet."""
        return self._rest_bytes

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its turn."""
        return self._is_waiting

    def start(self) -> None:
        """Read whenever bytes arrive."""
        self._watch = self.loop.watch_read(self._socket.fileno(), self.read)

    def close(self) -> None:
        """Read no more; to be called before the socket is closed."""
        self._is_closed = True
        self._stop_watching()
        self._rest = b""
        self._rest_bytes = 0

    def read(self) -> None:
        """Read once, unless the connection waits for its turn."""
        if not self._is_waiting:
            self._read(RECEIVE_BYTES)

    def _read(self, max_bytes: int) -> None:
        if self._is_closed:
            return
        try:
            data = self._socket.recv(max_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            self.on_error(error)
            return
        if data:
            self._pass_on(data)
        else:
            self.on_bytes(b"", False)

    def _pass_on(self, data: bytes) -> None:
        is_cheap = len(data) <= FIRST_SLICE_BYTES or not _has_many_lines(data)
        start, end = 0, len(data) if is_cheap else FIRST_SLICE_BYTES
        while start < len(data) and not self._is_closed:
            self._rest_bytes = max(0, len(data) - end)
            is_whole = start == 0 and not self._rest_bytes
            part = data if is_whole else data[start:end]
            pieces = self.on_bytes(part, self._rest_bytes > 0)
            if pieces > MAX_PIECES and not self._is_closed:
                self._rest = data[end:]
                self._wait()
                return
            start, end = end, end + SLICE_BYTES

    def _wait(self) -> None:
        self._is_waiting = True
        self._stop_watching()
        self.loop.take_turn(self._continue)

    def _continue(self) -> None:
        self._is_waiting = False
        rest, self._rest = self._rest, b""
        if rest:
            self._pass_on(rest)
        else:
            self._read(FIRST_SLICE_BYTES)
        if not self._is_waiting and not self._is_closed:
            self.start()

    def _stop_watching(self) -> None:
        if self._watch is not None:
            self.loop.unwatch(self._watch)
            self._watch = None


def _has_many_lines(data: bytes) -> bool:
    """Return whether there may be more than ``MAX_PIECES`` pieces.

    Each header field and each chunk takes a line at least.
    """
    position = -1
    # Counting the line ends of all bytes takes longer than parsing a body.
    for _ in range(MAX_PIECES + 1):
        position = data.find(b"\n", position + 1)
        if position < 0:
            return False
    return True
