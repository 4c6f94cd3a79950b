"""Updates about one attempt of a task, which a controller sends to the owner of the task's job.

An update states a proven fact about one attempt on one machine, or requests a stop of that attempt.
Delivered late or twice, it has no wrong effect.
"""

from dataclasses import dataclass
from typing import NamedTuple


class UpdateKey(NamedTuple):
    """The subject of an update.

    Among the updates that the sender has not delivered yet, a later update replaces an earlier one
    with the same key.
    """

    kind: str
    job_id: str
    task: int


@dataclass(frozen=True, slots=True)
class TaskExited:
    """The attempt has ended on its machine; the agent reported `reason`, for example `done`."""

    job_id: str
    task: int
    attempt: int
    machine: str
    reason: str | None
    checkpointed: bool  # whether its progress was saved

    @property
    def key(self) -> UpdateKey:
        """The key with which a later update replaces this one."""
        return UpdateKey("exited", self.job_id, self.task)


@dataclass(frozen=True, slots=True)
class TaskGone:
    """Proof that the attempt is not running on its machine and never will be."""

    job_id: str
    task: int
    attempt: int
    machine: str

    @property
    def key(self) -> UpdateKey:
        """The key with which a later update replaces this one."""
        return UpdateKey("gone", self.job_id, self.task)


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A request to stop the attempt, because of a spot notice or for preemption."""

    job_id: str
    task: int
    attempt: int
    mode: int  # the value of a StopMode; this version requests only SAVE
    reason: str  # for the log

    @property
    def key(self) -> UpdateKey:
        """The key with which a later update replaces this one."""
        return UpdateKey("stop", self.job_id, self.task)


TaskUpdate = TaskExited | TaskGone | StopRequested
