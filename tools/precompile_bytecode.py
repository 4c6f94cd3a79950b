"""Build step: keeps the byte code of all that a controller imports under `target/bytecode`.

`run.py` has Python look there. A controller's platform has no disk to write to, so without this
every start compiles the source anew, from a third of a core. Processor time of a start, user and
system, as `tests/benchmarks/start_cost.py` measured it (Python 3.11, 15 starts each, median, least
to most; on a machine that was busy otherwise, so rounds differ by some tens of ms):

    with target/bytecode              223 ms (157 to 285)
    without, nothing can be written   277 ms (234 to 360)

Where Python can write its byte code beside the source, a second start does as well without this
(167 ms, 127 to 210): it is not needed for development.

Python checks the byte code against time and size of each source, so what is out of date is not
used. Run it as `deploy/service.toml` does, without the site module, once `target/deps` is there.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TARGET = os.path.join(ROOT, "target")

sys.path[:0] = [os.path.join(TARGET, "deps"), ROOT]
sys.pycache_prefix = os.path.join(TARGET, "bytecode")
sys.dont_write_bytecode = False

# Imported only where it is turned on, but then at each start.
import emberglade.failure_detection  # noqa: E402, F401
import emberglade.main  # noqa: E402, F401
import emberglade.process  # noqa: E402, F401
