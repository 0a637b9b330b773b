#!/bin/sh
# Puts the package and its dependencies under target/deps.
set -eu
deps=target/deps
stamp=target/requirements-$(cksum < deploy/requirements.txt | tr ' ' -)
if [ ! -e "$stamp" ]; then
    rm -rf target
    mkdir -p "$deps"
    python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps/turmerichook"
cp -R src/turmerichook "$deps/turmerichook"
python3 -m compileall -q "$deps"
