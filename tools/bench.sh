#!/usr/bin/env bash
# Runs one scenario with both policies. Usage: tools/bench.sh SCENARIO [--seed N]
# [--json] [--deployment semenanjung|nz-north] [--plot FILE] [--keep DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python -m bench "$@"
