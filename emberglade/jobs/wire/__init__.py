"""The jobs' keys and records in the store; only this package depends on their format.

Keys are given without LIVE_PREFIX (or FINAL_PREFIX), as in the replica:

    j/JOB                   a live job: its description and its first chunk of tasks
    t/JOB/N                 chunk number N > 0 of its tasks (number 0 is the first chunk)
    t/JOB/GENERATION/N      the same, if the job was divided into new chunks (rechunked)
    w/JOB                   a waiting job
    x/JOB/LIST/N            a segment of a waiting job's list of dependencies, if the list does not
                            fit into the job's record
    JOB                     (under FINAL_PREFIX) the final state of a job

Records are JSON objects; a segment is a list of job ids.
"""

from .keys import (
    CHUNK_PREFIX,
    JOB_PREFIX,
    SEGMENT_PREFIX,
    WAITING_PREFIX,
    ChunkKey,
    SegmentKey,
    chunk_key,
    final_key,
    is_chunk_key,
    is_job_key,
    job_id_of,
    job_key,
    key_of_chunk,
    read_chunk_key,
    read_segment_key,
    segment_key,
    waiting_key,
)
from .records import (
    FinalState,
    Outcome,
    Record,
    binding_row,
    binding_rows,
    bound_count,
    cancelled_record,
    chunk_record,
    done_count,
    final_record,
    first_chunk,
    is_cancelled,
    job_record,
    read_binding,
    read_chunk_size,
    read_final,
    read_generation,
    read_job,
    read_ranges,
    read_spec,
    read_stop_mode,
    read_waiting_record,
    update_chunk,
    waiting_record,
    write_ranges,
    write_spec,
)

__all__ = [
    "CHUNK_PREFIX",
    "ChunkKey",
    "FinalState",
    "JOB_PREFIX",
    "Outcome",
    "Record",
    "SEGMENT_PREFIX",
    "SegmentKey",
    "WAITING_PREFIX",
    "binding_row",
    "binding_rows",
    "bound_count",
    "cancelled_record",
    "chunk_key",
    "chunk_record",
    "done_count",
    "final_key",
    "final_record",
    "first_chunk",
    "is_cancelled",
    "is_chunk_key",
    "is_job_key",
    "job_id_of",
    "job_key",
    "job_record",
    "key_of_chunk",
    "read_binding",
    "read_chunk_key",
    "read_chunk_size",
    "read_final",
    "read_generation",
    "read_job",
    "read_ranges",
    "read_segment_key",
    "read_spec",
    "read_stop_mode",
    "read_waiting_record",
    "segment_key",
    "update_chunk",
    "waiting_key",
    "waiting_record",
    "write_ranges",
    "write_spec",
]
