"""The user API's protocol: its paths, field names and values are defined only here.

The paths of agent heartbeats and of the health check, which the same server serves, are here too.
"""

import math
import re
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from ..jobs.job_spec import PRIORITIES, JobSpec
from .job_state import JobState, JobStatus

AGENT_HEARTBEAT_PATH = "/agent/beat"
READY_PATH = "/ready"
SUBMISSIONS_PATH = "/submissions"
JOB_PATH_PREFIX = SUBMISSIONS_PATH + "/"
CANCEL_SEGMENT = "abort"  # SUBMISSIONS_PATH/JOB/abort

JOB_ID = re.compile(r"job-[0-9A-Za-z_-]{1,64}\Z", re.ASCII)
MAX_TASKS = 100_000

JOB_ARRAY, SERVICE = "sweep", "standing"
GANG = "group"  # not in PROTOCOL, but sent by platforms (docs/questions.md)
SHAPES = (JOB_ARRAY, SERVICE, GANG)

STATUS_NAMES = {
    JobStatus.PENDING: "pending",
    JobStatus.RUNNING: "running",
    JobStatus.DONE: "done",
    JobStatus.CANCELLED: "withdrawn",
}


class MalformedSubmissionError(Exception):
    """A submission that is malformed; the message is one line for the user and names the field."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A well-formed submission.

    Attributes:
        spec: What the user asks for.
        dependencies: The ids of the jobs that it depends on, without duplicates.
    """

    spec: JobSpec
    dependencies: tuple[str, ...]


class JobPath(NamedTuple):
    """The job that a path names, and whether the path is the one that cancels it."""

    job_id: str
    cancel: bool


def is_user_path(path: str) -> bool:
    """Whether a path is requested by users, and not by agents or health checks."""
    return path.startswith(SUBMISSIONS_PATH)


def read_job_path(path: str) -> JobPath | None:
    """The parsed path of a job, or None if the path names no job."""
    if not path.startswith(JOB_PATH_PREFIX):
        return None
    match path.removeprefix(JOB_PATH_PREFIX).split("/"):
        case [job_id] if job_id:
            return JobPath(job_id, cancel=False)
        case [job_id, segment] if job_id and segment == CANCEL_SEGMENT:
            return JobPath(job_id, cancel=True)
    return None


def is_job_id(text: str) -> bool:
    """Whether a string has the form of a job id."""
    return JOB_ID.match(text) is not None


# --- submissions


