#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1
exec python3 review/5/case.py
