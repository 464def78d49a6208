"""HTTP interface for callers and administration."""

from ._request import QueryRequest, check_query_request

__all__ = ["QueryRequest", "check_query_request"]
