#!/bin/sh
# The stand-ins need nothing but the standard library of Python; this checks
# that they compile, and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/tornado ] || { echo "target/deps is missing"; exit 1; }
python3 - review/shared/*.py review/[0-9]/*.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
END
