"""How cost grows with size, measured on one machine with stand-ins."""

# The first import of eventlet, which leaves out its deprecation notice.
import standins._eventlet  # noqa: F401

from ._fit import Fit, fit_line
from ._main import main

__all__ = ["Fit", "fit_line", "main"]
