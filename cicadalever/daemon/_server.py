"""Listening HTTP servers that can be stopped without cutting a request."""

from typing import Any

import eventlet
from eventlet import wsgi
from loguru import logger

LISTEN_BACKLOG = 1024


class WsgiServer:
    """Serves one WSGI application on one address."""

    def __init__(self, address: str, application: Any):
        self.address = address
        self.application = application
        self._listener: Any = None
        self._thread: Any = None

    def start(self) -> None:
        """Listen and serve."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)
        self._thread = eventlet.spawn(self._serve)

    def stop(self, timeout_s: float) -> None:
        """Stop accepting and wait until running requests have been answered.

        The server shuts idle connections down and closes the others after their
        answer.
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
            logger.debug("server on {} stopped", self.address)


class _Log:
    """Sends what eventlet's server reports to the log."""

    def write(self, text: str) -> None:
        """Write one message."""
        if text.strip():
            logger.warning("http server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing; every message is written at once."""
