"""The one place of the stand-ins that knows the protocol's field names, paths and words.

Agents and users speak `PROTOCOL-emberglade`; the stand-ins use the names of docs/glossary.md.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from .submissions import JobShape, Submission

# --- users

SUBMISSIONS_PATH = "/submissions"
# Field of a Submission -> the protocol's, in the order in which users send them.
SUBMISSION_FIELDS = {
    "job_class": "breed",
    "team": "crew",
    "shape": "shape",
    "priority": "rank",
    "tasks": "embers",
    "cpus": "cpus",
    "gpus": "cards",
    "ram_gb": "ram_gb",
    "image": "kindling",
    "image_gb": "image_gb",
    "allowed_types": "hearth_kinds",
    "zone": "glade",
    "single_zone": "one_zone",
    "zone_spread": "scatter",
    "spot": "driftwood",
    "estimated_run_s": "burn_s",
    "checkpoint_interval_s": "bank_s",
    "checkpoint_save_s": "banking_s",
    "deadline_s": "due_s",
}
SHAPES = {JobShape.ARRAY: "sweep", JobShape.SERVICE: "standing"}
NULLABLE = ("hearth_kinds", "glade", "due_s")
# The fields of a submission that PROTOCOL does not let be null.
NOT_NULL = [name for name in SUBMISSION_FIELDS.values() if name not in NULLABLE] + ["id"]
# What a repeated submission may differ in, and what keeps a job from ever running.
REPEAT_CHANGES: list[dict[str, Any]] = [
    {},
    {"cpus": 1000.0},
    {"cpus": None},
    {"crew": "nobody"},
    {"embers": -1},
]
UNSATISFIABLE_FIELDS: list[dict[str, Any]] = [
    {"cpus": 500.0},
    {"ram_gb": 1e6},
    {"hearth_kinds": ["none"]},
    {"glade": "nowhere"},
    {"crew": "nobody"},
]


class JobState(StrEnum):
    """A job's state as its user is told, by the names of the source."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


WIRE_STATES = {
    "pending": JobState.PENDING,
    "running": JobState.RUNNING,
    "done": JobState.DONE,
    "withdrawn": JobState.CANCELLED,
}


def submission_path(job_id: str) -> str:
    """The path of one job."""
    return f"{SUBMISSIONS_PATH}/{job_id}"


def cancel_path(job_id: str) -> str:
    """The path that cancels a job."""
    return f"{submission_path(job_id)}/abort"


def write_submission(job: Submission) -> dict[str, Any]:
    """The body of a submission; what only the stand-ins know of the job travels along."""
    body = {field: getattr(job, name) for name, field in SUBMISSION_FIELDS.items()}
    body["shape"] = SHAPES[JobShape(job.shape)]
    if job.fails:
        body["broken"] = True
    if job.needs is not None:
        body["awaits"] = job.needs
    if job.id is not None:
        body["id"] = job.id
    if job.actual_run_s is not None:
        body["real_s"] = job.actual_run_s
    return body


def read_job_state(body: dict[str, Any]) -> JobState:
    """The state that an answer to a user names."""
    return WIRE_STATES[body["glow"]]


# --- agents

AGENT_HEARTBEAT_PATH = "/agent/beat"
COMMANDS_PATH = "/commands"


class TaskState(StrEnum):
    """The state of a task on a machine, by the protocol's names."""

    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task has ended, by the protocol's names."""

    DONE = "done"
    ERROR = "error"
    STOPPED = "halted"
    NO_SUCH_JOB = "no_such"
    NO_CAPACITY = "full"


class CommandKind(StrEnum):
    """What an agent is told to do with a task, by the protocol's names."""

    START = "start"
    STOP = "halt"
    CLEAR = "clear"


class Command(NamedTuple):
    """One command to an agent; `grace_s` is the time that a stopped task has to save."""

    kind: str
    task: str
    attempt: int
    grace_s: float


class Commands(NamedTuple):
    """A body that holds commands; None where it lacks a field."""

    fencing_token: int | None
    agent_epoch: int | None
    commands: list[Command]


def read_commands(body: dict[str, Any]) -> Commands:
    """The commands of a request to an agent, or of the answer to its heartbeat."""
    commands = [
        Command(row["blast"], row["ember"], row["strike"], row.get("smother_s", 0))
        for row in body.get("bellows", ())
    ]
    return Commands(body.get("torch"), body.get("kindling_span"), commands)


def read_redirect(status: int, body: Any) -> str | None:
    """The controller that an agent is to send its heartbeats to, if an answer names one."""
    if status != 421 or not isinstance(body, dict):
        return None
    return body.get("firekeeper")


def write_task(
    name: str, attempt: int, state: str, exit_reason: str | None, checkpointed: bool
) -> dict[str, Any]:
    """One task of an agent's heartbeat."""
    row: dict[str, Any] = {"ember": name, "strike": attempt, "glow": state}
    if exit_reason:
        row["ashcause"] = exit_reason
    if checkpointed:
        row["stored"] = True
    return row


def write_agent_heartbeat(
    machine: dict[str, Any],
    agent_epoch: int,
    sequence: int,
    fencing_token: int,
    reclaimed_in_s: float | None,
    tasks: Iterable[dict[str, Any]],
) -> dict[str, Any]:
    """An agent's heartbeat; `machine` comes from `write_machine`."""
    return {
        **machine,
        "kindling_span": agent_epoch,
        "tally": sequence,
        "torch": fencing_token,
        "reclaim_s": reclaimed_in_s,
        "embers": list(tasks),
    }


def write_machine(
    name: str, address: str, machine_type: str, zone: str, spot: bool
) -> dict[str, Any]:
    """What a heartbeat says of the machine itself."""
    return {
        "hearth": name,
        "addr": address,
        "hearth_kind": machine_type,
        "glade": zone,
        "driftwood": spot,
    }


# --- the cloud

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/hosts"
SCALE_IN_PATH = "/hosts/return"
LIST_PAGE = 500


class ScaleOutRequest(NamedTuple):
    """A request to rent machines; one that is repeated has the same `name`."""

    name: str
    zone: str
    spot: bool
    machines: int


def read_scale_out(body: dict[str, Any]) -> ScaleOutRequest:
    """The request that a body holds."""
    return ScaleOutRequest(body["woodcall"], body["glade"], body["driftwood"], body["number"])


def read_scale_in(body: dict[str, Any]) -> list[str]:
    """The machines that a body gives back."""
    return body["hearths"]


def write_scaled_out(names: list[str]) -> dict[str, Any]:
    """The answer that names the machines that were rented."""
    return {"hearths": names}


def write_catalog(machine_types: list[dict[str, Any]]) -> dict[str, Any]:
    """The machine types that can be rented."""
    return {"hearth_kinds": machine_types}


def write_listed_machine(machine: dict[str, Any], running: bool, age_s: float) -> dict[str, Any]:
    """One row of the machine list; `machine` comes from `write_machine`."""
    row = {"id" if name == "hearth" else name: value for name, value in machine.items()}
    return {**row, "glow": "running" if running else "starting", "age_s": age_s}


def write_machine_list(rows: list[dict[str, Any]], after: str) -> dict[str, Any]:
    """One page of the machine list, in the order of names."""
    following = sorted((row for row in rows if row["id"] > after), key=lambda row: row["id"])
    return {"hearths": following[:LIST_PAGE], "has_next": len(following) > LIST_PAGE}
