"""First steps of a process, taken before the modules that take long to load.

This package imports only what the interpreter has loaded or loads quickly.
"""

from ._signals import ProcessSignals
from ._streams import LenientStream, open_missing_streams

__all__ = ["LenientStream", "ProcessSignals", "open_missing_streams"]
