#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../target/release/mossrill || { echo "the program is not built"; exit 2; }
command -v python3 >/dev/null || { echo "Python 3 is needed"; exit 2; }
exec python3 -B case.py
