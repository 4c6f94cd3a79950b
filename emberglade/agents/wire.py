"""What workers say and are told, and what nodes tell each other of them; field names included."""

from contextlib import suppress
from dataclasses import astuple, dataclass
from typing import NamedTuple

from ..jobs.task_updates import StopWanted, TaskExited, TaskGone


class TaskStatus(NamedTuple):
    """One task on a machine, as its worker reports it."""

    attempt: int
    state: str
    exit_reason: str | None
    checkpointed: bool


@dataclass(slots=True)
class AgentHeartbeat:
    """A worker's report; its tasks are read only when they are needed."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    spot_notice_s: float | None
    raw: list  # the tasks as they were sent

    @property
    def age(self):
        return self.agent_epoch, self.sequence


def _count(value):
    if type(value) is not int or not 0 <= value < 2**64:
        raise ValueError(f"{value!r} is not a count")
    return value


def _text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    return value


def read_agent_heartbeat(data):
    """A Report whose tasks are not read yet, or ValueError with what is wrong."""
    if not isinstance(data, dict):
        raise ValueError("the report is not an object")
    try:
        spot_notice = data.get("reclaim_s")
        if spot_notice is not None and (
            isinstance(spot_notice, bool) or not isinstance(spot_notice, int | float)
        ):
            raise ValueError(f"reclaim_s {spot_notice!r} is not a number")
        raw = data.get("embers") or []
        if not isinstance(raw, list):
            raise ValueError("embers is not a list")
        return AgentHeartbeat(
            _text(data["hearth"]),
            _text(data["addr"]),
            _text(data["hearth_kind"]),
            _text(data["glade"]),
            bool(data.get("driftwood")),
            _count(data["kindling_span"]),
            _count(data["tally"]),
            _count(data.get("torch") or 0),
            spot_notice,
            raw,
        )
    except KeyError as error:
        raise ValueError(f"the report lacks {error.args[0]}") from None


def read_tasks(raw):
    """{(job id, task): Seen}, or ValueError with what is wrong."""
    tasks = {}
    try:
        for row in raw:
            job_id, _, number = _text(row["ember"]).rpartition("/")
            tasks[(job_id, int(number))] = TaskStatus(
                _count(row["strike"]),
                _text(row["glow"]),
                row.get("ashcause"),
                bool(row.get("stored")),
            )
    except KeyError as error:
        raise ValueError(f"a task of the report lacks {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise ValueError(f"a task of the report is malformed: {error}") from None
    return tasks


def start(name, attempt):
    """The command to start an attempt of a task."""
    return {"blast": "start", "ember": name, "strike": attempt}


def halt(name, attempt, grace_s):
    """The command to stop an attempt, with time to save."""
    return {"blast": "halt", "ember": name, "strike": attempt, "smother_s": grace_s}


def is_halt(command):
    """Whether a command stops a task."""
    return command["blast"] == "halt"


def clear(name, attempt):
    """The command to forget an attempt that has ended."""
    return {"blast": "clear", "ember": name, "strike": attempt}


def answer(fencing_token, commands):
    """The answer to a report."""
    return {"torch": fencing_token, "bellows": commands}


def orders(fencing_token, agent_epoch, commands):
    """The body of direct commands to a worker of that session."""
    return {"torch": fencing_token, "kindling_span": agent_epoch, "bellows": commands}


def elsewhere(node):
    """The body of a 421 that names the controller to report to, if there is one."""
    return {"firekeeper": node} if node else {}


# --- between nodes: updates on tasks, and what one node knows of the machines it hears

TASK_UPDATES_PATH = "/peer/facts"
UPDATE_TYPES = {"exited": TaskExited, "gone": TaskGone, "stop": StopWanted}


def write_task_updates(updates):
    """The body that tells a holder of these updates: a list of [kind, job id, task, ...]."""
    return [[update.key.kind, *astuple(update)] for update in updates]


def read_task_updates(data):
    """The updates in such a body; odd ones are left out."""
    updates = []
    for row in data if isinstance(data, list) else ():
        if isinstance(row, list) and len(row) > 3 and row[0] in UPDATE_TYPES:
            with suppress(TypeError):  # another number of fields
                updates.append(UPDATE_TYPES[row[0]](*row[1:]))
    return updates


class Question(NamedTuple):
    """What a peer wants to know: all machines, or only some."""

    asker: str | None  # the version before does not say
    only: list | None


def question(asker, only):
    """The body of a question to a peer; `only` names the machines that it is about."""
    return {"from": asker} if only is None else {"from": asker, "of": only}


def read_question(data):
    """A peer's Question; whatever is odd in it counts as missing."""
    data = data if isinstance(data, dict) else {}
    names, asker = data.get("of"), data.get("from")
    only = [name for name in names if isinstance(name, str)] if isinstance(names, list) else None
    return Question(asker if isinstance(asker, str) else None, only)


class Row(NamedTuple):
    """One machine in a node's statement; `age_s` as of when the statement was made."""

    age_s: float
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    spot_notice: bool
    unreachable: bool
    addr: str


def statement(up_s, contact_age_s, revision, replica_revision, rows):
    """`revision` is that of a sync asked for by the question, None if there was none;
    `replica_revision` that of the copy.
    """
    return {
        "up": up_s,
        "contact": contact_age_s,
        "rev": revision,
        "copy": replica_revision,
        "known": rows,
    }


def cancellation(job_id, revision):
    """The body that tells a peer of a cancellation committed at that revision."""
    return {"job": job_id, "rev": revision}


def read_cancellation(data):
    """(job id, revision) of a cancellation that a peer has seen committed, or None."""
    if (
        not isinstance(data, dict)
        or not isinstance(data.get("job"), str)
        or type(data.get("rev")) is not int
    ):
        return None
    return data["job"], data["rev"]


def read_statement(data):
    """(up_s, contact_s, revision or None, {machine: Row}, the copy's revision), or None when it is
    odd.

    The last is -1 if the peer has no copy yet, or does not say.
    """
    try:
        up_s, contact_age_s, revision = float(data["up"]), float(data["contact"]), data["rev"]
        copy = data.get("copy", -1)
        if (revision is not None and type(revision) is not int) or type(copy) is not int:
            return None
        return (
            up_s,
            contact_age_s,
            revision,
            {name: Row(*row) for name, row in data["known"].items()},
            copy,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