def read_json(body: bytes) -> Any:
    """The JSON value of a submission's body.

    Raises:
        MalformedSubmissionError: The body is not JSON.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        raise MalformedSubmissionError("the body is not JSON") from None


def read_id(data: object) -> str | None:
    """The job id in a body if it is well-formed, even if other fields are not; else None."""
    job_id = data.get("id") if isinstance(data, dict) else None
    return job_id if isinstance(job_id, str) and is_job_id(job_id) else None


def read_submission(data: object, submitted_at: float) -> Submission:
    """The Submission in a body; `submitted_at` is the wall-clock time in seconds.

    Raises:
        MalformedSubmissionError: A field is missing or invalid; the message names the first one.
    """
    spec = read_spec(data, submitted_at)
    assert isinstance(data, dict)
    return Submission(spec, read_dependencies(data))


def read_spec(data: object, submitted_at: float) -> JobSpec:
    """The job described by a submission, without its dependencies.

    Raises:
        MalformedSubmissionError: A field is missing or invalid.
    """
    if not isinstance(data, dict):
        raise MalformedSubmissionError("the body is not a JSON object")
    job_id = read_id(data)
    if job_id is None:
        raise MalformedSubmissionError("id: a job id like job-000412 is needed")
    shape = _shape(data)
    priority = _priority(data)
    tasks = _task_count(data)
    allowed_types = _allowed_types(data)
    deadline_s = None if data.get("due_s") is None else _non_negative_number(data, "due_s")
    return JobSpec(
        id=job_id,
        job_class=_non_empty_string(data, "breed"),
        team=_non_empty_string(data, "crew"),
        service=shape == SERVICE,
        priority=priority,
        tasks=tasks,
        cpus=_non_negative_number(data, "cpus"),
        gpus=_non_negative_number(data, "cards"),
        ram_gb=_non_negative_number(data, "ram_gb"),
        image=_non_empty_string(data, "kindling"),
        image_gb=_non_negative_number(data, "image_gb"),
        allowed_types=allowed_types,
        zone=_optional_string(data, "glade"),
        single_zone=_boolean(data, "one_zone"),
        zone_spread=_boolean(data, "scatter"),
        spot=_boolean(data, "driftwood"),
        estimated_run_s=_non_negative_number(data, "burn_s"),
        checkpoint_interval_s=_non_negative_number(data, "bank_s"),
        checkpoint_save_s=_non_negative_number(data, "banking_s"),
        deadline_s=deadline_s,
        submitted_at=round(submitted_at, 3),
        gang=shape == GANG,
    )


def read_dependencies(data: dict[str, Any]) -> tuple[str, ...]:
    """The ids of the jobs that a submission depends on, without duplicates.

    Raises:
        MalformedSubmissionError: The field is not a list of job ids.
    """
    dependencies = data.get("awaits")
    if dependencies is None:
        return ()
    if not isinstance(dependencies, list) or not all(
        isinstance(dependency, str) and is_job_id(dependency) for dependency in dependencies
    ):
        raise MalformedSubmissionError("awaits: a list of job ids or null is needed")
    return tuple(dict.fromkeys(dependencies))


def _shape(data: dict[str, Any]) -> str:
    shape = data.get("shape")
    if shape not in SHAPES:
        raise MalformedSubmissionError("shape: sweep, standing or group is needed")
    return shape


def _priority(data: dict[str, Any]) -> int:
    rank = data.get("rank")
    if rank not in PRIORITIES:
        raise MalformedSubmissionError(f"rank: one of {', '.join(PRIORITIES)} is needed")
    return PRIORITIES.index(rank)


def _task_count(data: dict[str, Any]) -> int:
    tasks = data.get("embers")
    if isinstance(tasks, bool) or not isinstance(tasks, int) or not 1 <= tasks <= MAX_TASKS:
        raise MalformedSubmissionError(f"embers: a whole number from 1 to {MAX_TASKS} is needed")
    return tasks


def _allowed_types(data: dict[str, Any]) -> tuple[str, ...] | None:
    names = data.get("hearth_kinds")
    if names is None:
        return None
    if (
        not isinstance(names, list)
        or not names
        or not all(isinstance(name, str) and name for name in names)
    ):
        raise MalformedSubmissionError("hearth_kinds: a list of machine types or null is needed")
    return tuple(names)


def _non_negative_number(data: dict[str, Any], key: str) -> float:
    value = data.get(key)
    if value is None:
        raise MalformedSubmissionError(f"{key} is missing")
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
        or value < 0
    ):
        raise MalformedSubmissionError(f"{key}: a number of at least 0 is needed")
    return float(value)


def _non_empty_string(data: dict[str, Any], key: str) -> str:
    value = data.get(key)
    if not isinstance(value, str) or not value:
        raise MalformedSubmissionError(f"{key}: a text is needed")
    return value


def _optional_string(data: dict[str, Any], key: str) -> str | None:
    return None if data.get(key) is None else _non_empty_string(data, key)


def _boolean(data: dict[str, Any], key: str) -> bool:
    value = data.get(key)
    if not isinstance(value, bool):
        raise MalformedSubmissionError(f"{key}: true or false is needed")
    return value


# --- answers


def write_state(state: JobState) -> dict[str, Any]:
    """The body that reports a job's state; it has task counts only if they are known."""
    answer: dict[str, Any] = {"id": state.job_id, "glow": STATUS_NAMES[state.status]}
    if state.done_tasks is not None:
        answer["done"] = state.done_tasks
        answer["running"] = state.running_tasks
    return answer


def ready() -> dict[str, Any]:
    """The body that reports to a health check that this controller is ready."""
    return {"ready": True}


def error(text: str) -> dict[str, Any]:
    """The body of an answer that reports an error."""
    return {"error": text}
