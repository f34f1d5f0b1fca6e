#!/bin/sh
# Builds what the cases start. The programs are those of the deploy file; the stand-ins are Python
# programs that need its standard library alone, so there is nothing of theirs to compile.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/mossrill || cargo build --release
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 is needed"'
for file in review/lib/*.py review/*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
