#!/usr/bin/env bash
# Runs the soak test of the gateway under random faults.
# Usage: tools/soak.sh [--seeds A..B] [--minutes M] [--wide] [--cuts] [--silences]
#        tools/soak.sh --floods [--kinds KIND,...] [--seeds A..B] [--minutes M]
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec .venv/bin/python -W ignore -m tests.soak "$@"
