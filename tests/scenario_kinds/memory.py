"""Scenarios of the memory guard with simulated memory usage."""

from pathlib import Path

import pytest

from emberglade.memory_guard import MemoryGuard

from .scenario import Scenario

MEGABYTE = 1024 * 1024
LOW = "low"


class MemoryScenario(Scenario):
    """Runs a check of the memory guard after each change of the resident size."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.resident_mb = 0.0
        self.notified: list[bool] = []  # True for low memory, False for normal
        self.guard: MemoryGuard | None = None

    def do_limit(self, megabytes: str) -> None:
        """Creates the memory guard with this limit."""
        self.guard = MemoryGuard(
            float(megabytes),
            self.notified.append,
            lambda: "",
            lambda: self.resident_mb * MEGABYTE,
        )

    def do_resident(self, megabytes: str) -> None:
        """Sets the resident size and runs one check."""
        assert self.guard is not None
        self.resident_mb = float(megabytes)
        self.guard.check()

    def expect_notified(self, *states: str) -> None:
        """The guard has reported these states so far, each `low` or `normal`."""
        assert self.notified == [state == LOW for state in states], self.notified
