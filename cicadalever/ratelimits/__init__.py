"""Rate limits that upstream replicas name in their answers."""

from ._header import parse_rate_limit
from ._named import LimitChange, NamedLimits

__all__ = ["LimitChange", "NamedLimits", "parse_rate_limit"]
