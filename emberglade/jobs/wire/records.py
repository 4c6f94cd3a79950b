"""The fields of the jobs' records in the store."""

import enum
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..binding import Binding, StopMode
from ..chunk import Chunk
from ..job import Job
from ..job_spec import JobSpec
from ..waiting_job import WaitingJobRecord

Record = dict[str, Any]


class Outcome(enum.Enum):
    """How a job ended. The values are stored and returned to users."""

    DONE = "done"
    CANCELLED = "withdrawn"


class FinalState(NamedTuple):
    """The outcome of a job, and how many of its tasks were done."""

    outcome: Outcome
    done: int
    tasks: int


# --- job descriptions


def write_spec(spec: JobSpec) -> list[Any]:
    """Encodes a job's description as a row of its fields without the id, which is in the key."""
    return [
        spec.job_class,
        spec.team,
        int(spec.service),
        spec.priority,
        spec.tasks,
        spec.cpus,
        spec.gpus,
        spec.ram_gb,
        spec.image,
        spec.image_gb,
        list(spec.allowed_types) if spec.allowed_types is not None else None,
        spec.zone,
        int(spec.single_zone),
        int(spec.zone_spread),
        int(spec.spot),
        spec.estimated_run_s,
        spec.checkpoint_interval_s,
        spec.checkpoint_save_s,
        spec.deadline_s,
        spec.submitted_at,
        int(spec.gang),
    ]


def read_spec(job_id: str, record: Record) -> JobSpec:
    """Decodes the job's description from the record of a live or a waiting job."""
    (
        job_class,
        team,
        service,
        priority,
        tasks,
        cpus,
        gpus,
        ram_gb,
        image,
        image_gb,
        allowed_types,
        zone,
        single_zone,
        zone_spread,
        spot,
        estimated_run_s,
        checkpoint_interval_s,
        checkpoint_save_s,
        deadline_s,
        submitted_at,
        gang,
    ) = record["s"]
    return JobSpec(
        id=job_id,
        job_class=job_class,
        team=team,
        service=bool(service),
        priority=priority,
        tasks=tasks,
        cpus=cpus,
        gpus=gpus,
        ram_gb=ram_gb,
        image=image,
        image_gb=image_gb,
        allowed_types=tuple(allowed_types) if allowed_types is not None else None,
        zone=zone,
        single_zone=bool(single_zone),
        zone_spread=bool(zone_spread),
        spot=bool(spot),
        estimated_run_s=estimated_run_s,
        checkpoint_interval_s=checkpoint_interval_s,
        checkpoint_save_s=checkpoint_save_s,
        deadline_s=deadline_s,
        submitted_at=submitted_at,
        gang=bool(gang),
    )


# --- live jobs


def job_record(job: Job) -> Record:
    """The record of a live job, including its first chunk."""
    record: Record = {"s": write_spec(job.stored_spec), "z": job.chunk_size}
    if job.generation:
        record["g"] = job.generation
    if job.cancelled:
        record["w"] = 1
    chunk = chunk_record(job.chunk_of(0))
    if chunk:
        record["p"] = chunk
    return record


def read_job(job_id: str, record: Record) -> Job:
    """The job described by a record, without its chunks."""
    return Job(
        read_spec(job_id, record),
        read_chunk_size(record),
        is_cancelled(record),
        read_generation(record),
    )


def cancelled_record(record: Record) -> Record:
    """The record of a live job that its user has cancelled."""
    return {**record, "w": 1}


def is_cancelled(record: Record) -> bool:
    """Whether a live job is cancelled according to its record."""
    return bool(record.get("w"))


def read_chunk_size(record: Record) -> int:
    """The number of tasks per chunk of a live job."""
    return record["z"]


def read_generation(record: Record) -> str:
    """The generation of a live job's chunks; empty unless it was rechunked."""
    return record.get("g", "")


def first_chunk(record: Record) -> Record:
    """The record of the first chunk, from the record of a live job."""
    return record.get("p", {})


# --- chunks of tasks


def chunk_record(chunk: Chunk) -> Record:
    """The record of a chunk; empty if all its tasks are pending and were never attempted."""
    record: Record = {}
    if chunk.done:
        record["d"] = write_ranges(chunk.done)
    if chunk.bindings:
        record["b"] = {str(task): binding_row(b) for task, b in chunk.bindings.items()}
    if chunk.last_attempts:
        record["t"] = {str(task): attempt for task, attempt in chunk.last_attempts.items()}
    return record


def update_chunk(chunk: Chunk, record: Record, mod_revision: int) -> None:
    """Updates a chunk to its committed record; the caller updates its bindings."""
    chunk.done = read_ranges(record.get("d", ()))
    chunk.last_attempts = {int(task): attempt for task, attempt in record.get("t", {}).items()}
    chunk.mod_revision = mod_revision


def bound_count(record: Record) -> int:
    """The number of bound tasks in a chunk's record."""
    return len(record.get("b", ()))


def done_count(record: Record) -> int:
    """The number of done tasks in a chunk's record."""
    return sum(last - first + 1 for first, last in record.get("d", ()))


def write_ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Encodes numbers as a list of ranges [first, last]."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def read_ranges(ranges: Iterable[Iterable[int]]) -> set[int]:
    """Decodes a list of ranges [first, last] into a set of numbers."""
    numbers: set[int] = set()
    for first, last in ranges:
        numbers.update(range(first, last + 1))
    return numbers


# --- bindings: rows [attempt, machine, agent epoch], followed by the StopMode unless it is KEEP


def binding_rows(record: Record) -> dict[int, list[Any]]:
    """{task: row of its binding} of a chunk's record."""
    return {int(task): row for task, row in record.get("b", {}).items()}


def binding_row(binding: Binding) -> list[Any]:
    """The stored row of a binding."""
    row: list[Any] = [binding.attempt, binding.machine, binding.agent_epoch]
    if binding.stop:
        row.append(int(binding.stop))
    return row


def read_binding(row: list[Any]) -> Binding:
    """The binding stored in a row."""
    attempt, machine, agent_epoch = row[:3]
    return Binding(attempt, machine, agent_epoch, read_stop_mode(row))


def read_stop_mode(row: list[Any]) -> StopMode:
    """The stop mode stored in a binding's row."""
    return StopMode(row[3]) if len(row) > 3 else StopMode.KEEP


# --- waiting jobs


def waiting_record(waiting: WaitingJobRecord) -> Record:
    """The record of a waiting job."""
    record: Record = {"s": write_spec(waiting.spec)}
    if waiting.segments:
        record["x"] = [waiting.list_id, waiting.segments]
    else:
        record["a"] = list(waiting.dependencies)
    return record


def read_waiting_record(job_id: str, record: Record) -> WaitingJobRecord:
    """Parses the record of a waiting job."""
    list_id, segments = record.get("x", ("", 0))
    spec = read_spec(job_id, record)
    return WaitingJobRecord(spec, tuple(record.get("a", ())), list_id, segments)


# --- final states


def final_record(outcome: Outcome, tasks: int, done: int) -> Record:
    """The record of a job's final state."""
    return {"glow": outcome.value, "n": tasks, "d": done}


def read_final(status: int, record: Any) -> FinalState | None:
    """The FinalState in the store's answer to a read of a final key; None if there is none."""
    if status != 200 or not isinstance(record, dict):
        return None
    try:
        outcome = Outcome(record.get("glow"))
    except ValueError:
        return None
    return FinalState(outcome, record.get("d", 0), record.get("n", 0))
