#!/bin/sh
# Prepares the stand-ins of the review: Python programs without dependencies.
# The scripts use no stand-in of the project itself.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standin */case.py
test -d ../target/deps/turmerichook || {
    echo "run the build of the deploy file first: sh deploy/build.sh" >&2
    exit 1
}
