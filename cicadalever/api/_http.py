"""Requests, responses and routing on top of WSGI (PEP 3333).

Errors are returned, not raised: the ``read_`` methods of a request return either the
value or the ``Response`` that refuses the request. Error bodies have the form
``{"error": {"code": ..., "reason": ...}}``.
"""

import json
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from loguru import logger

JSON_TYPE = "application/json"

Environ = dict[str, Any]


class Response(NamedTuple):
    """An HTTP response; ``body`` is already encoded."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_response(
    value: object, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return a response that carries ``value`` as JSON."""
    body = json.dumps(value).encode()
    return Response(status, body, JSON_TYPE, headers)


def error_response(
    status: int,
    code: str,
    reason: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Return an error as JSON; ``code`` is for programs, ``reason`` for people."""
    return json_response({"error": {"code": code, "reason": reason}}, status, headers)


class Request:
    """One HTTP request; the body is read only when a handler asks for it."""

    def __init__(self, environ: Environ):
        self.environ = environ

    @property
    def method(self) -> str:
        """The method in upper case."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """The decoded path without the query string."""
        return self.environ.get("PATH_INFO", "")

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query string; a repeated name has its last value."""
        pairs = parse_qsl(self.environ.get("QUERY_STRING", ""), keep_blank_values=True)
        return dict(pairs)

    def read_integer(
        self, name: str, default: int, minimum: int, maximum: int
    ) -> int | Response:
        """Return an integer query parameter, or a 400 that states its range."""
        text = self.query.get(name)
        if text is None:
            return default
        if text.isascii() and text.isdigit() and len(text) <= len(str(maximum)):
            value = int(text)
            if minimum <= value <= maximum:
                return value
        reason = (
            f"query parameter {name} must be an integer from {minimum} to "
            f"{maximum}, got {text[:40]!r}"
        )
        return error_response(400, "invalid", reason)

    def read_body(self, limit: int) -> bytes | Response:
        """Return the body of at most ``limit`` bytes, or the refusal.

        The refusal is 411 without a Content-Length and 413 for a body above the limit.
        It is 400 for a length that is not a number, for a body that ends early, and
        for a Content-Length together with a Transfer-Encoding, because the two may
        contradict each other. The rest of a refused body is not read here: the server
        of eventlet discards it before it reuses the connection.
        """
        length = self._content_length(limit)
        if isinstance(length, Response):
            return length
        stream = self.environ["wsgi.input"]
        chunks: list[bytes] = []
        remaining = length
        while remaining:
            try:
                chunk = stream.read(remaining)
            except OSError as error:
                return error_response(
                    400, "invalid", f"reading the body failed: {error}"
                )
            if not chunk:
                reason = f"body ended after {length - remaining} of {length} bytes"
                return error_response(400, "invalid", reason)
            chunks.append(chunk)
            remaining -= len(chunk)
        return b"".join(chunks)

    def read_json(self, limit: int) -> Any | Response:
        """Return the body decoded from JSON, or the refusal."""
        body = self.read_body(limit)
        if isinstance(body, Response):
            return body
        try:
            return json.loads(body, parse_constant=_refuse_constant)
        except (ValueError, RecursionError) as error:
            return error_response(400, "invalid", f"body is not JSON: {error}")

    def read_object(self, limit: int) -> dict[str, Any] | Response:
        """Return the body decoded from a JSON object, or the refusal."""
        value = self.read_json(limit)
        if isinstance(value, dict | Response):
            return value
        reason = f"body must be a JSON object, got {type(value).__name__}"
        return error_response(400, "invalid", reason)

    def _content_length(self, limit: int) -> int | Response:
        text = self.environ.get("CONTENT_LENGTH") or ""
        if not text:
            return error_response(411, "invalid", "Content-Length is required")
        if not (text.isascii() and text.isdigit()):
            reason = f"Content-Length must be a number of bytes, got {text[:40]!r}"
            return error_response(400, "invalid", reason)
        if self.environ.get("HTTP_TRANSFER_ENCODING"):
            reason = "Content-Length and Transfer-Encoding exclude each other"
            return error_response(400, "invalid", reason)
        digits = text.lstrip("0") or "0"
        if len(digits) > len(str(limit)) or int(digits) > limit:
            reason = f"body of {text[:40]} bytes is above the limit of {limit} bytes"
            return error_response(413, "too_large", reason)
        return int(digits)


Handler = Callable[[Request], Response]


class Router:
    """A WSGI application that maps (method, path) to handlers.

    >>> router = Router({("GET", "/ping"): lambda request: json_response("pong")})
    >>> router.dispatch(Request({"REQUEST_METHOD": "GET", "PATH_INFO": "/ping"})).body
    b'"pong"'
    """

    def __init__(self, routes: Mapping[tuple[str, str], Handler]):
        self.routes = routes
        self._handlers_by_path: dict[str, dict[str, Handler]] = {}
        for (method, path), handler in routes.items():
            self._handlers_by_path.setdefault(path, {})[method] = handler

    def dispatch(self, request: Request) -> Response:
        """Return the response of the handler, a 404, or a 405 with an Allow header."""
        handlers = self._handlers_by_path.get(request.path)
        if handlers is None:
            return error_response(404, "not_found", f"no such path: {request.path}")
        handler = handlers.get(request.method)
        if handler is None:
            allowed = ", ".join(sorted(handlers))
            reason = f"{request.path} accepts {allowed}, not {request.method}"
            return error_response(405, "invalid", reason, (("Allow", allowed),))
        return handler(request)

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request (PEP 3333)."""
        response = self._respond(Request(environ))
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(status_line(response.status), headers)
        return [response.body]

    def _respond(self, request: Request) -> Response:
        try:
            return self.dispatch(request)
        except Exception:
            # An exception in one request must not affect the requests of other callers.
            logger.exception("handler of {} {} raised", request.method, request.path)
            return error_response(500, "internal", "internal error; see the host's log")


def status_line(status: int) -> str:
    """Return a status code with its reason phrase, such as ``404 Not Found``."""
    return f"{status} {HTTPStatus(status).phrase}"


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is not a JSON number")
