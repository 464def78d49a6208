"""First steps of a process, taken before the modules that take long to load."""

from ._signals import ProcessSignals

__all__ = ["ProcessSignals"]
