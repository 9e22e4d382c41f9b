#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and up start: Python programs that use the
# standard library only. Checks that the interpreter is there and that they compile.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 (3.11 or later) is needed"; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 is older than 3.11"; exit 1; }
for file in stand-3/*.py 1[1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
