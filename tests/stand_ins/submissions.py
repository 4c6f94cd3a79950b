"""Jobs as users submit them, with this project's field names instead of the protocol's."""

from dataclasses import dataclass
from enum import StrEnum


class JobShape(StrEnum):
    """Whether a job's tasks run to completion, or until the job is cancelled."""

    ARRAY = "array"
    SERVICE = "service"


@dataclass
class Submission:
    """A job as its user describes it, and how its tasks behave on a machine.

    Attributes:
        estimated_run_s: The run time of one task as its user states it.
        actual_run_s: The actual run time of an array's task; if None, it is set to the estimate
            when the job is submitted.
        fails: Whether all its tasks end in error.
        needs: Its dependencies; None if the request has no such field.
    """

    id: str | None = None
    job_class: str = "test"
    team: str = "core"
    shape: str = JobShape.ARRAY
    priority: str = "normal"
    tasks: int = 1
    cpus: float = 1.0
    gpus: float = 0.0
    ram_gb: float = 1.0
    image: str = "img"
    image_gb: float = 0.2
    allowed_types: list[str] | None = None
    zone: str | None = None
    single_zone: bool = False
    zone_spread: bool = False
    spot: bool = False
    estimated_run_s: float = 10.0
    checkpoint_interval_s: float = 0.0
    checkpoint_save_s: float = 0.0
    deadline_s: float | None = None
    fails: bool = False
    needs: list[str] | None = None
    actual_run_s: float | None = None

    @property
    def runs_to_completion(self) -> bool:
        """Whether its tasks end by themselves."""
        return self.shape == JobShape.ARRAY


def job_of(task_name: str) -> str:
    """The job that a task `job-1/7` belongs to."""
    return task_name.rpartition("/")[0]


def number_of(task_name: str) -> int:
    """The number of a task `job-1/7` within its job."""
    return int(task_name.rpartition("/")[2])
