"""Digests all messages of the simulated scenarios, to compare two versions of the source.

Not run in CI: a tool for refactoring that must not change behaviour. It runs every whole-cluster
scenario of a source tree with each of its seeds and prints one digest per run. The digest covers
time, sender, receiver, method, path and body of every request, and the answers, on the simulated
network. Refactoring leaves all digests unchanged (names of scenarios may differ):

    python tests/benchmarks/wire_trace.py /path/to/tree/before > before.txt
    python tests/benchmarks/wire_trace.py . > after.txt
    diff before.txt after.txt

`--dump SCENARIO-SEED` prints the messages themselves instead, to find the first one that differs.
"""

import argparse
import hashlib
import os
import shlex
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

CASE_TIMEOUT_S = 600
DIGEST_DIGITS = 20
MAX_ERROR_CHARACTERS = 300
ONE_CASE = "--one-case"


def cluster_cases(scenarios: Path) -> Iterator[tuple[Path, str | None]]:
    """Yields (file, seed or None) for every scenario of kind `cluster` below a folder."""
    for file in sorted(scenarios.rglob("*.txt")):
        rows = [shlex.split(line, comments=True) for line in file.read_text().splitlines()]
        if ["kind", "cluster"] not in rows:
            continue
        seeds: Sequence[str | None] = next(
            (row[1:] for row in rows if row[:1] == ["seeds"]), [None]
        )
        for seed in seeds:
            yield file, seed


def traced(send: Callable[..., None], record: Callable[[bytes], None]) -> Callable[..., None]:
    """Wraps `World.request`, given as `send`, to record every request and answer in order."""
    import orjson

    def request(
        world: Any,
        source: str,
        target: str,
        method: str,
        path: str,
        body: Any,
        timeout: float,
        reply: Callable[..., None],
    ) -> None:
        def record_message(kind: str, *fields: Any) -> None:
            record(repr((kind, round(world.now, 9), source, target, *fields)).encode())

        def record_and_reply(status: int, data: Any) -> None:
            record_message("answer", method, path, status, orjson.dumps(data))
            reply(status, data)

        record_message("request", method, path, orjson.dumps(body))
        send(world, source, target, method, path, body, timeout, record_and_reply)

    return request


def play_case(tree: Path, file: Path, seed: str | None, record: Callable[[bytes], None]) -> None:
    """Runs one scenario of a tree; `record` receives every request and answer in order.

    It parses the file itself and uses only what the trees of all versions provide: `KINDS` with
    the methods `step` and `play`, and `World.request`.
    """
    sys.path[:0] = [str(tree / "tests"), str(tree)]
    import pytest
    from scenario_kinds import KINDS
    from stand_ins.world import World

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(World, "request", traced(World.request, record))
        scenario = KINDS["cluster"](patch, Path.cwd())  # this kind writes no files
        for line in file.read_text().splitlines():
            step = shlex.split(line, comments=True)
            if not step or step[0] in ("kind", "guard", "expect"):
                continue
            if step[0] == "seeds":
                assert seed is not None
                scenario.step("seed", [seed])
            else:
                scenario.step(step[0], step[1:])
        scenario.play()


def run_case(tree: Path, name: str, seed: str | None, arguments: Sequence[str] = ()) -> str:
    """Runs one case in a process of its own with a fixed hash seed; returns its output."""
    command = [sys.executable, __file__, str(tree), ONE_CASE, name, *arguments]
    if seed is not None:
        command += ["--seed", seed]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    completed = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=CASE_TIMEOUT_S,
        check=False,
    )
    if completed.returncode != 0:
        return f"failed: {completed.stderr[-MAX_ERROR_CHARACTERS:]!r}"
    return completed.stdout.strip()


def print_case(tree: Path, scenarios: Path, options: argparse.Namespace) -> None:
    """Prints the digest of one case, and with `--dump` its messages."""
    digest = hashlib.sha256()
    count = 0

    def record(message: bytes) -> None:
        nonlocal count
        count += 1
        digest.update(message)
        if options.dump:
            print(message.decode())

    play_case(tree, scenarios / f"{options.one_case}.txt", options.seed, record)
    print(f"{count} messages {digest.hexdigest()[:DIGEST_DIGITS]}")


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tree", type=Path, help="the root of a checkout")
    parser.add_argument(
        "--scenarios", type=Path, help="scenario folder (default: that of the tree)"
    )
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", default="", help="only scenarios whose path contains this text")
    parser.add_argument(ONE_CASE, help="run the scenario of this name in this process")
    parser.add_argument("--seed")
    parser.add_argument("--dump", action="store_true", help="with --one-case: print all messages")
    options = parser.parse_args()
    tree = options.tree.resolve()
    scenarios = (options.scenarios or tree / "tests" / "scenarios").resolve()
    if options.one_case is not None:
        print_case(tree, scenarios, options)
        return
    names = [
        (str(file.relative_to(scenarios))[:-4], seed)
        for file, seed in cluster_cases(scenarios)
        if options.only in str(file)
    ]
    with ThreadPoolExecutor(options.processes) as pool:
        lines = pool.map(lambda case: run_case(tree, *case), names)
        for (name, seed), line in zip(names, lines, strict=True):
            print(f"{name} {seed or '-'}: {line}", flush=True)


if __name__ == "__main__":
    main()
