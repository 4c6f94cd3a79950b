"""Build step: compiles the modules that a controller imports, and writes them to `target/bytecode`.

`run.py` sets that directory as Python's cache of byte code. The platform gives a controller no
writable disk and a third of a core, so without this step every start compiles all source files.
Processor time of a start, user and system (`tests/benchmarks/start_cost.py`, Python 3.11, 15 starts
each, median, minimum to maximum; other load on the machine shifts rounds by some tens of ms):

    with target/bytecode                 223 ms (157 to 285)
    without it, on a read-only disk      277 ms (234 to 360)

Development does not need this step: where Python can write byte code beside the source, a second
start is as fast (167 ms, 127 to 210).

Python compares the byte code with the time and size of each source file, so outdated byte code is
not used. Run this as `deploy/service.toml` does: without the site module, after `target/deps` has
been installed.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TARGET = os.path.join(ROOT, "target")

sys.path[:0] = [os.path.join(TARGET, "deps"), ROOT]
sys.pycache_prefix = os.path.join(TARGET, "bytecode")
sys.dont_write_bytecode = False

# A controller imports `emberglade.failure_detection` at start only if the feature is enabled.
import emberglade.failure_detection  # noqa: E402, F401
import emberglade.main  # noqa: E402, F401
import emberglade.process  # noqa: E402, F401
