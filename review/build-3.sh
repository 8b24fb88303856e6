#!/bin/sh
# The stand-ins of cases 11 to 15 are Python without a build step and without
# packages. This only checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in bed-[34]/*.py 1[1-5]/*.py; do
    python3 -B -c 'import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
