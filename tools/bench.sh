#!/usr/bin/env bash
# Runs a scenario of the benchmark, or "slopes", which measures cost by size.
# Usage: tools/bench.sh SCENARIO [--seed N] [--json] [--deployment semenanjung|nz-north]
#            [--plot FILE] [--keep DIRECTORY]
#        tools/bench.sh slopes [--json] [--only NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
if [ "${1:-}" = slopes ]; then
  shift
  exec .venv/bin/python -m bench.slopes "$@"
fi
exec .venv/bin/python -m bench "$@"
