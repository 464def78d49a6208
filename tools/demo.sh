#!/usr/bin/env bash
# Starts a deployment on this machine and shows the command-line tool on it.
# Usage: tools/demo.sh [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python -m standins.demo "$@"
