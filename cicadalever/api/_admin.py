"""WSGI application of the administration interface of a daemon."""

from typing import Any

from cicadalever.audit import AuditKind
from cicadalever.metrics import CONTENT_TYPE

from ._http import (
    Environ,
    Request,
    Response,
    Router,
    error_response,
    json_response,
)
from ._views import AdminViews, HealthState

# The platform stores no larger value, so a valid patch is never larger.
MAX_PATCH_BYTES = 1_000_000
DEFAULT_AUDIT_EVENTS = 200
MAX_AUDIT_EVENTS = 1000
MAX_SEQUENCE = 2**63 - 1


class AdminApplication:
    """Serves ``views`` as JSON and passes commands of operators to them.

    A list is returned as a field of an object, so that fields can be added later.
    """

    def __init__(self, views: AdminViews):
        self.views = views
        self._router = Router(
            {
                ("GET", "/v1/status"): self._status,
                ("GET", "/v1/versions"): self._versions,
                ("GET", "/v1/members"): self._members,
                ("GET", "/v1/routes"): self._routes,
                ("GET", "/v1/upstreams"): self._upstreams,
                ("GET", "/v1/audit"): self._audit,
                ("GET", "/v1/quarantine"): self._quarantine,
                ("GET", "/v1/health"): self._health,
                ("GET", "/metrics"): self._metrics,
                ("POST", "/v1/drain"): self._drain,
                ("POST", "/v1/check-patch"): self._check_patch,
            }
        )

    def __call__(self, environ: Environ, start_response: Any) -> Any:
        """Serve one request (PEP 3333)."""
        return self._router(environ, start_response)

    def _status(self, request: Request) -> Response:
        return json_response(self.views.status())

    def _versions(self, request: Request) -> Response:
        return json_response(self.views.versions())

    def _members(self, request: Request) -> Response:
        return json_response({"members": self.views.members()})

    def _routes(self, request: Request) -> Response:
        return json_response({"routes": self.views.routes()})

    def _upstreams(self, request: Request) -> Response:
        return json_response({"upstreams": self.views.upstreams()})

    def _audit(self, request: Request) -> Response:
        after = request.read_integer("after", 0, 0, MAX_SEQUENCE)
        if isinstance(after, Response):
            return after
        limit = request.read_integer("limit", DEFAULT_AUDIT_EVENTS, 1, MAX_AUDIT_EVENTS)
        if isinstance(limit, Response):
            return limit
        kind = request.query.get("kind") or None
        if kind is not None and kind not in set(AuditKind):
            kinds = ", ".join(sorted(AuditKind))
            return error_response(400, "invalid", f"kind: {kind!r} is not in {kinds}")
        return json_response(self.views.audit(after, kind, limit))

    def _quarantine(self, request: Request) -> Response:
        return json_response({"quarantine": self.views.quarantine()})

    def _health(self, request: Request) -> Response:
        return health_response(self.views.health())

    def _metrics(self, request: Request) -> Response:
        return Response(200, self.views.metrics(), CONTENT_TYPE)

    def _drain(self, request: Request) -> Response:
        self.views.drain()
        return json_response({"state": self.views.health()}, 202)

    def _check_patch(self, request: Request) -> Response:
        patch = request.read_object(MAX_PATCH_BYTES)
        if isinstance(patch, Response):
            return patch
        if "operations" not in patch:
            return error_response(400, "invalid", "the patch has no field operations")
        return json_response(self.views.check_patch(patch))


def health_response(state: HealthState) -> Response:
    """Return 200 for ``ready`` and 503 otherwise, with the state in the body."""
    return json_response({"state": state}, 200 if state == "ready" else 503)
