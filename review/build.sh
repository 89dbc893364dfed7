#!/bin/bash
# The stand-ins are Python programs without dependencies; this only checks that they can be run.
cd "$(dirname "$0")" || exit 1
for file in standins.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
