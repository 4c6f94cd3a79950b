"""The keys and records of the store that this slice reads or writes, besides tables.

Keys are without the LIVE prefix, as the replica holds them.
"""

from typing import Any

from ...jobs.record import Part, Spec
from ...membership.wire import NODE_PREFIX, SHARD_PREFIX, node_key
from .peers import read_task_updates

__all__ = ["NODE_PREFIX", "SHARD_PREFIX", "node_key"]

JOB_PREFIX = "j/"  # j/JOB: a live job's record, with its first chunk
CHUNK_PREFIX = "t/"  # t/JOB/...: a further chunk of a job's record
TAINT_PREFIX = "m/"
OVERFLOW_PREFIX = "r/"  # r/NODE/NUMBER: a further value of a controller's table
UNDELIVERED_PREFIX = "f/"  # f/NODE: task status updates that it could not tell their holders
CATALOG_KEY = "catalog"

# Places in a row of `bound_tasks`.
ROW_ATTEMPT = 0
ROW_MACHINE = 1


def job_key(job_id: str) -> str:
    """The key of a live job."""
    return JOB_PREFIX + job_id


def overflow_owner(key: str) -> str:
    """The controller whose table the overflow value at this key belongs to."""
    return key.split("/")[1]


# --- a job's record


def job_spec(job_id: str, record: dict) -> Spec:
    """What a job's user asked for."""
    return Spec.decode(job_id, record["s"])


def job_generation(record: dict) -> str:
    """Which layout of its chunks a job has; empty for the first."""
    return record.get("g", "")


def job_is_cancelled(record: dict) -> bool:
    """Whether a job's record shows it cancelled."""
    return bool(record.get("w"))


def first_chunk(record: dict) -> dict:
    """The chunk that stands in a job's own record."""
    return record.get("p", {})


def bound_tasks(chunk: dict) -> dict[int, list]:
    """{task: [attempt, machine, agent epoch, how it is to be stopped, unless it is kept]}.

    The rows stay as they are stored: most are compared with those of before and not looked into.
    """
    return Part.binding_rows(chunk)


# --- other records


def shard_holder(record: dict) -> str | None:
    """The controller that a shard's record names."""
    return record.get("node")


def undelivered_key(node: str) -> str:
    """The key under which a controller leaves updates for holders that it does not reach."""
    return UNDELIVERED_PREFIX + node


def write_undelivered(rows: dict[str, list]) -> dict:
    """The record of such a key: {holder: rows of `peers.write_task_updates`}."""
    return {"to": rows}


def read_undelivered(record: Any, node: str) -> list:
    """The updates in such a record that are for this controller."""
    return read_task_updates(((record or {}).get("to") or {}).get(node))
