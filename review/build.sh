#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are Python files that need only the standard
# library, so this checks that they compile; nothing is written.
cd "$(dirname "$0")" || exit 2
for file in standins.py [0-9]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
