"""Starts one emberglade controller: `python3 run.py --config settings.toml`."""

import gc
import os
import sys

TARGET = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target")

sys.path.insert(0, os.path.join(TARGET, "deps"))
if os.path.isdir(os.path.join(TARGET, "bytecode")):
    # Byte code compiled by the build (`tools/precompile_bytecode.py`). Without it, a process that
    # can't write files compiles all source files at every start.
    sys.pycache_prefix = os.path.join(TARGET, "bytecode")

# Imports create no garbage, and collections during them took a tenth of the start time.
# `emberglade/process.py` enables the collector again.
gc.disable()

from emberglade.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
