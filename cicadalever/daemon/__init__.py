"""The daemon: composition, loops and shutdown."""

from ._main import main

__all__ = ["main"]
