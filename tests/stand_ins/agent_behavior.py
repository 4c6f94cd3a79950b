"""What PROTOCOL leaves open about an agent's rows; each machine's agent draws it from the seed."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .wire import ExitReason, TaskState


class AttemptKey(NamedTuple):
    """An attempt of a task; `task` is its name, `job-1/7`."""

    task: str
    attempt: int


@dataclass
class TaskAttempt:
    """One attempt of a task on a machine.

    Attributes:
        serial: Number of this start among all task starts on the machine. An event that was
            scheduled for another start of the attempt is ignored.
    """

    attempt: int
    serial: int
    state: TaskState = TaskState.FETCHING
    exit_reason: ExitReason | None = None
    checkpointed: bool = False

    @property
    def exited(self) -> bool:
        """Whether it has ended, or was refused."""
        return self.state is TaskState.EXITED


class RowOrder(Enum):
    """The order of the tasks in a heartbeat."""

    OLDEST_FIRST = auto()  # in the order of their starts
    NEWEST_FIRST = auto()
    EXITED_FIRST = auto()
    EXITED_LAST = auto()
    SHUFFLED = auto()  # anew in each heartbeat


class AgentBehavior:
    """How one machine's agent lists its tasks, and which starts it refuses as busy.

    Attributes:
        row_order: The order of the tasks in its heartbeats.
        exited_is_busy: Whether it refuses a start while it lists another attempt of the task that
            has exited; it always does while another attempt has not exited.
        keeps_all_refusals: Whether it lists all refused attempts of a task, or only the newest.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.row_order = rng.choice(list(RowOrder))
        self.exited_is_busy = rng.random() < 0.5
        self.keeps_all_refusals = rng.random() < 0.5

    def is_busy(self, other_attempts: Iterable[TaskAttempt]) -> bool:
        """Whether a start is refused because of the task's other attempts on the machine."""
        return any(
            not other.exited or (self.exited_is_busy and other.exit_reason is not ExitReason.BUSY)
            for other in other_attempts
        )

    def ordered(
        self, attempts: Iterable[tuple[AttemptKey, TaskAttempt]]
    ) -> list[tuple[AttemptKey, TaskAttempt]]:
        """The attempts in the order in which a heartbeat lists them."""
        rows = sorted(attempts, key=lambda row: row[1].serial)
        match self.row_order:
            case RowOrder.NEWEST_FIRST:
                rows.reverse()
            case RowOrder.EXITED_FIRST:
                rows.sort(key=lambda row: not row[1].exited)
            case RowOrder.EXITED_LAST:
                rows.sort(key=lambda row: row[1].exited)
            case RowOrder.SHUFFLED:
                self.rng.shuffle(rows)
        return rows
