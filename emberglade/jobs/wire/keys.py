"""The names of the jobs' keys in the store."""

from typing import NamedTuple

from ..job import Job

JOB_PREFIX = "j/"
CHUNK_PREFIX = "t/"
WAITING_PREFIX = "w/"
SEGMENT_PREFIX = "x/"


class ChunkKey(NamedTuple):
    """The parts of the key of a chunk other than the first, which is stored in the job's own key.

    `generation` is empty unless the job was rechunked.
    """

    job_id: str
    generation: str
    number: int


class SegmentKey(NamedTuple):
    """The parts of a segment's key; `list_id` is unique to one attempt to submit the job."""

    job_id: str
    list_id: str
    number: int


def job_key(job_id: str) -> str:
    """The key of a live job."""
    return JOB_PREFIX + job_id


def is_job_key(key: str) -> bool:
    """Whether a key is that of a live job."""
    return key.startswith(JOB_PREFIX)


def chunk_key(job_id: str, number: int, generation: str = "") -> str:
    """The key of a chunk of a live job, other than the first."""
    if generation:
        return f"{CHUNK_PREFIX}{job_id}/{generation}/{number}"
    return f"{CHUNK_PREFIX}{job_id}/{number}"


def key_of_chunk(job: Job, number: int) -> str:
    """The key of a chunk of a job; the first chunk is stored in the job's own key."""
    return chunk_key(job.id, number, job.generation) if number else job_key(job.id)


def is_chunk_key(key: str) -> bool:
    """Whether a key is that of a chunk other than the first."""
    return key.startswith(CHUNK_PREFIX)


def read_chunk_key(key: str) -> ChunkKey:
    """Parses the key of a chunk other than the first."""
    _, job_id, *generation, number = key.split("/")
    return ChunkKey(job_id, "".join(generation), int(number))


def waiting_key(job_id: str) -> str:
    """The key of a waiting job."""
    return WAITING_PREFIX + job_id


def segment_key(job_id: str, list_id: str, number: int) -> str:
    """The key of one segment of a list of dependencies."""
    return f"{SEGMENT_PREFIX}{job_id}/{list_id}/{number}"


def read_segment_key(key: str) -> SegmentKey:
    """Parses the key of a segment."""
    _, job_id, list_id, number = key.split("/")
    return SegmentKey(job_id, list_id, int(number))


def final_key(job_id: str) -> str:
    """The key of a job's final state, under FINAL_PREFIX."""
    return job_id


def job_id_of(key: str) -> str:
    """The id of the job to which a key with one of this module's prefixes belongs."""
    return key.split("/")[1]
