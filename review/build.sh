#!/bin/sh
# Builds the stand-ins of the review's scripts: they need the standard library
# only, so that this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py */check.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
