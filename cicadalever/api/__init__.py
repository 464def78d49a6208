"""WSGI applications for callers and for administration."""

from ._admin import (
    AdminApplication,
    AdminViews,
    AuditEventView,
    AuditView,
    MemberView,
    PatchVerdict,
    QuarantineView,
    RankCounts,
    RouteView,
    StatusView,
    UpstreamView,
    VerdictView,
    VersionsView,
)
from ._http import (
    Handler,
    Request,
    Response,
    Router,
    error_response,
    json_response,
)

__all__ = [
    "AdminApplication",
    "AdminViews",
    "AuditEventView",
    "AuditView",
    "Handler",
    "MemberView",
    "PatchVerdict",
    "QuarantineView",
    "RankCounts",
    "Request",
    "Response",
    "RouteView",
    "Router",
    "StatusView",
    "UpstreamView",
    "VerdictView",
    "VersionsView",
    "error_response",
    "json_response",
]
