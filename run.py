"""Start one emberglade controller: `python3 run.py --config settings.toml`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from emberglade.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
