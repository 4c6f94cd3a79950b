"""Base class of all scenario kinds: looks up the method for the verb of each line."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

ACTION_PREFIX = "do_"
EXPECTATION_PREFIX = "expect_"
EXPECT = "expect"


class Scenario:
    """A scenario that is executed line by line.

    Subclasses define the verb `x` as a method `do_x`, and `expect y` as a method `expect_y`; the
    rest of the line is passed as string arguments.

    Attributes:
        verbs: Objects whose methods implement verbs, in lookup order.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        self.patch = patch
        self.directory = directory
        self.verbs: list[Any] = [self]

    def step(self, verb: str, arguments: list[str]) -> None:
        """Executes one line.

        Raises:
            AssertionError: An expectation does not hold, or the verb is unknown.
        """
        if verb == EXPECT:
            self.find(EXPECTATION_PREFIX, arguments[0])(*arguments[1:])
        else:
            self.find(ACTION_PREFIX, verb)(*arguments)

    def find(self, prefix: str, verb: str) -> Callable[..., None]:
        """Returns the method that implements a verb.

        Raises:
            AssertionError: The verb is unknown.
        """
        for provider in self.verbs:
            method = getattr(provider, prefix + verb, None)
            if method is not None:
                return method
        raise AssertionError(f"unknown verb: {type(self).__name__} has no method {prefix}{verb}")

    def play(self) -> None:
        """Executes the planned actions; most kinds execute each line immediately instead."""

    def end(self) -> None:
        """Releases resources and checks conditions that were watched throughout the scenario."""

    def broken_rules(self) -> set[str]:
        """Returns the names of the rules that were broken, for scenarios with guards."""
        return set()
