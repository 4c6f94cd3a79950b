"""Start one emberglade controller: `python3 run.py --config settings.toml`."""

import gc
import os
import sys

TARGET = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target")

sys.path.insert(0, os.path.join(TARGET, "deps"))
if os.path.isdir(os.path.join(TARGET, "bytecode")):
    # Compiled by the build (`tools/precompile_bytecode.py`, with figures): where nothing can be
    # written, every start would compile all of the source.
    sys.pycache_prefix = os.path.join(TARGET, "bytecode")

# Nothing of what is imported is garbage; looking through it took a tenth of a start. A controller
# that serves turns the collector on again (`emberglade/process.py`).
gc.disable()

from emberglade.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
