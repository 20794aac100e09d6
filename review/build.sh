#!/usr/bin/env bash
# Checks that the scripts' stand-ins, all in Python, can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import attrs, standins.deployment, standins.link' 2>/dev/null ||
    PYTHONPATH=../target/deps python3 -c \
        'import attrs, standins.deployment, standins.link'
