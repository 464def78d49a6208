"""Explanation of how one request ended, from the event logs of the gateways."""

from ._explanation import Explanation, LogLine, explain_request, read_lines

__all__ = ["Explanation", "LogLine", "explain_request", "read_lines"]
