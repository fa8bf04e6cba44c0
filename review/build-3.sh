#!/bin/sh
# Checks what the cases 11 and 12 start beside the system, after the build of
# the deploy file. All of it is Python that runs from its source with the
# packages of the deploy file; it is compiled into a temporary folder only.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=target/deps \
    python3 -m compileall -q standins review/shared-2 review/shared-3
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=target/deps \
    python3 -c 'import standins.pool._platform, standins.proxy'
