"""A job's state, as users are told it, and what a look-up of a job can come to."""

import enum
from dataclasses import dataclass


class JobStatus(enum.Enum):
    """How far a job has come. `wire.py` maps these to the protocol's words."""

    PENDING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    CANCELLED = enum.auto()


@dataclass(frozen=True, slots=True)
class JobState:
    """What a user is told about a job.

    Attributes:
        job_id: The job.
        status: How far it has come.
        done_tasks: Tasks that have completed; None if the counts are not told.
        running_tasks: Tasks that are bound to a machine; None if the counts are not told.
    """

    job_id: str
    status: JobStatus
    done_tasks: int | None = None
    running_tasks: int | None = None


class LookupFailure(enum.Enum):
    """Why a look-up has no JobState to give."""

    NEVER_ACCEPTED = enum.auto()  # nobody ever submitted a job of that id with success
    UNAVAILABLE = enum.auto()  # it can't be said now: ask again


LookupResult = JobState | LookupFailure
