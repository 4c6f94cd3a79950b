"""Start one emberglade controller: `python3 run.py --config settings.toml`."""

import os
import sys

TARGET = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target")

sys.path.insert(0, os.path.join(TARGET, "deps"))
if os.path.isdir(os.path.join(TARGET, "bytecode")):
    # Compiled by the build (`tools/precompile_bytecode.py`, with figures): where nothing can be
    # written, every start would compile all of the source.
    sys.pycache_prefix = os.path.join(TARGET, "bytecode")

from emberglade.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
