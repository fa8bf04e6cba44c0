#!/bin/sh
# A spare that a returning leader takes from an open group: see claim.txt.
# TROUBLE=0 runs it without the disruption. What was sent, answered and run
# stands in record.txt afterwards. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py --trouble "${TROUBLE:-1}" --record record.txt
