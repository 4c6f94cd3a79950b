"""Assembles transactions that keep to the limits of the state service."""

from collections.abc import Iterable, Sequence
from typing import Any

import orjson

from . import wire

# PROTOCOL allows 64 KiB in total. The reserve is for a state service that counts more than the
# bytes of the request, for example blanks between them.
MAX_TRANSACTION_BYTES = 60 * 1024
CONDITIONS_PER_WRITE = 4  # conditions allowed in a transaction, as a multiple of its writes

FRAME_BYTES = len(orjson.dumps(wire.compare_and_swap([], [])))


class TransactionBuilder:
    """A transaction that grows by parts: conditions and writes that belong together.

    Sizes are those of the encoded parts, not estimates: a value may be almost empty, or as large
    as the state service allows.

    Attributes:
        writes: The changes, in the format of the store's commits.
        total_bytes: Size of the request's body.
    """

    def __init__(self, max_writes: int) -> None:
        """Starts with an empty transaction that may hold `max_writes` writes."""
        self._max_writes = max_writes
        self._max_conditions = CONDITIONS_PER_WRITE * max_writes
        self._mod_revisions: dict[str, int] = {}  # key -> the mod revision that it must have
        self.writes: list[dict[str, Any]] = []
        self.total_bytes = FRAME_BYTES

    @property
    def conditions(self) -> list[wire.Condition]:
        """The conditions of the transaction, each key once."""
        return list(self._mod_revisions.items())

    def add(self, conditions: Iterable[wire.Condition], writes: Sequence[dict[str, Any]]) -> bool:
        """Adds a part, and returns whether it fits.

        The first part always fits, so that no part waits for ever: the limit on values bounds it.
        """
        new = {
            key: mod_revision for key, mod_revision in conditions if key not in self._mod_revisions
        }
        part_bytes = _encoded_bytes(wire.write_conditions(new.items()), len(self._mod_revisions))
        part_bytes += _encoded_bytes(writes, len(self.writes))
        if self.writes and not self._has_space(len(new), len(writes), part_bytes):
            return False
        self._mod_revisions.update(new)
        self.writes += writes
        self.total_bytes += part_bytes
        return True

    def _has_space(self, conditions: int, writes: int, part_bytes: int) -> bool:
        return (
            len(self._mod_revisions) + conditions <= self._max_conditions
            and len(self.writes) + writes <= self._max_writes
            and self.total_bytes + part_bytes <= MAX_TRANSACTION_BYTES
        )


def _encoded_bytes(elements: Sequence[wire.Body], present: int) -> int:
    """The bytes by which these elements lengthen an encoded list of `present` elements."""
    separators = len(elements) if present else max(0, len(elements) - 1)
    return sum(len(orjson.dumps(element)) for element in elements) + separators
