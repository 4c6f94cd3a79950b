"""Messages between controllers: task status updates, views of machines, and cancellations."""

from collections.abc import Iterable
from contextlib import suppress
from dataclasses import astuple
from typing import Any, NamedTuple

from ...jobs.task_updates import StopRequested, TaskExited, TaskGone, TaskUpdate
from .agents import AgentHeartbeat

UPDATE_TYPES: dict[str, type[TaskUpdate]] = {
    "exited": TaskExited,
    "gone": TaskGone,
    "stop": StopRequested,
}
NO_REPLICA = -1  # the replica revision of a controller without a replica
MAX_CONTACT_AGE_S = 1e6  # also sent for "never", since JSON has no infinity


# --- task status updates


def write_task_updates(updates: Iterable[TaskUpdate]) -> list[list]:
    """The body that sends updates to a job's owner: a list of [kind, job id, task, ...]."""
    return [[update.key.kind, *astuple(update)] for update in updates]


def read_task_updates(data: Any) -> list[TaskUpdate]:
    """The updates in the body of a peer's request; malformed ones are skipped."""
    updates: list[TaskUpdate] = []
    for row in data if isinstance(data, list) else ():
        if isinstance(row, list) and len(row) > 3 and row[0] in UPDATE_TYPES:
            with suppress(TypeError):  # wrong number of fields
                updates.append(UPDATE_TYPES[row[0]](*row[1:]))
    return updates


# --- views of machines


class MachineQuestion(NamedTuple):
    """A peer's question: about all machines, or only some."""

    asker: str | None  # None: from a peer of the previous version, which does not send its name
    machines: list[str] | None  # None: all machines


def write_question(asker: str, machines: list[str] | None) -> dict:
    """The body of a question about `machines`, or about all if None."""
    return {"from": asker} if machines is None else {"from": asker, "of": machines}


def read_question(data: Any) -> MachineQuestion:
    """Parses a peer's question; malformed fields are treated as missing."""
    data = data if isinstance(data, dict) else {}
    names, asker = data.get("of"), data.get("from")
    machines = (
        [name for name in names if isinstance(name, str)] if isinstance(names, list) else None
    )
    return MachineQuestion(asker if isinstance(asker, str) else None, machines)


class MachineStatus(NamedTuple):
    """One machine, as a controller's answer or table shows it.

    Attributes:
        age_s: Seconds from that controller's last contact with the machine until it made the answer
            or table.
        unreachable: Its heartbeats arrive, but answers do not reach it.
    """

    age_s: float
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    spot_notice: bool
    unreachable: bool
    addr: str


def machine_values(heartbeat: AgentHeartbeat, age_s: float, unreachable: bool) -> tuple:
    """The values of a MachineStatus as a plain tuple, which orjson can serialize."""
    return (
        round(age_s, 3),
        heartbeat.type,
        heartbeat.zone,
        heartbeat.spot,
        heartbeat.agent_epoch,
        heartbeat.sequence,
        heartbeat.spot_notice_s is not None,
        unreachable,
        heartbeat.addr,
    )


class MachineView(NamedTuple):
    """One controller's view of all the machines that it knows.

    Attributes:
        up_s: Seconds since its process began.
        contact_age_s: Seconds since it sent its last answered sync.
        revision: In an answer: the revision of a sync made for the question, None if that
            sync failed or was left out. In a table: the revision of the replica that the table was
            made from.
        machines: By name.
        replica_revision: The revision of its replica; NO_REPLICA if it has none or sent none.
    """

    up_s: float
    contact_age_s: float
    revision: int | None
    machines: dict[str, MachineStatus]
    replica_revision: int


def write_machine_view(
    up_s: float,
    contact_age_s: float,
    revision: int | None,
    replica_revision: int,
    machines: dict[str, tuple],
) -> dict:
    """The answer to a question: a MachineView's fields; `machines` is {name: `machine_values`}."""
    return {
        "up": up_s,
        "contact": min(MAX_CONTACT_AGE_S, contact_age_s),
        "rev": revision,
        "copy": replica_revision,
        "known": machines,
    }


def read_machine_view(data: Any) -> MachineView | None:
    """The view in an answer, or None if it is malformed."""
    try:
        up_s, contact_age_s, revision = float(data["up"]), float(data["contact"]), data["rev"]
        replica_revision = data.get("copy", NO_REPLICA)
        if revision is not None and type(revision) is not int:
            return None
        if type(replica_revision) is not int:
            return None
        machines = {name: MachineStatus(*values) for name, values in data["known"].items()}
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return MachineView(up_s, contact_age_s, revision, machines, replica_revision)


# --- cancellations


class CancellationNotice(NamedTuple):
    """A cancellation that a peer has seen committed at this revision."""

    job_id: str
    revision: int


def write_cancellation(job_id: str, revision: int) -> dict:
    """The body that notifies a peer of a cancellation."""
    return {"job": job_id, "rev": revision}


def read_cancellation(data: Any) -> CancellationNotice | None:
    """The cancellation in the body of a peer's notice, or None if it is malformed."""
    if (
        not isinstance(data, dict)
        or not isinstance(data.get("job"), str)
        or type(data.get("rev")) is not int
    ):
        return None
    return CancellationNotice(data["job"], data["rev"])
