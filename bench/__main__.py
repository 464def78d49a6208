"""Entry point of ``python -m bench``."""

from bench._command import main

main()
