"""Parser of scenario files: text files with one step per line.

A line consists of a verb and its arguments, quoted as in a shell; `#` starts a comment. These
verbs are interpreted by the test runner instead of the scenario's kind, or in part by it:

    kind KIND               the class in `scenario_kinds` that implements the other verbs
    seeds N ...             run the scenario once with each of these seeds
    guard BUILD RULE        run it also with a broken build, which has to violate the rule
    expect WHAT ...         a condition that has to hold at this point
"""

import shlex
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).parent / "scenarios"
SUFFIX = ".txt"
KIND, SEED, SEEDS, GUARD, EXPECT = "kind", "seed", "seeds", "guard", "expect"


class Guard(NamedTuple):
    """A broken build, and the rule that the scenario has to violate with it."""

    build: str
    rule: str


class Line(NamedTuple):
    """One line that is neither empty nor only a comment."""

    number: int
    text: str
    verb: str
    arguments: list[str]


@dataclass(frozen=True)
class ScenarioFile:
    """One parsed scenario file.

    Attributes:
        seeds: The seeds of its `seeds` line; (None,) without one.
    """

    path: Path
    lines: tuple[Line, ...]
    seeds: tuple[str | None, ...]
    guards: tuple[Guard, ...]

    @property
    def name(self) -> str:
        """Path below the scenario folder without its suffix, e.g. `fleet/boot_failures`."""
        return str(self.path.relative_to(FOLDER).with_suffix(""))

    @property
    def kind(self) -> str:
        """The argument of the `kind` line."""
        return next(line.arguments[0] for line in self.lines if line.verb == KIND)


def read_scenario(path: Path) -> ScenarioFile:
    """Parses one file."""
    lines = tuple(read_lines(path))
    seeds = next((tuple(line.arguments) for line in lines if line.verb == SEEDS), (None,))
    guards = tuple(Guard(*line.arguments) for line in lines if line.verb == GUARD)
    return ScenarioFile(path, lines, seeds, guards)


def read_lines(path: Path) -> Iterator[Line]:
    """Yields the lines of a file, without comments and empty lines."""
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = shlex.split(text, comments=True)
        if words:
            yield Line(number, text, words[0], words[1:])


def read_scenarios() -> list[ScenarioFile]:
    """Parses all scenario files, in the order of their paths."""
    return [read_scenario(path) for path in sorted(FOLDER.rglob("*" + SUFFIX))]
