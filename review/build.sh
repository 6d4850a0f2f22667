#!/bin/sh
# Builds the stand-ins of the scripts: plain Python of the standard library,
# which only has to compile. The programs are built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in common/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
