#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt in this folder.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 case.py
