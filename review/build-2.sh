#!/bin/sh
# Builds what the cases 6 to 10 start beside the system. All of it is Python
# that runs from its source with the packages of the deploy file, so that it is
# only compiled into a temporary folder, to show that it is whole.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=target/deps \
    python3 -m compileall -q standins review/shared-2
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=target/deps \
    python3 -c 'import standins.pool._platform'
