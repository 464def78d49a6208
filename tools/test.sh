#!/usr/bin/env bash
# Runs the formatter check, the linter and all tests. Usage: tools/test.sh [TEST...]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
.venv/bin/ruff format --check .
.venv/bin/ruff check .
exec .venv/bin/python tools/run_tests.py "$@"
