#!/bin/sh
# Builds what the scripts of review/6 and on start beside the programs that the deploy file builds.
# The stand-ins are Python 3 (standard library alone), so that there is nothing to compile: this checks
# that they can be read, and that the programs are there.
set -eu
cd "$(dirname "$0")/.."
python3 - review/lib-2/*.py review/[6-9]/case.py review/10/case.py <<'PYTHON'
import ast, os, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        ast.parse(open(path, encoding="utf-8").read(), path)
PYTHON
test -x target/release/mossrill || cargo build --locked --release
