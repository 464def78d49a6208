"""An HTTP server that completes running requests before it stops."""

import resource
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
from eventlet import greenio, wsgi
from loguru import logger

LISTEN_BACKLOG = 1024
# Time in seconds for which a caller may neither send nor take a byte.
IO_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 1024
# Shares of the descriptors of the process. It needs the rest for upstreams, peers and
# the platform.
CALLER_DESCRIPTOR_SHARE = 0.5
ADMIN_DESCRIPTOR_SHARE = 0.125
# A connection that is younger, in seconds, may not have sent its request yet.
MIN_IDLE_AGE_S = 0.1
# Time between two searches for an idle connection.
POLL_S = 0.001


class WsgiServer:
    """Serves a WSGI application at ``address``, which is ``ip:port``.

    A connection ends when it neither sends nor takes a byte for ``io_timeout_s``
    seconds while the server waits for it. Connections may take the share
    ``max_descriptor_share`` of the descriptors of the process. Beyond that, the oldest
    one without a request is closed for a new one.
    """

    def __init__(
        self,
        address: str,
        application: Any,
        *,
        io_timeout_s: float = IO_TIMEOUT_S,
        max_descriptor_share: float = CALLER_DESCRIPTOR_SHARE,
    ):
        self.address = address
        self.application = application
        self.io_timeout_s = io_timeout_s
        self.max_descriptor_share = max_descriptor_share
        self._listener: Any = None
        self._thread: Any = None

    @property
    def port(self) -> int:
        """Port of the open socket."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Open the socket and serve in a green thread."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)
        self._thread = eventlet.spawn(self._serve)

    def stop(self, timeout_s: float) -> None:
        """Accept no more connections and wait until running requests are answered.

        Idle connections are closed at once, the others after their answer. The wait
        ends after ``timeout_s`` seconds.
        """
        if self._thread is None:
            return
        eventlet.kill(self._thread, SystemExit)
        with eventlet.Timeout(timeout_s, False):
            self._thread.wait()

    def _serve(self) -> None:
        try:
            wsgi.server(
                self._listener,
                self.application,
                log=_Log(),
                log_output=False,
                custom_pool=_ConnectionPool(
                    _max_connections(self.max_descriptor_share)
                ),
                socket_timeout=self.io_timeout_s,
                debug=False,
            )
        except (OSError, SystemExit):
            logger.debug("HTTP server on {} stopped", self.address)


def _max_connections(descriptor_share: float) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, int(soft_limit * descriptor_share)))


class _Connection(NamedTuple):
    """A connection as eventlet's server keeps it: address, socket and state."""

    parts: list
    accepted_at: float

    def is_idle(self, now: float) -> bool:
        """Tell whether the server waits for a request of which nothing has come."""
        if self.parts[2] != wsgi.STATE_IDLE or now - self.accepted_at < MIN_IDLE_AGE_S:
            return False
        try:
            return not self.parts[1].fd.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def close(self) -> None:
        """Make the green thread of the connection end."""
        self.parts[2] = wsgi.STATE_CLOSE
        greenio.shutdown_safe(self.parts[1])


class _ConnectionPool(eventlet.GreenPool):
    """Green threads of connections, of which idle ones end when the pool is full."""

    def __init__(self, size: int):
        super().__init__(size)
        self._connections: dict[int, _Connection] = {}

    def spawn(self, function: Callable[[list], None], parts: list) -> Any:
        """Serve a connection; wait for a free green thread if all have requests."""
        while self.free() <= 0:
            self._close_oldest_idle()
            eventlet.sleep(POLL_S)
        self._connections[id(parts)] = _Connection(parts, time.monotonic())
        return super().spawn(self._serve, function, parts)

    def _serve(self, function: Callable[[list], None], parts: list) -> None:
        try:
            function(parts)
        finally:
            del self._connections[id(parts)]

    def _close_oldest_idle(self) -> None:
        now = time.monotonic()
        for connection in self._connections.values():
            if connection.is_idle(now):
                connection.close()
                logger.warning("closed an idle connection for a new one")
                return


class _Log:
    """File-like object that passes the messages of eventlet's server to the log."""

    def write(self, text: str) -> None:
        """Log one message."""
        if text.strip():
            logger.warning("HTTP server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing, since no message is buffered."""
