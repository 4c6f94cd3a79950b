"""Build step: keeps the byte code of all that a controller imports under `target/bytecode`.

Python checks it against time and size of each source, so byte code that is out of date is not used.
"""

import os
import sys

TARGET = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target")

sys.path.insert(0, os.path.join(TARGET, "deps"))
sys.pycache_prefix = os.path.join(TARGET, "bytecode")
sys.dont_write_bytecode = False

# Imported only where it is turned on, but then at each start.
import emberglade.failure_detection  # noqa: E402, F401
import emberglade.main  # noqa: E402, F401
import emberglade.process  # noqa: E402, F401
