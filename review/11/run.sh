#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 review/11/case.py
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
