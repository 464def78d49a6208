"""Open-loop load generator that records the answer to each request.

Importing the package does not patch the standard library: a program that uses
``LoadGenerator`` calls ``eventlet.monkey_patch()`` first, like
``python -m standins.load``.
"""

from ._generator import LoadGenerator
from ._records import Record, read_records, summarize, write_records

__all__ = ["LoadGenerator", "Record", "read_records", "summarize", "write_records"]
