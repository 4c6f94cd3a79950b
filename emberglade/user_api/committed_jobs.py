"""What users are told of a job, out of the records that the store holds (`jobs/wire`)."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..jobs import wire as jobs_wire
from ..jobs.wire import Outcome
from .job_state import JobState, JobStatus

_FINAL_STATUSES = {Outcome.DONE: JobStatus.DONE, Outcome.CANCELLED: JobStatus.CANCELLED}

# A chunk is told from those of other layouts by its generation: (generation, number) -> its value.
Chunks = Mapping[tuple[str, int], dict[str, Any]]


class TaskCounts(NamedTuple):
    """How many tasks of a job are done, and how many are bound to a machine."""

    done: int
    running: int


def count_tasks(record: dict[str, Any], chunks: Chunks) -> TaskCounts:
    """Counts a live job's tasks over its record's own chunk and the others of its layout."""
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
    """The state of a job that is over, out of the store's answer; None if it tells none."""
    final = jobs_wire.read_final(status, record)
    if final is None:
        return None
    return JobState(job_id, _FINAL_STATUSES[final.outcome], final.done, 0)
