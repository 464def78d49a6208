"""WSGI applications for callers and for administration."""

from ._admin import AdminApplication
from ._arrival import ArrivalClock
from ._caller import CallerApplication, encode_answer
from ._http import (
    Handler,
    Request,
    Response,
    Router,
    error_response,
    json_response,
)
from ._request import QueryRequest, check_query_request
from ._views import (
    AdminViews,
    AuditEventView,
    AuditView,
    HealthState,
    MemberView,
    PatchCheckView,
    QuarantineView,
    RankCounts,
    RouteView,
    StatusView,
    UpstreamView,
    VerdictView,
    VersionsView,
)

__all__ = [
    "ArrivalClock",
    "AdminApplication",
    "AdminViews",
    "AuditEventView",
    "AuditView",
    "CallerApplication",
    "Handler",
    "HealthState",
    "MemberView",
    "PatchCheckView",
    "QuarantineView",
    "QueryRequest",
    "RankCounts",
    "Request",
    "Response",
    "RouteView",
    "Router",
    "StatusView",
    "UpstreamView",
    "VerdictView",
    "VersionsView",
    "check_query_request",
    "encode_answer",
    "error_response",
    "json_response",
]
