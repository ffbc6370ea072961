#!/bin/sh
# Builds what the scripts start beside the routers: the project's stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -rf target/review/snipedeal_standins
cp -R packages/snipedeal-standins/src/snipedeal_standins target/review/
