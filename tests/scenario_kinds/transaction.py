"""Scenarios of the limits that a transaction of the state service is assembled within."""

from pathlib import Path

import orjson
import pytest

from emberglade.state import wire
from emberglade.state.transaction_builder import TransactionBuilder

from .scenario import Scenario

PADDING = "a"  # a character that takes one byte when encoded


class TransactionScenario(Scenario):
    """Adds parts to a transaction until they don't fit any more.

    Sizes are measured on the request's body, apart from the builder's own account.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.builder = TransactionBuilder(1)
        self.parts = 0
        self.added = False

    def do_begin(self, max_writes: str) -> None:
        """Begins a transaction of at most this many writes."""
        self.builder = TransactionBuilder(int(max_writes))

    def do_fill_to(self, total_bytes: str, text: str = PADDING) -> None:
        """Adds a condition and a write so that the body would have exactly this size.

        The written value consists of repetitions of `text`, and of padding.
        """
        key = self.next_key()
        missing = int(total_bytes) - self.size_with(key, "")
        assert missing >= 0, "the body has this size already"
        text_bytes = len(orjson.dumps(text)) - len(orjson.dumps(""))
        value = text * (missing // text_bytes) + PADDING * (missing % text_bytes)
        assert self.size_with(key, value) == int(total_bytes)
        self.added = self.builder.add([(key, 0)], [wire.put(key, value)])

    def do_add(self, conditions: str, writes: str) -> None:
        """Adds a part with this many new conditions and writes, each of another key."""
        keys = [self.next_key() for _ in range(int(conditions))]
        removals = [wire.remove(self.next_key()) for _ in range(int(writes))]
        self.added = self.builder.add([(key, 0) for key in keys], removals)

    def do_repeat_conditions(self) -> None:
        """Adds a write with all the conditions that the transaction has already."""
        writes = [wire.remove(self.next_key())]
        self.added = self.builder.add(self.builder.conditions, writes)

    def next_key(self) -> str:
        """A key that was not used before."""
        self.parts += 1
        return f"key/{self.parts}"

    def size_with(self, key: str, value: str) -> int:
        """The size of the body with another condition and write."""
        return self.encoded_size([(key, 0)], [wire.put(key, value)])

    def encoded_size(self, conditions: list[wire.Condition], writes: list) -> int:
        """The size of the body, in bytes, with these conditions and writes added."""
        body = wire.compare_and_swap(
            [*self.builder.conditions, *conditions], [*self.builder.writes, *writes]
        )
        return len(orjson.dumps(body))

    def expect_added(self, expected: str) -> None:
        """The last part fitted or did not, as `true` or `false` states."""
        assert self.added == (expected == "true"), self.builder.total_bytes

    def expect_body_bytes(self, expected: str) -> None:
        """The body has this size, and the builder counts the same."""
        assert self.encoded_size([], []) == int(expected), self.encoded_size([], [])
        assert self.builder.total_bytes == int(expected), self.builder.total_bytes

    def expect_writes(self, expected: str) -> None:
        """The transaction has this many writes."""
        assert len(self.builder.writes) == int(expected), len(self.builder.writes)
