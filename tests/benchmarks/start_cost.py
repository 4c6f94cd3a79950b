"""Measures the processor time of a controller's start with and without precompiled bytecode.

Not run in CI. The tree has to be a scratch copy that was built (`build` in deploy/service.toml),
since its bytecode is moved away and back. The time of a start is user and system time until the
log line that reports that it serves; an identical start before it warms the disk cache.

    python tests/benchmarks/start_cost.py /path/to/built/copy --runs 15
"""

import argparse
import os
import shutil
import statistics
import subprocess
import sys
from pathlib import Path

ARGUMENTS = ["-S", "run.py", "--enable", "failure-detection", "--config", "examples/settings.toml"]
SERVING_LOG_TEXT = b"serves users"
NO_BYTECODE_WRITES = {"PYTHONDONTWRITEBYTECODE": "1"}


def start(tree, environment):
    """Starts a controller and returns its processor time in milliseconds."""
    inherited = {key: value for key, value in os.environ.items() if key not in NO_BYTECODE_WRITES}
    process = subprocess.Popen(
        [sys.executable, *ARGUMENTS],
        cwd=tree,
        stderr=subprocess.PIPE,
        env={**inherited, **environment},
    )
    assert process.stderr is not None
    with process.stderr as log:
        if not any(SERVING_LOG_TEXT in line for line in log):
            raise SystemExit(f"the controller in {tree} ended without logging {SERVING_LOG_TEXT!r}")
        process.kill()
        _, _, used = os.wait4(process.pid, 0)
    return 1000 * (used.ru_utime + used.ru_stime)


def second_start(tree, environment):
    """Starts a controller twice and returns the second processor time in milliseconds."""
    start(tree, environment)
    return start(tree, environment)


def remove_bytecode(tree):
    """Removes the bytecode that Python wrote next to the source."""
    for folder in list((tree / "emberglade").rglob("__pycache__")):
        shutil.rmtree(folder)


def main():
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tree", type=Path, help="a built copy of the checkout")
    parser.add_argument("--runs", type=int, default=15)
    options = parser.parse_args()
    tree = options.tree.resolve()
    precompiled = tree / "target" / "bytecode"
    moved = tree / "target" / "bytecode.away"
    with_bytecode_ms, not_writable_ms, second_start_ms = [], [], []
    for _ in range(options.runs):
        remove_bytecode(tree)
        with_bytecode_ms.append(second_start(tree, NO_BYTECODE_WRITES))
        precompiled.rename(moved)
        not_writable_ms.append(second_start(tree, NO_BYTECODE_WRITES))
        second_start_ms.append(second_start(tree, {}))
        moved.rename(precompiled)
    remove_bytecode(tree)
    for name, times_ms in (
        ("with target/bytecode", with_bytecode_ms),
        ("without, nothing can be written", not_writable_ms),
        ("without, a second start", second_start_ms),
    ):
        print(
            f"{name}: median {statistics.median(times_ms):.0f} ms, "
            f"{min(times_ms):.0f} to {max(times_ms):.0f}, {len(times_ms)} starts"
        )


if __name__ == "__main__":
    main()
