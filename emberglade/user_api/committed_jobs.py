"""Job records as the store holds them: the fields that the users' API reads and writes itself.

The only module of this slice that knows the names of stored fields. The records' layout belongs to
`emberglade/jobs` (`jobs/record.py`, `jobs/waiting.py`).
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ..jobs.record import Spec
from .job_state import JobState, JobStatus

# Kinds of live keys, without the LIVE prefix.
JOB_KEY_PREFIX = "j/"
CHUNK_KEY_PREFIX = "t/"
CATALOG_KEY = "catalog"

_FINAL_STATUSES = {"done": JobStatus.DONE, "withdrawn": JobStatus.CANCELLED}

# A chunk is told from those of other layouts by its generation: (generation, number) -> its value.
Chunks = Mapping[tuple[str, int], Mapping[str, Any]]


class TaskCounts(NamedTuple):
    """How many tasks of a job are done, and how many are bound to a machine."""

    done: int
    running: int


def is_cancelled(record: Mapping[str, Any]) -> bool:
    """Whether a live job's record is marked as cancelled."""
    return bool(record.get("w"))


def as_cancelled(record: Mapping[str, Any]) -> dict[str, Any]:
    """The record of a live job, marked as cancelled."""
    return {**record, "w": 1}


def read_spec(job_id: str, record: Mapping[str, Any]) -> Spec:
    """What the user asked for, from a live job's record."""
    return Spec.decode(job_id, record["s"])


def count_tasks(record: Mapping[str, Any], chunks: Chunks) -> TaskCounts:
    """Counts a live job's tasks over its record's own chunk and the others of its layout."""
    generation = record.get("g", "")
    own_chunks = [
        record.get("p", {}),
        *(chunk for (layout, _), chunk in chunks.items() if layout == generation),
    ]
    return TaskCounts(
        done=sum(_count_ranges(chunk.get("d", ())) for chunk in own_chunks),
        running=sum(len(chunk.get("b", ())) for chunk in own_chunks),
    )


def _count_ranges(ranges: Iterable[tuple[int, int]]) -> int:
    return sum(last - first + 1 for first, last in ranges)


def read_final_state(job_id: str, record: Any) -> JobState | None:
    """The state in the record of a job that is over; None if the record is odd."""
    if not isinstance(record, dict):
        return None
    status = record.get("glow")
    if not isinstance(status, str) or status not in _FINAL_STATUSES:
        return None
    return JobState(job_id, _FINAL_STATUSES[status], record.get("d", 0), 0)


def cancelled_final_record(task_count: int) -> dict[str, Any]:
    """The record of a job that was cancelled while it waited: none of its tasks ever ran."""
    return {"glow": "withdrawn", "n": task_count, "d": 0}
