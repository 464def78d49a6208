"""Entry point of ``python -m bench.slopes``."""

import sys

from ._main import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
