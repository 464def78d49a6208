#!/usr/bin/env bash
# Checks that the stand-ins can be used. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys
import tomllib  # noqa: F401  (Python 3.11 or newer)

for path in [pathlib.Path("standins.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
sys.path.insert(0, ".")
import standins  # noqa: F401
PY
echo "stand-ins are ready"
