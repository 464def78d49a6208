"""Ids of non-idempotent requests and the table that runs each at most once."""

from ._request_id import RequestId
from ._table import Begun, Finished, InProgress, OnceTable

__all__ = ["Begun", "Finished", "InProgress", "OnceTable", "RequestId"]
