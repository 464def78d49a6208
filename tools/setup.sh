#!/usr/bin/env bash
# Creates .venv with the pinned dependencies of pyproject.toml. Runs pip only if
# pyproject.toml has changed since the last successful install.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/.installed
if [ ! -f "$stamp" ] || ! cmp -s pyproject.toml "$stamp"; then
  [ -x .venv/bin/python ] || python3 -m venv .venv
  .venv/bin/pip install --quiet --disable-pip-version-check --editable '.[dev]' 2> .venv/pip.log ||
    { cat .venv/pip.log >&2; exit 1; }
  cp pyproject.toml "$stamp"
fi
