#!/bin/bash
# The stand-ins are Python programs that use the standard library alone; nothing has to be built.
# This checks that they compile. The controllers are built by the deploy file's `build` line.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
