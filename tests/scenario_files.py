"""Scenario files: small text files, one step a line.

A line is a verb and its words, quoted as in a shell; `#` begins a comment. Some verbs are for
whoever plays the scenario rather than for its kind:

    kind KIND               the class of `scenario_kinds` whose verbs the other lines are
    seeds N ...             the scenario is played once with each of these seeds
    guard BUILD RULE        it is played once more with a broken build, and has to break the rule
    expect WHAT ...         what has to hold in the end
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
    """A broken build, and the rule that a scenario has to break when it is played with it."""

    build: str
    rule: str


class Line(NamedTuple):
    """One line that is not empty."""

    number: int
    text: str
    verb: str
    words: list[str]


@dataclass(frozen=True)
class ScenarioFile:
    """One scenario as it is written.

    Attributes:
        seeds: The seeds that it names; (None,) if it names none.
    """

    path: Path
    lines: tuple[Line, ...]
    seeds: tuple[str | None, ...]
    guards: tuple[Guard, ...]

    @property
    def name(self) -> str:
        """Folder and name, as in `fleet/boot_failures`."""
        return str(self.path.relative_to(FOLDER).with_suffix(""))

    @property
    def kind(self) -> str:
        """The kind of scenario."""
        return next(line.words[0] for line in self.lines if line.verb == KIND)


def read_scenario(path: Path) -> ScenarioFile:
    """Reads one file."""
    lines = tuple(read_lines(path))
    seeds = next((tuple(line.words) for line in lines if line.verb == SEEDS), (None,))
    guards = tuple(Guard(*line.words) for line in lines if line.verb == GUARD)
    return ScenarioFile(path, lines, seeds, guards)


def read_lines(path: Path) -> Iterator[Line]:
    """The lines of a file, without comments and empty ones."""
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = shlex.split(text, comments=True)
        if words:
            yield Line(number, text, words[0], words[1:])


def read_scenarios() -> list[ScenarioFile]:
    """All scenarios, in the order of their names."""
    return [read_scenario(path) for path in sorted(FOLDER.rglob("*" + SUFFIX))]
