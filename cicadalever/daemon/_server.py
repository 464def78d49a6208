"""An HTTP server that completes running requests before it stops."""

from typing import Any

import eventlet
from eventlet import wsgi
from loguru import logger

LISTEN_BACKLOG = 1024


class WsgiServer:
    """Serves a WSGI application at ``address``, which is ``ip:port``."""

    def __init__(self, address: str, application: Any):
        self.address = address
        self.application = application
        self._listener: Any = None
        self._thread: Any = None

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
                socket_timeout=None,
                debug=False,
            )
        except (OSError, SystemExit):
            logger.debug("HTTP server on {} stopped", self.address)


class _Log:
    """File-like object that passes the messages of eventlet's server to the log."""

    def write(self, text: str) -> None:
        """Log one message."""
        if text.strip():
            logger.warning("HTTP server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing, since no message is buffered."""
