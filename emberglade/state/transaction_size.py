"""The sizes of a transaction that the state service limits, as they are sent."""

from collections.abc import Sequence
from typing import NamedTuple

import orjson

from . import wire


class TransactionSize(NamedTuple):
    """The sizes of one transaction.

    Attributes:
        total_bytes: Size of the request's body.
        writes: Number of keys written or removed.
        conditions: Number of conditions.
        largest_value_bytes: Size of the largest value written; 0 if there is none.
    """

    total_bytes: int
    writes: int
    conditions: int
    largest_value_bytes: int

    def __str__(self) -> str:
        return (
            f"{self.total_bytes} bytes in total, {self.writes} writes, "
            f"{self.conditions} conditions, the largest value {self.largest_value_bytes} bytes"
        )


def measure(conditions: Sequence[wire.Condition], writes: Sequence[wire.Body]) -> TransactionSize:
    """The sizes of the transaction with these conditions and writes."""
    return TransactionSize(
        total_bytes=len(orjson.dumps(wire.compare_and_swap(conditions, writes))),
        writes=len(writes),
        conditions=len(conditions),
        largest_value_bytes=max((wire.value_bytes(write) for write in writes), default=0),
    )
