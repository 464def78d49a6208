"""First steps of a process, taken before the modules that take long to load."""

from ._signals import ProcessSignals
from ._streams import open_missing_streams

__all__ = ["ProcessSignals", "open_missing_streams"]
