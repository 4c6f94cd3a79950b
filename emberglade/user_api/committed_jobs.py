"""Derives the job states that users see from the records in the store (`jobs/wire`)."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..jobs import wire as jobs_wire
from ..jobs.wire import Outcome
from .job_state import JobState, JobStatus

_FINAL_STATUSES = {Outcome.DONE: JobStatus.DONE, Outcome.CANCELLED: JobStatus.CANCELLED}

# (generation, number) -> chunk value; the generation identifies the layout of the job's chunks.
Chunks = Mapping[tuple[str, int], dict[str, Any]]


class TaskCounts(NamedTuple):
    """How many of a job's tasks are done, and how many are bound to a machine (`running`)."""

    done: int
    running: int


def count_tasks(record: dict[str, Any], chunks: Chunks) -> TaskCounts:
    """Counts the done and the bound tasks of a live job, in all its chunks.

    The first chunk is part of the job's record. `chunks` are the other ones; those of another
    generation than the record's are ignored.
    """
    generation = jobs_wire.read_generation(record)
    own_chunks = [
        jobs_wire.first_chunk(record),
        *(chunk for (layout, _), chunk in chunks.items() if layout == generation),
    ]
    return TaskCounts(
        done=sum(map(jobs_wire.done_count, own_chunks)),
        running=sum(map(jobs_wire.bound_count, own_chunks)),
    )


def read_final_state(job_id: str, status: int, record: Any) -> JobState | None:
    """The state of a finished job from the store's answer; None if that holds no final record."""
    final = jobs_wire.read_final(status, record)
    if final is None:
        return None
    return JobState(job_id, _FINAL_STATUSES[final.outcome], final.done, 0)
