"""What users say and are told, field names included."""

import math
import re

from ..jobs.job_spec import PRIORITIES, JobSpec

JOB_ID = re.compile(r"job-[0-9A-Za-z_-]{1,64}\Z", re.ASCII)
MAX_TASKS = 100_000


class MalformedSubmissionError(Exception):
    """A one-line reason for the user."""


def _amount(data, key):
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


def _text(data, key):
    value = data.get(key)
    if not isinstance(value, str) or not value:
        raise MalformedSubmissionError(f"{key}: a text is needed")
    return value


def _flag(data, key):
    value = data.get(key)
    if not isinstance(value, bool):
        raise MalformedSubmissionError(f"{key}: true or false is needed")
    return value


def _or_null(data, key):
    return None if data.get(key) is None else _text(data, key)


def read_id(data):
    """The job's id if there is a proper one, whatever else the body holds."""
    job_id = data.get("id") if isinstance(data, dict) else None
    return job_id if isinstance(job_id, str) and JOB_ID.match(job_id) else None


def read_submission(data, submitted_at):
    """A JobSpec, or Malformed."""
    if not isinstance(data, dict):
        raise MalformedSubmissionError("the body is not a JSON object")
    job_id = read_id(data)
    if job_id is None:
        raise MalformedSubmissionError("id: a job id like job-000412 is needed")
    shape = data.get("shape")
    # `group` is not in PROTOCOL, but in what platforms send (docs/questions.md).
    if shape not in ("sweep", "standing", "group"):
        raise MalformedSubmissionError("shape: sweep, standing or group is needed")
    priority = data.get("rank")
    if priority not in PRIORITIES:
        raise MalformedSubmissionError(f"rank: one of {', '.join(PRIORITIES)} is needed")
    tasks = data.get("embers")
    if isinstance(tasks, bool) or not isinstance(tasks, int) or not 1 <= tasks <= MAX_TASKS:
        raise MalformedSubmissionError(f"embers: a whole number from 1 to {MAX_TASKS} is needed")
    machine_types = data.get("hearth_kinds")
    if machine_types is not None and (
        not isinstance(machine_types, list)
        or not machine_types
        or not all(isinstance(t, str) and t for t in machine_types)
    ):
        raise MalformedSubmissionError("hearth_kinds: a list of machine types or null is needed")
    due = None if data.get("due_s") is None else _amount(data, "due_s")
    return JobSpec(
        id=job_id,
        job_class=_text(data, "breed"),
        team=_text(data, "crew"),
        service=shape == "standing",
        priority=PRIORITIES.index(priority),
        tasks=tasks,
        cpus=_amount(data, "cpus"),
        gpus=_amount(data, "cards"),
        ram_gb=_amount(data, "ram_gb"),
        image=_text(data, "kindling"),
        image_gb=_amount(data, "image_gb"),
        allowed_types=tuple(machine_types) if machine_types is not None else None,
        zone=_or_null(data, "glade"),
        single_zone=_flag(data, "one_zone"),
        zone_spread=_flag(data, "scatter"),
        spot=_flag(data, "driftwood"),
        estimated_run_s=_amount(data, "burn_s"),
        checkpoint_interval_s=_amount(data, "bank_s"),
        checkpoint_save_s=_amount(data, "banking_s"),
        deadline_s=due,
        submitted_at=round(submitted_at, 3),
        gang=shape == "group",
    )


def read_awaits(data):
    """The ids of the jobs that a submission waits for, each once; Malformed if it is not a list of
    ids.
    """
    awaits = data.get("awaits")
    if awaits is None:
        return ()
    if not isinstance(awaits, list) or not all(
        isinstance(need, str) and JOB_ID.match(need) for need in awaits
    ):
        raise MalformedSubmissionError("awaits: a list of job ids or null is needed")
    return tuple(dict.fromkeys(awaits))


def state(job_id, glow, done=None, running=None):
    """A job's state as its user is told."""
    answer = {"id": job_id, "glow": glow}
    if done is not None:
        answer["done"], answer["running"] = done, running
    return answer


def error(text):
    """The body of an answer that refuses a request."""
    return {"error": text}
