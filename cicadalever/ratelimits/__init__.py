"""Rate limits that upstream replicas name, and how the hosts divide them."""

from ._header import parse_rate_limit
from ._named import LimitChange, LimitNews, NamedLimits
from ._permits import PermitSchedule
from ._share import compute_share

__all__ = [
    "LimitChange",
    "LimitNews",
    "NamedLimits",
    "PermitSchedule",
    "compute_share",
    "parse_rate_limit",
]
