"""Open-loop callers that record what each answer said.

The package patches nothing by itself: a program that uses ``LoadGenerator`` calls
``eventlet.monkey_patch()`` first, as ``python -m standins.load`` does.
"""

from ._generator import LoadGenerator
from ._records import Record, read_records, summarize, write_records

__all__ = ["LoadGenerator", "Record", "read_records", "summarize", "write_records"]
