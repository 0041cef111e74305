#!/bin/sh
# Builds what the scripts of review/4 to review/8 start: their stand-ins are Python of the standard library, in
# review/cluster.py and review/N/case.py, and run in one process. Nothing is to be compiled; this checks that they load.
cd "$(dirname "$0")/.." || exit 2
for file in review/cluster.py review/[45678]/case.py; do
    [ -e "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 1
done
