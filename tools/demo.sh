#!/usr/bin/env bash
# Shows the whole path on this machine. Usage: tools/demo.sh [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python -m standins.demo "$@"
