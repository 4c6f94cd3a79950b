"""The tasks in agents' heartbeats: one row for each attempt of a task that is on the machine.

PROTOCOL, "POST /agent/beat". An attempt that has exited, or whose start was refused, is listed
until it is cleared, so a task may have several rows, in any order.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .fields import HeartbeatError, read_count, read_text


class TaskState(Enum):
    """The state of a task on its machine; the values are those in heartbeats."""

    FETCHING = "fetching"  # waiting for its image
    RUNNING = "running"
    SAVING = "saving"  # saving a checkpoint before it stops
    EXITED = "exited"
    UNKNOWN = ""  # a state that PROTOCOL does not define


TaskKey = tuple[str, int]  # (job id, task number)
TASK_STATES = {state.value: state for state in TaskState}
# Every task of a heartbeat is compared with these, and Python 3.11 looks up enum members slowly.
EXITED = TaskState.EXITED
SAVING = TaskState.SAVING
UNKNOWN = TaskState.UNKNOWN


class TaskStatus(NamedTuple):
    """The status of one attempt of a task on a machine, as its agent reports it."""

    attempt: int
    state: TaskState
    exit_reason: str | None
    checkpointed: bool


class ReportedTasks:
    """The attempts of tasks that one heartbeat lists.

    Several attempts of a task are kept apart: an attempt that has exited says nothing about another
    one that may still run.
    """

    __slots__ = ("_by_task",)

    def __init__(self) -> None:
        self._by_task: dict[TaskKey, list[TaskStatus]] = {}

    def add(self, key: TaskKey, status: TaskStatus) -> None:
        """Adds a row; of two rows of one attempt, one that has not exited is kept."""
        rows = self._by_task.setdefault(key, [])
        for index, row in enumerate(rows):
            if row.attempt == status.attempt:
                if row.state is EXITED:
                    rows[index] = status
                return
        rows.append(status)

    def __iter__(self) -> Iterator[tuple[TaskKey, TaskStatus]]:
        """Yields (task, status) of each attempt."""
        for key, rows in self._by_task.items():
            for status in rows:
                yield key, status

    def attempt(self, key: TaskKey, attempt: int) -> TaskStatus | None:
        """The status of an attempt, or None if the heartbeat does not list it."""
        for status in self._by_task.get(key, ()):
            if status.attempt == attempt:
                return status
        return None

    def has_live_attempt(self, key: TaskKey) -> bool:
        """Whether an attempt of the task has not exited."""
        return any(status.state is not EXITED for status in self._by_task.get(key, ()))


def read_tasks(raw_tasks: list) -> ReportedTasks:
    """Parses the tasks of a heartbeat from its `raw_tasks`.

    Raises:
        HeartbeatError: A task is malformed.
    """
    tasks = ReportedTasks()
    try:
        for row in raw_tasks:
            job_id, _, number = read_text(row["ember"]).rpartition("/")
            status = TaskStatus(
                read_count(row["strike"]),
                TASK_STATES.get(read_text(row["glow"]), UNKNOWN),
                row.get("ashcause"),
                bool(row.get("stored")),
            )
            tasks.add((job_id, int(number)), status)
    except KeyError as error:
        raise HeartbeatError(f"a task of the report lacks {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise HeartbeatError(f"a task of the report is malformed: {error}") from None
    except ValueError as error:
        raise HeartbeatError(str(error)) from None
    return tasks
