"""Messages between agents and controllers: heartbeats, their answers, and direct commands.

PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ...jobs.job import task_name

COMMANDS_PATH = "/commands"  # on the agent's server
MAX_COUNT = 2**64  # exclusive limit for epochs, sequence numbers, fencing tokens and attempts


class HeartbeatError(ValueError):
    """A malformed heartbeat; the message describes the fault and is sent back to the agent."""


class TaskState(Enum):
    """The state of a task on its machine; the values are those in heartbeats."""

    FETCHING = "fetching"  # waiting for its image
    RUNNING = "running"
    SAVING = "saving"  # saving a checkpoint before it stops
    EXITED = "exited"
    UNKNOWN = ""  # a state that PROTOCOL does not define


TaskKey = tuple[str, int]  # (job id, task number)
TASK_STATES = {state.value: state for state in TaskState}
# Every task of a heartbeat is compared with these, and Python 3.11 looks up enum members slowly.
EXITED = TaskState.EXITED
SAVING = TaskState.SAVING
UNKNOWN = TaskState.UNKNOWN


class TaskStatus(NamedTuple):
    """The status of one task on a machine, as its agent reports it."""

    attempt: int
    state: TaskState
    exit_reason: str | None
    checkpointed: bool


@dataclass(slots=True)
class AgentHeartbeat:
    """A heartbeat of an agent; its tasks are parsed only when they are needed.

    Attributes:
        spot_notice_s: Seconds until the cloud reclaims the machine; None without a notice.
        raw_tasks: The tasks as received, for `read_tasks`.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    spot_notice_s: float | None
    raw_tasks: list

    @property
    def version(self) -> tuple[int, int]:
        """(agent epoch, sequence): of two messages of a machine, the greater one is newer."""
        return self.agent_epoch, self.sequence


# --- heartbeats


def _read_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise HeartbeatError(f"{value!r} is not a count")
    return value


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise HeartbeatError(f"{value!r} is not a text")
    return value


def _read_spot_notice(value: Any) -> float | None:
    if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
        raise HeartbeatError(f"reclaim_s {value!r} is not a number")
    return value


def read_heartbeat(data: Any) -> AgentHeartbeat:
    """Parses a heartbeat except for its tasks.

    Raises:
        HeartbeatError: The message is malformed.
    """
    if not isinstance(data, dict):
        raise HeartbeatError("the report is not an object")
    try:
        spot_notice_s = _read_spot_notice(data.get("reclaim_s"))
        raw_tasks = data.get("embers") or []
        if not isinstance(raw_tasks, list):
            raise HeartbeatError("embers is not a list")
        return AgentHeartbeat(
            _read_text(data["hearth"]),
            _read_text(data["addr"]),
            _read_text(data["hearth_kind"]),
            _read_text(data["glade"]),
            bool(data.get("driftwood")),
            _read_count(data["kindling_span"]),
            _read_count(data["tally"]),
            _read_count(data.get("torch") or 0),
            spot_notice_s,
            raw_tasks,
        )
    except KeyError as error:
        raise HeartbeatError(f"the report lacks {error.args[0]}") from None


def read_tasks(raw_tasks: list) -> dict[TaskKey, TaskStatus]:
    """Parses the tasks of a heartbeat from its `raw_tasks`.

    Raises:
        HeartbeatError: A task is malformed.
    """
    tasks: dict[TaskKey, TaskStatus] = {}
    try:
        for row in raw_tasks:
            job_id, _, number = _read_text(row["ember"]).rpartition("/")
            tasks[(job_id, int(number))] = TaskStatus(
                _read_count(row["strike"]),
                TASK_STATES.get(_read_text(row["glow"]), UNKNOWN),
                row.get("ashcause"),
                bool(row.get("stored")),
            )
    except KeyError as error:
        raise HeartbeatError(f"a task of the report lacks {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise HeartbeatError(f"a task of the report is malformed: {error}") from None
    except ValueError as error:
        raise HeartbeatError(str(error)) from None
    return tasks


# --- commands


@dataclass(frozen=True, slots=True)
class StartTask:
    """Starts an attempt of a task."""

    key: TaskKey
    attempt: int

    def encode(self) -> dict:
        """The command as it is sent."""
        return {"blast": "start", "ember": task_name(*self.key), "strike": self.attempt}


@dataclass(frozen=True, slots=True)
class HaltTask:
    """Stops an attempt, which has `grace_s` seconds to save a checkpoint."""

    key: TaskKey
    attempt: int
    grace_s: float

    def encode(self) -> dict:
        """The command as it is sent."""
        return {
            "blast": "halt",
            "ember": task_name(*self.key),
            "strike": self.attempt,
            "smother_s": self.grace_s,
        }


@dataclass(frozen=True, slots=True)
class ClearTask:
    """Makes the agent forget an attempt that has ended."""

    key: TaskKey
    attempt: int

    def encode(self) -> dict:
        """The command as it is sent."""
        return {"blast": "clear", "ember": task_name(*self.key), "strike": self.attempt}


Command = StartTask | HaltTask | ClearTask


def _encode_all(commands: Iterable[Command]) -> list[dict]:
    return [command.encode() for command in commands]


def write_answer(fencing_token: int, commands: Sequence[Command] = ()) -> dict:
    """The body of a 200 answer to a heartbeat."""
    return {"torch": fencing_token, "bellows": _encode_all(commands) if commands else []}


def write_direct_commands(
    fencing_token: int, agent_epoch: int, commands: Iterable[Command]
) -> dict:
    """The body of commands sent to an agent's own address, valid only in that agent epoch."""
    return {
        "torch": fencing_token,
        "kindling_span": agent_epoch,
        "bellows": _encode_all(commands),
    }


def write_redirect(node: str | None) -> dict:
    """The body of a 421 answer: the controller to send heartbeats to, if there is one."""
    return {"firekeeper": node} if node else {}


def write_error(reason: object) -> dict:
    """The body of a 400 or 503 answer."""
    return {"error": str(reason)}
