"""An HTTP server that completes running requests before it stops."""

import errno
import resource
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import eventlet
from eventlet import wsgi
from loguru import logger

from ._request_stream import CallerProtocol, DropCause, RequestStream

LISTEN_BACKLOG = 1024
# Time in seconds for which a caller may neither send nor take a byte.
IO_TIMEOUT_S = 60.0
# Time in seconds from the first byte of a request to its last.
REQUEST_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 1024
# Shares of the descriptors of the process. It needs the rest for upstreams, peers and
# the platform.
CALLER_DESCRIPTOR_SHARE = 0.5
ADMIN_DESCRIPTOR_SHARE = 0.125
# Time between two searches for a connection that makes room.
POLL_S = 0.001
# Errors of accept that end when descriptors or memory are free again.
FULL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
FULL_PAUSE_S = 0.05


class WsgiServer:
    """Serves a WSGI application at ``address``, which is ``ip:port``.

    A connection ends when it neither sends nor takes a byte for ``io_timeout_s``
    seconds while the server waits for it. A request that is not complete
    ``request_timeout_s`` seconds after its first byte is refused with 408. Connections
    may take the share ``max_descriptor_share`` of the descriptors of the process.
    Beyond that, the one that has waited longest for its caller makes room for a new
    one; the part of a request that it has sent is refused with 503. ``on_dropped`` is
    called with the cause of each connection that the server ends in these ways.
    """

    def __init__(
        self,
        address: str,
        application: Any,
        *,
        io_timeout_s: float = IO_TIMEOUT_S,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        max_descriptor_share: float = CALLER_DESCRIPTOR_SHARE,
        on_dropped: Callable[[DropCause], None] = lambda cause: None,
    ):
        self.address = address
        self.application = application
        self.io_timeout_s = io_timeout_s
        self.request_timeout_s = request_timeout_s
        self.max_descriptor_share = max_descriptor_share
        self.on_dropped = on_dropped
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
        pool = _ConnectionPool(_max_connections(self.max_descriptor_share))
        try:
            wsgi.server(
                _Listener(self._listener, pool.make_room),
                self.application,
                log=_Log(),
                log_output=False,
                protocol=partial(
                    CallerProtocol,
                    request_timeout_s=self.request_timeout_s,
                    on_stream=pool.watch,
                    on_dropped=self.on_dropped,
                ),
                custom_pool=pool,
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


class _Listener:
    """Listening socket that outlasts times without a free descriptor.

    eventlet's server ends at the error of such a time. ``make_room`` is called until
    the next connection can be accepted.
    """

    def __init__(self, sock: Any, make_room: Callable[[], None]):
        self._sock = sock
        self._make_room = make_room

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> tuple[Any, Any]:
        """Wait for a connection and return its socket and address."""
        while True:
            try:
                return self._sock.accept()
            except OSError as error:
                if error.errno not in FULL_ERRORS:
                    raise
            self._make_room()
            eventlet.sleep(FULL_PAUSE_S)


class _ConnectionPool(eventlet.GreenPool):
    """Green threads of connections, of which one makes room when the pool is full."""

    def __init__(self, size: int):
        super().__init__(size)
        self._streams: dict[int, RequestStream] = {}

    def spawn(self, function: Callable[[list], None], parts: list) -> Any:
        """Serve a connection; wait for a free green thread if all have requests.

        ``parts`` is the state of a connection as eventlet's server keeps it.
        """
        while self.free() <= 0:
            self.make_room()
            eventlet.sleep(POLL_S)
        return super().spawn(self._serve, function, parts)

    def watch(self, parts: list, stream: RequestStream) -> None:
        """Remember the stream of a connection that is served."""
        self._streams[id(parts)] = stream

    def make_room(self) -> None:
        """Drop the connection that has waited longest for its caller, if any."""
        now = time.monotonic()
        waiting = [
            (stream.waits_since, number)
            for number, stream in self._streams.items()
            if stream.waits_since is not None
        ]
        for _, number in sorted(waiting):
            stream = self._streams[number]
            if stream.has_waited(now):
                stream.drop()
                return

    def _serve(self, function: Callable[[list], None], parts: list) -> None:
        try:
            function(parts)
        finally:
            self._streams.pop(id(parts), None)


class _Log:
    """File-like object that passes the messages of eventlet's server to the log."""

    def write(self, text: str) -> None:
        """Log one message."""
        if text.strip():
            logger.warning("HTTP server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing, since no message is buffered."""
