"""What one controller tells a job's owner about one attempt of a task.

Each is proven of one attempt on one machine, or asked for it: told late or twice, it changes
nothing that it should not.
"""

from dataclasses import dataclass
from typing import NamedTuple


class UpdateKey(NamedTuple):
    """What an update is about; a later one with the same key replaces an earlier one."""

    kind: str
    job_id: str
    task: int


@dataclass(frozen=True, slots=True)
class TaskExited:
    """The attempt has ended on its machine; `reason` is the agent's, such as `done` or `error`."""

    job_id: str
    task: int
    attempt: int
    machine: str
    reason: str | None
    checkpointed: bool  # whether its progress was saved

    @property
    def key(self) -> UpdateKey:
        """The UpdateKey."""
        return UpdateKey("exited", self.job_id, self.task)


@dataclass(frozen=True, slots=True)
class TaskGone:
    """Proof that the attempt is not on its machine and never will be again."""

    job_id: str
    task: int
    attempt: int
    machine: str

    @property
    def key(self) -> UpdateKey:
        """The UpdateKey."""
        return UpdateKey("gone", self.job_id, self.task)


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The attempt is to be stopped: a spot notice, or capacity for other work."""

    job_id: str
    task: int
    attempt: int
    mode: int  # StopMode.STOP or StopMode.SAVE
    reason: str  # for the log

    @property
    def key(self) -> UpdateKey:
        """The UpdateKey."""
        return UpdateKey("stop", self.job_id, self.task)


TaskUpdate = TaskExited | TaskGone | StopRequested
