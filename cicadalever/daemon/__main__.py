"""Runs the daemon with ``python -m cicadalever.daemon``."""

from ._main import main

main()
