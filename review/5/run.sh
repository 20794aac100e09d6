#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=../../target/deps
timeout -k 2 115 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
