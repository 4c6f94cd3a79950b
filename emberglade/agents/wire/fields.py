"""Checks on the fields of agents' heartbeats."""

from typing import Any

MAX_COUNT = 2**64  # exclusive limit for epochs, sequence numbers, fencing tokens and attempts


class HeartbeatError(ValueError):
    """A malformed heartbeat; the message describes the fault and is sent back to the agent."""


def read_count(value: Any) -> int:
    """An integer from 0 to MAX_COUNT, exclusive.

    Raises:
        HeartbeatError: The value is something else.
    """
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise HeartbeatError(f"{value!r} is not a count")
    return value


def read_text(value: Any) -> str:
    """A string that is not empty.

    Raises:
        HeartbeatError: The value is something else.
    """
    if not isinstance(value, str) or not value:
        raise HeartbeatError(f"{value!r} is not a text")
    return value
