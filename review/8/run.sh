#!/bin/sh
# A head that leaves unannounced and then falls silent: see claim.txt.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
