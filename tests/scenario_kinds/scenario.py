"""What all kinds of scenarios have in common: verbs, and how lines find them."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

ACTION_PREFIX = "do_"
EXPECTATION_PREFIX = "expect_"
EXPECT = "expect"


class Scenario:
    """A scenario that is played line by line.

    Subclasses define the verb `x` as a method `do_x`, and `expect y` as a method `expect_y`; the
    words after it are their arguments. Verbs may also be methods of the objects in `verbs`.

    Attributes:
        verbs: Where verbs are looked up, in this order.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        self.patch = patch
        self.directory = directory
        self.verbs: list[Any] = [self]

    def step(self, verb: str, words: list[str]) -> None:
        """Plays one line.

        Raises:
            AssertionError: An expectation does not hold, or there is no such verb.
        """
        if verb == EXPECT:
            self.find(EXPECTATION_PREFIX, words[0])(*words[1:])
        else:
            self.find(ACTION_PREFIX, verb)(*words)

    def find(self, prefix: str, verb: str) -> Callable[..., None]:
        """The method of a verb."""
        for holder in self.verbs:
            method = getattr(holder, prefix + verb, None)
            if method is not None:
                return method
        raise AssertionError(f"no verb {prefix}{verb}")

    def play(self) -> None:
        """Plays what the lines have planned; most kinds play each line at once."""

    def end(self) -> None:
        """Ends what was started, and checks what was watched."""

    def broken_rules(self) -> set[str]:
        """The rules that were broken, for scenarios with guards."""
        return set()
