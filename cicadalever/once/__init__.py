"""At-most-once execution of non-idempotent requests, by ids that a host issues."""

from ._request_id import RequestId
from ._table import Begun, Finished, InProgress, OnceTable

__all__ = ["Begun", "Finished", "InProgress", "OnceTable", "RequestId"]
