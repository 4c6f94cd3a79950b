"""Compares two versions of the source by all that they send in the simulated scenarios.

Not a test and not run in CI: a tool for changes that must not change behaviour. It plays every
whole-cluster scenario of a source tree, on each of its seeds, and prints a digest of every request
and answer that crossed the simulated network: time, sender, receiver, method, path and body. A
change of names or shape leaves all digests as they were (names of scenarios may differ):

    python tests/benchmarks/wire_trace.py /path/to/tree/before > before.txt
    python tests/benchmarks/wire_trace.py . > after.txt
    diff before.txt after.txt

`--dump SCENARIO-SEED` prints the messages themselves instead, to find the first that differs.
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
SHOWN_ERROR_CHARACTERS = 300
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
    """`World.request`, which is `send`, with every request and answer recorded in order."""
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
        def record_message(kind: str, *words: Any) -> None:
            record(repr((kind, round(world.now, 9), source, target, *words)).encode())

        def record_and_reply(status: int, data: Any) -> None:
            record_message("answer", method, path, status, orjson.dumps(data))
            reply(status, data)

        record_message("request", method, path, orjson.dumps(body))
        send(world, source, target, method, path, body, timeout, record_and_reply)

    return request


def play_case(tree: Path, file: Path, seed: str | None, record: Callable[[bytes], None]) -> None:
    """Plays one scenario of a tree; `record` gets every request and answer in order.

    It reads the file itself, and uses only what the trees of all versions have: the kinds of
    scenarios with their `step` and `play`, and `World.request`.
    """
    sys.path[:0] = [str(tree / "tests"), str(tree)]
    import pytest
    from scenario_kinds import KINDS
    from stand_ins.world import World

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(World, "request", traced(World.request, record))
        scenario = KINDS["cluster"](patch, Path.cwd())  # which writes no files
        for line in file.read_text().splitlines():
            words = shlex.split(line, comments=True)
            if not words or words[0] in ("kind", "guard", "expect"):
                continue
            if words[0] == "seeds":
                assert seed is not None
                scenario.step("seed", [seed])
            else:
                scenario.step(words[0], words[1:])
        scenario.play()


def run_case(tree: Path, name: str, seed: str | None, arguments: Sequence[str] = ()) -> str:
    """Plays one case in a process of its own, with set order fixed; returns what it prints."""
    command = [sys.executable, __file__, str(tree), ONE_CASE, name, *arguments]
    if seed is not None:
        command += ["--seed", seed]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    done = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=CASE_TIMEOUT_S,
        check=False,
    )
    if done.returncode != 0:
        return f"failed: {done.stderr[-SHOWN_ERROR_CHARACTERS:]!r}"
    return done.stdout.strip()


def print_case(tree: Path, scenarios: Path, options: argparse.Namespace) -> None:
    """Prints the digest of one case, or its messages."""
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
    parser.add_argument("--scenarios", type=Path, help="scenarios to play; else the tree's own")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", default="", help="only scenarios whose name holds this")
    parser.add_argument(ONE_CASE, help="one scenario by its name, in this process")
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
