"""A job's state as reported to users, and the results of a job look-up."""

import enum
from dataclasses import dataclass


class JobStatus(enum.Enum):
    """A job's status; `wire.py` maps it to the protocol's name."""

    PENDING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    CANCELLED = enum.auto()


@dataclass(frozen=True, slots=True)
class JobState:
    """A job's state as reported to its user.

    Attributes:
        job_id: The job.
        status: Its status.
        done_tasks: Number of completed tasks; None if the answer to the user contains no task
            counts, as when a submission is accepted or a live job is cancelled.
        running_tasks: Number of tasks bound to a machine; None if `done_tasks` is None.
    """

    job_id: str
    status: JobStatus
    done_tasks: int | None = None
    running_tasks: int | None = None


class LookupFailure(enum.Enum):
    """Why a look-up returned no JobState."""

    NEVER_ACCEPTED = enum.auto()  # no job of that id was ever accepted
    UNAVAILABLE = enum.auto()  # the state can't be determined now; the user should retry


LookupResult = JobState | LookupFailure
