"""Runs the tool with ``python -m cicadalever.cli``."""

from ._app import main

main()
