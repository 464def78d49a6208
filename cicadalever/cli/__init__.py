"""The command-line tool ``cicadalever``."""

from ._app import main

__all__ = ["main"]
