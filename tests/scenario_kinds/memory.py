"""The guard of a process's memory, with figures of the scenario's own."""

from pathlib import Path

import pytest

from emberglade.memory_guard import MemoryGuard

from .scenario import Scenario

MEGABYTE = 1024 * 1024
LOW = "low"


class MemoryScenario(Scenario):
    """A memory guard that looks whenever the process holds something else."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.resident_mb = 0.0
        self.notified: list[bool] = []  # whether memory was called short
        self.guard: MemoryGuard | None = None

    def do_limit(self, megabytes: str) -> None:
        """The process may hold so much."""
        self.guard = MemoryGuard(
            float(megabytes),
            self.notified.append,
            lambda: "",
            lambda: self.resident_mb * MEGABYTE,
        )

    def do_resident(self, megabytes: str) -> None:
        """The process holds so much now."""
        assert self.guard is not None
        self.resident_mb = float(megabytes)
        self.guard.check()

    def expect_notified(self, *states: str) -> None:
        """So far memory was called `low`, then `normal`, and so on."""
        assert self.notified == [state == LOW for state in states], self.notified
