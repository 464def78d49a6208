"""Requests of callers: a deadline for a whole request, and an end to make room."""

import fcntl
import io
import socket
import sys
import termios
import time
from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from eventlet import wsgi

# A caller may still be sending a request for which the server has waited less, in
# seconds.
MIN_WAIT_S = 0.1


class DropCause(StrEnum):
    """Why the server closes a connection.

    - ``IDLE``, ``UNFINISHED``: to make room, without a request or with a part of one.
      What is left of a request that was answered is no request.
    - ``LATE``: a request was not complete in time.
    """

    IDLE = "idle"
    UNFINISHED = "unfinished"
    LATE = "late"


# Idle connections are closed without a response.
STATUS_OF_CAUSE = {
    DropCause.UNFINISHED: HTTPStatus.SERVICE_UNAVAILABLE,
    DropCause.LATE: HTTPStatus.REQUEST_TIMEOUT,
}


class RequestRefused(BaseException):
    """Ends a request that has not arrived.

    It is no ``Exception``, because the application answers failed reads itself.
    """

    def __init__(self, cause: DropCause):
        super().__init__(cause)
        self.cause = cause


class RequestStream(io.RawIOBase):
    """Reads the requests of a connection, each of which may take ``timeout_s`` seconds.

    The time counts from the first byte of a request. A read after it, or of a stream
    that was dropped, raises ``RequestRefused``. What has arrived by then is still read,
    as the process may have been paused meanwhile. The time-out of ``connection``, the
    socket below ``raw``, still limits each single read.
    """

    def __init__(self, raw: io.RawIOBase, connection: Any, timeout_s: float):
        self.timeout_s = timeout_s
        self._raw = raw
        self._connection = connection
        self._idle_since = time.monotonic()
        self._began_at: float | None = None
        # Bytes that had arrived when the time ended.
        self._late_bytes: int | None = None
        self._position = 0
        self._is_reading = False
        self._is_dropped = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing of the next request was read."""
        return self._began_at is None

    @property
    def waits_since(self) -> float | None:
        """Time since when the server waits for the caller; None if it does not."""
        if self._is_dropped or not self._is_reading:
            return None
        return self._idle_since if self._began_at is None else self._began_at

    def begin_request(self, has_begun: bool) -> None:
        """Expect the next request of the connection, or the rest of it."""
        self._idle_since = time.monotonic()
        self._began_at = self._idle_since if has_begun else None
        self._late_bytes = None

    def has_waited(self, now: float) -> bool:
        """Return whether the connection may make room for another."""
        since = self.waits_since
        if since is None or now - since < MIN_WAIT_S:
            return False
        return not (self.is_idle and self._has_bytes())

    def drop(self) -> None:
        """Make the read that waits raise ``RequestRefused``."""
        self._is_dropped = True
        try:
            self._connection.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has closed the connection, which ends the read as well.
            return

    def readable(self) -> bool:
        """Return True."""
        return True

    def tell(self) -> int:
        """Return the number of bytes that were read; ``seek`` is not supported."""
        return self._position

    def readinto(self, buffer) -> int | None:
        """Read some bytes; raise ``RequestRefused`` if the request may not go on."""
        self._is_reading = True
        try:
            size = self._read(buffer)
        finally:
            self._is_reading = False
        if self._is_dropped:
            raise RequestRefused(
                DropCause.IDLE if self.is_idle else DropCause.UNFINISHED
            )
        if self._began_at is None:
            self._began_at = time.monotonic()
        self._position += size or 0
        return size

    def close(self) -> None:
        """Close the stream of the socket as well."""
        if not self.closed:
            self._raw.close()
        super().close()

    def _read(self, buffer) -> int | None:
        # The stream of the library refuses to read on after a time-out.
        read = self._connection.recv_into
        if self._began_at is None or self._is_dropped:
            return read(buffer)
        left_s = self._began_at + self.timeout_s - time.monotonic()
        io_timeout_s = self._connection.gettimeout()
        if left_s <= 0:
            return self._read_late(buffer)
        if io_timeout_s is not None and io_timeout_s <= left_s:
            return read(buffer)
        try:
            self._connection.settimeout(left_s)
            return read(buffer)
        except TimeoutError:
            return self._read_late(buffer)
        finally:
            # Responses are sent with the time-out of the server.
            self._connection.settimeout(io_timeout_s)

    def _read_late(self, buffer) -> int:
        """Read some of the bytes that had arrived in time, without waiting."""
        if self._late_bytes is None:
            count = fcntl.ioctl(self._connection.fileno(), termios.FIONREAD, bytes(4))
            self._late_bytes = int.from_bytes(count, sys.byteorder)
        if not self._late_bytes:
            raise RequestRefused(DropCause.LATE)
        size = self._connection.recv_into(buffer, min(len(buffer), self._late_bytes))
        self._late_bytes -= size
        return size

    def _has_bytes(self) -> bool:
        try:
            return bool(self._connection.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False


class CallerProtocol(wsgi.HttpProtocol):
    """Eventlet's handler of a connection, which reads from a ``RequestStream``.

    ``on_stream`` is called with the state of the connection and its stream, and
    ``on_dropped`` with the cause if the server ends the connection.
    """

    def __init__(
        self,
        conn_state: list,
        server: Any,
        *,
        request_timeout_s: float,
        on_stream: Callable[[list, RequestStream], None],
        on_dropped: Callable[[DropCause], None],
    ):
        self._request_timeout_s = request_timeout_s
        self._on_stream = on_stream
        self._on_dropped = on_dropped
        # Serves the connection until it ends.
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Put the stream between the socket and the parser."""
        super().setup()
        self._stream = RequestStream(
            self.rfile.detach(), self.connection, self._request_timeout_s
        )
        self.rfile = io.BufferedReader(self._stream)
        self._on_stream(self.conn_state, self._stream)

    def handle_one_request(self) -> None:
        """Serve one request, or refuse it if it does not arrive."""
        # A caller may send requests without waiting for responses, so that a part of
        # the next one was read with the last.
        is_buffered = not self.rfile.closed and self.rfile.tell() < self._stream.tell()
        self._stream.begin_request(has_begun=is_buffered)
        self.environ = None
        try:
            super().handle_one_request()
        except RequestRefused as refusal:
            self.close_connection = True
            has_responded = self._has_responded()
            cause = refusal.cause
            if has_responded and cause is DropCause.UNFINISHED:
                cause = DropCause.IDLE
            self._on_dropped(cause)
            status = STATUS_OF_CAUSE.get(cause)
            if status is not None and not has_responded:
                self.wfile.write(
                    f"HTTP/1.1 {status} {status.phrase}\r\n"
                    "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
                )

    def _has_responded(self) -> bool:
        return bool(self.environ and self.environ["eventlet.input"].headers_sent)
