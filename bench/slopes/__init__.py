"""Cost and duration against size, measured on one machine with stand-ins.

Each slope is a line fitted through measurements of several sizes. The capacity page
extrapolates them to the expected fleet.
"""

# Must be the first import of eventlet: it suppresses eventlet's deprecation warning.
import standins._eventlet  # noqa: F401

from ._fit import Fit, fit_line
from ._main import main

__all__ = ["Fit", "fit_line", "main"]
