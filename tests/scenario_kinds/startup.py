"""Scenarios of the modules that a controller imports at its start."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from .scenario import Scenario
from .settings import OPERATORS_FILE, PLATFORM_FILE, VALID_PLATFORM

ROOT = Path(__file__).resolve().parents[2]
OWN_PACKAGE = "emberglade"

# Runs without the site module, as deploy/service.toml starts the controller.
PROGRAM = """
import sys
sys.path[:0] = {paths!r}
import emberglade.main
import emberglade.process
assert emberglade.main.main({arguments!r}) == 0
print("modules:", *sys.modules, sep="\\n")
"""


class StartupScenario(Scenario):
    """Runs `check` in a fresh interpreter and records the modules that it imports."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.modules: set[str] = set()

    def do_start(self, *options: str) -> None:
        """Runs `check` with these options, or with an operators' file that has this text."""
        if options and not options[0].startswith("--"):
            file = self.directory / OPERATORS_FILE
            file.write_text(options[0])
            options = ("--operators", str(file))
        settings = self.directory / PLATFORM_FILE
        settings.write_text(VALID_PLATFORM)
        self.modules = self.run(["check", "--config", str(settings), *options])

    @staticmethod
    def run(arguments: list[str]) -> set[str]:
        """Returns the modules that the main program imports with these arguments."""
        packages = Path(orjson.__file__).resolve().parents[1]
        program = PROGRAM.format(paths=[str(ROOT), str(packages)], arguments=arguments)
        done = subprocess.run(
            [sys.executable, "-I", "-S", "-c", program], capture_output=True, text=True, check=False
        )
        assert done.returncode == 0, done.stderr
        return set(done.stdout.partition("modules:\n")[2].split())

    def own_modules(self) -> set[str]:
        """The imported modules of this project."""
        return {name for name in self.modules if name.partition(".")[0] == OWN_PACKAGE}

    def expect_imported(self, *names: str) -> None:
        """All of these were imported."""
        assert self.modules.issuperset(names), sorted(self.modules)

    def expect_not_imported(self, *names: str) -> None:
        """None of these was imported."""
        found = self.modules.intersection(names)
        assert not found, found

    def expect_foreign_modules_at_most(self, count: str) -> None:
        """At most this many modules of other packages were imported."""
        foreign = self.modules - self.own_modules()
        assert len(foreign) <= int(count), len(foreign)

    def expect_own_modules_at_most(self, count: str) -> None:
        """At most this many modules of this project were imported."""
        own = self.own_modules()
        assert len(own) <= int(count), len(own)
