#!/bin/sh
# Puts the stand-ins of this review's scripts, and the project's own that they
# use, under target/review-2. Needs the build of the deploy file and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R standins target/review-2/standins
cp -R review/standin2 target/review-2/standin2
python3 -m compileall -q target/review-2
