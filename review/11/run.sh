#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/11/case.py
