#!/bin/sh
# Builds the stand-ins of cases 4 to 8. They are Python scripts of the standard library alone, so
# that it suffices to check that this Python compiles them; nothing is left behind.
cd "$(dirname "$0")" || exit 1
exec python3 - common-2/*.py [4-8]/case.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for file in sys.argv[1:]:
    with open(file, encoding="utf-8") as source:
        compile(source.read(), file, "exec")
print(f"{len(sys.argv) - 1} files compile")
PYTHON
