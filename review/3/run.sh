#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/snipedeal_direct ] && [ -d target/review/snipedeal_standins ] || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:target/review:review
python3 review/3/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
