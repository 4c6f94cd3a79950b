"""Boundaries of messages to agents: the bodies below, at and above the limit of PROTOCOL."""

import orjson
import pytest

from emberglade.agents.wire.agents import (
    ALWAYS_FITTING_COMMANDS,
    MAX_LINE_BYTES,
    Command,
    HaltTask,
    StartTask,
    fitting,
    write_answer,
    write_direct_commands,
)
from emberglade.agents.wire.fields import MAX_COUNT

LONGEST_ID = "job-" + "x" * 64
LAST_TASK = 99_999
LARGEST_COUNT = MAX_COUNT - 1
LONGEST_GRACE_S = 123456.78901234567


def longest_halt() -> HaltTask:
    """A command of the greatest length."""
    return HaltTask((LONGEST_ID, LAST_TASK), LARGEST_COUNT, LONGEST_GRACE_S)


def body_bytes(commands: list[Command]) -> int:
    """The size of the longer of the two messages with these commands."""
    answer = write_answer(LARGEST_COUNT, commands)
    direct = write_direct_commands(LARGEST_COUNT, LARGEST_COUNT, commands)
    return max(len(orjson.dumps(answer)), len(orjson.dumps(direct)))


def test_unmeasured_commands_fit() -> None:
    """As many commands as are not measured fit, however long they are."""
    assert body_bytes([longest_halt()] * ALWAYS_FITTING_COMMANDS) <= MAX_LINE_BYTES


@pytest.mark.parametrize("count", [1_000, 5_000])
def test_message_is_nearly_full(count: int) -> None:
    """A message holds the first commands, as many as fit, and has room for less than two more."""
    commands: list[Command] = [StartTask((LONGEST_ID, task), 1) for task in range(count)]
    kept = fitting(commands)
    assert list(kept) == commands[: len(kept)]
    row_bytes = len(orjson.dumps(commands[-1].encode())) + 1
    assert MAX_LINE_BYTES - 2 * row_bytes < body_bytes(commands) <= MAX_LINE_BYTES


@pytest.mark.parametrize("spare_bytes", [-1, 0, 1])
def test_boundary(spare_bytes: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """One byte below what all commands need, the last one is left out; at and above it, none."""
    commands: list[Command] = [StartTask(("job-1", task), 1) for task in range(1_000)]
    encoded = sum(len(orjson.dumps(command.encode())) + 1 for command in commands)
    module = "emberglade.agents.wire.agents"
    monkeypatch.setattr(f"{module}.ENVELOPE_BYTES", MAX_LINE_BYTES - encoded - spare_bytes)
    assert len(fitting(commands)) == (999 if spare_bytes < 0 else 1_000)
