#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R packages/snipedeal-standins/src/snipedeal_standins target/review-2/
cp review/stage_2.py review/replica_2.py target/review-2/
python3 -m compileall -q target/review-2
