"""Splits a job's tasks into chunks that fit the store's limit on the size of a value."""

from collections.abc import Sequence

import orjson

from . import wire
from .chunk import Chunk
from .job import Job
from .job_spec import JobSpec
from .waiting_job import WaitingJobRecord, split_ids

MAX_BINDING_BYTES = 48  # upper bound of one bound task in a record
MAX_RECORD_OVERHEAD_BYTES = 128  # upper bound of a record's field names, flags and generation


def chunk_size(value_bytes: int) -> int:
    """Tasks per chunk, such that their bindings take up to three quarters of a value.

    The rest is for the job's description, which is stored with the first chunk.
    """
    return max(1, value_bytes * 3 // 4 // MAX_BINDING_BYTES)


def chunk_size_for(spec: JobSpec, value_bytes: int) -> int:
    """Tasks per chunk of this job, such that its record with the first chunk fits a value.

    Returns 0 if not even the description fits.
    """
    free = value_bytes - len(orjson.dumps(wire.write_spec(spec))) - MAX_RECORD_OVERHEAD_BYTES
    return max(0, min(chunk_size(value_bytes), free // MAX_BINDING_BYTES))


class ChunkLimits:
    """Determines which jobs have chunks that may be too large to be written.

    After the limit on the size of a value has been lowered, the records that are already stored
    stay readable, but the store might refuse the next version of a record that exceeds the limit.

    Attributes:
        format_raised: Whether the cluster's record format allows rechunked jobs: every controller
            can read them (emberglade/membership/format.py).
    """

    def __init__(self, value_bytes: int) -> None:
        self._value_bytes = value_bytes
        self.format_raised = False

    def chunk_size_for(self, spec: JobSpec) -> int:
        """Tasks per chunk of this job; 0 if not even its description fits a value."""
        return chunk_size_for(spec, self._value_bytes)

    def needs_rechunking(self, job: Job) -> bool:
        """Whether a chunk of the job may be too large to be written.

        Also False if rechunking is impossible: the record format is not raised yet, or not even the
        job's description fits a value.
        """
        if not self.format_raised:
            return False
        if job.fitting_chunk_size is None:
            job.fitting_chunk_size = self.chunk_size_for(job.stored_spec)
        return 0 < job.fitting_chunk_size < min(job.chunk_size, job.stored_spec.tasks)


def rechunk(job: Job, size: int) -> dict[int, Chunk]:
    """{number: Chunk} of the job's tasks in chunks of `size` tasks, without empty chunks."""
    chunks: dict[int, Chunk] = {}

    def chunk_of(task: int) -> Chunk:
        return chunks.setdefault(task // size, Chunk())

    for old in job.chunks.values():
        for task in old.done:
            chunk_of(task).done.add(task)
        for task, binding in old.bindings.items():
            chunk_of(task).bindings[task] = binding
        for task, attempt in old.last_attempts.items():
            chunk_of(task).last_attempts[task] = attempt
    return chunks


def waiting_record_with_segments(
    spec: JobSpec, dependencies: Sequence[str], list_id: str, value_bytes: int
) -> tuple[WaitingJobRecord, list[list[str]]]:
    """A job's WaitingJobRecord, and the segments of its list of dependencies.

    Each segment fits a value. There are no segments if the whole list fits into the record.
    """
    record = WaitingJobRecord(spec, tuple(dependencies))
    if len(orjson.dumps(wire.waiting_record(record))) + MAX_RECORD_OVERHEAD_BYTES <= value_bytes:
        return record, []
    segments = split_ids(dependencies, value_bytes - MAX_RECORD_OVERHEAD_BYTES)
    return WaitingJobRecord(spec, (), list_id, len(segments)), segments
