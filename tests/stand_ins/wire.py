"""Wire format of users, agents and the cloud, as `PROTOCOL-emberglade` defines it.

The other modules of the stand-ins use the names of docs/glossary.md.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from .submissions import JobShape, Submission

# --- users

SUBMISSIONS_PATH = "/submissions"
# Maps fields of Submission to those of the protocol, in the order in which users send them.
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
# The fields of a submission that must not be null according to PROTOCOL.
NOT_NULL = [name for name in SUBMISSION_FIELDS.values() if name not in NULLABLE] + ["id"]
# Changes to the body of a repeated submission.
REPEAT_CHANGES: list[dict[str, Any]] = [
    {},
    {"cpus": 1000.0},
    {"cpus": None},
    {"crew": "nobody"},
    {"embers": -1},
]
# Changes to a submission with which the job can never run.
UNSATISFIABLE_FIELDS: list[dict[str, Any]] = [
    {"cpus": 500.0},
    {"ram_gb": 1e6},
    {"hearth_kinds": ["none"]},
    {"glade": "nowhere"},
    {"crew": "nobody"},
]


class JobState(StrEnum):
    """A job's state as reported to its user, by this project's names."""

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
    """The path of a job."""
    return f"{SUBMISSIONS_PATH}/{job_id}"


def cancel_path(job_id: str) -> str:
    """The path that cancels a job."""
    return f"{submission_path(job_id)}/abort"


def write_submission(job: Submission) -> dict[str, Any]:
    """Builds the body of a submission, including fields that only the stand-ins use."""
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
    """Reads the job state from an answer to a user."""
    return WIRE_STATES[body["glow"]]


# --- agents

AGENT_HEARTBEAT_PATH = "/agent/beat"
COMMANDS_PATH = "/commands"
MAX_LINE_BYTES = 64 * 1024


class TaskState(StrEnum):
    """The state of a task on a machine; values are the protocol's."""

    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why a task has ended; values are the protocol's."""

    DONE = "done"
    ERROR = "error"
    STOPPED = "halted"
    NO_SUCH_JOB = "no_such"
    NO_CAPACITY = "full"
    BUSY = "busy"


class CommandKind(StrEnum):
    """The kind of a command to an agent; values are the protocol's."""

    START = "start"
    STOP = "halt"
    CLEAR = "clear"


class Command(NamedTuple):
    """A command to an agent; `grace_s` is the time that a stopped task has to save."""

    kind: str
    task: str
    attempt: int
    grace_s: float


class Commands(NamedTuple):
    """The commands of a body, and its token and epoch; a field that the body lacks is None."""

    fencing_token: int | None
    agent_epoch: int | None
    commands: list[Command]


def read_commands(body: dict[str, Any]) -> Commands:
    """Reads the commands of a request to an agent or of an answer to its heartbeat."""
    commands = [
        Command(row["blast"], row["ember"], row["strike"], row.get("smother_s", 0))
        for row in body.get("bellows", ())
    ]
    return Commands(body.get("torch"), body.get("kindling_span"), commands)


def read_redirect(status: int, body: Any) -> str | None:
    """Reads the controller to which an answer redirects an agent's heartbeats, if any."""
    if status != 421 or not isinstance(body, dict):
        return None
    return body.get("firekeeper")


def write_task(
    name: str, attempt: int, state: str, exit_reason: str | None, checkpointed: bool
) -> dict[str, Any]:
    """Builds the row of a task in an agent's heartbeat."""
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
    """Builds an agent's heartbeat; `machine` comes from `write_machine`."""
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
    """Builds the fields of the machine itself in a heartbeat."""
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
    """A request to rent machines; a repeated request has the same `name`."""

    name: str
    zone: str
    spot: bool
    machines: int


def read_scale_out(body: dict[str, Any]) -> ScaleOutRequest:
    """Reads a scale-out request."""
    return ScaleOutRequest(body["woodcall"], body["glade"], body["driftwood"], body["number"])


def read_scale_in(body: dict[str, Any]) -> list[str]:
    """Reads the names of the machines to return."""
    return body["hearths"]


def write_scaled_out(names: list[str]) -> dict[str, Any]:
    """Builds the answer with the names of the rented machines."""
    return {"hearths": names}


def write_catalog(machine_types: list[dict[str, Any]]) -> dict[str, Any]:
    """Builds the catalog of machine types."""
    return {"hearth_kinds": machine_types}


def write_listed_machine(machine: dict[str, Any], running: bool, age_s: float) -> dict[str, Any]:
    """Builds a row of the machine list; `machine` comes from `write_machine`."""
    row = {"id" if name == "hearth" else name: value for name, value in machine.items()}
    return {**row, "glow": "running" if running else "starting", "age_s": age_s}


def write_machine_list(rows: list[dict[str, Any]], after: str) -> dict[str, Any]:
    """Builds one page of the machine list, ordered by name."""
    following = sorted((row for row in rows if row["id"] > after), key=lambda row: row["id"])
    return {"hearths": following[:LIST_PAGE], "has_next": len(following) > LIST_PAGE}
