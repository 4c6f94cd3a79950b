"""Processor time of a controller's start, with and without precompiled byte code.

Not a test and not run in CI. The tree has to be a scratch copy that is built (`build` in
deploy/service.toml): its byte code is moved away and back. A start counts up to the log line that
says it serves, user and system time; before each start that counts, one alike warms the disk's
cache.

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
SERVES = b"serves users"
NO_WRITING = {"PYTHONDONTWRITEBYTECODE": "1"}


def start(tree, environment):
    """The processor time of one start, in milliseconds."""
    inherited = {key: value for key, value in os.environ.items() if key not in NO_WRITING}
    process = subprocess.Popen(
        [sys.executable, *ARGUMENTS],
        cwd=tree,
        stderr=subprocess.PIPE,
        env={**inherited, **environment},
    )
    assert process.stderr is not None
    with process.stderr as log:
        if not any(SERVES in line for line in log):
            raise SystemExit(f"the controller in {tree} does not serve")
        process.kill()
        _, _, used = os.wait4(process.pid, 0)
    return 1000 * (used.ru_utime + used.ru_stime)


def second_start(tree, environment):
    """The processor time of the second of two starts, in milliseconds."""
    start(tree, environment)
    return start(tree, environment)


def forget_byte_code(tree):
    """Removes the byte code that Python wrote beside the source."""
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
    away = tree / "target" / "bytecode.away"
    with_it, nothing_writable, second = [], [], []
    for _ in range(options.runs):
        forget_byte_code(tree)
        with_it.append(second_start(tree, NO_WRITING))
        precompiled.rename(away)
        nothing_writable.append(second_start(tree, NO_WRITING))
        second.append(second_start(tree, {}))
        away.rename(precompiled)
    forget_byte_code(tree)
    for name, times in (
        ("with target/bytecode", with_it),
        ("without, nothing can be written", nothing_writable),
        ("without, a second start", second),
    ):
        print(
            f"{name}: median {statistics.median(times):.0f} ms, "
            f"{min(times):.0f} to {max(times):.0f}, {len(times)} starts"
        )


if __name__ == "__main__":
    main()
