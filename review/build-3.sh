#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, after the build of the
# deploy file. The stand-ins are Python modules without dependencies: they are
# compiled here, so that an error shows before a case runs.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/turmerichook
python3 - review/standin3/*.py review/1[1-5]/play.py <<'EOF'
import sys

for path in sys.argv[1:]:
    try:
        source = open(path, encoding="utf-8").read()
    except FileNotFoundError:
        continue
    compile(source, path, "exec")
EOF
