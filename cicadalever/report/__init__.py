"""Report on a period of operation from the decision logs of gateways."""

from ._aggregate import LogSummary, Second, summarize_logs
from ._html import render_report

__all__ = ["LogSummary", "Second", "render_report", "summarize_logs"]
