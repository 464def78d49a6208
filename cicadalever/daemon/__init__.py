"""The process of one host: composition of its components, loops and shutdown."""

from ._main import main

__all__ = ["main"]
