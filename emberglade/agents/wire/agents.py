"""Messages between agents and controllers: heartbeats, their answers, and direct commands.

PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from ...jobs.job import task_name
from .fields import HeartbeatError, read_count, read_text
from .tasks import TaskKey

COMMANDS_PATH = "/commands"  # on the agent's server
MAX_LINE_BYTES = 64 * 1024  # of a request body, or of a line of an answer (PROTOCOL)
ENVELOPE_BYTES = 128  # of a message besides its commands: token, agent epoch and field names
# Commands that fit one message whatever they are: each has at most 192 bytes, as a job id has at
# most 68 ASCII characters.
ALWAYS_FITTING_COMMANDS = 320


@dataclass(slots=True)
class AgentHeartbeat:
    """A heartbeat of an agent; its tasks are parsed only when they are needed.

    Attributes:
        spot_notice_s: Seconds until the cloud reclaims the machine; None without a notice.
        raw_tasks: The tasks as received, for `tasks.read_tasks`.
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
            read_text(data["hearth"]),
            read_text(data["addr"]),
            read_text(data["hearth_kind"]),
            read_text(data["glade"]),
            bool(data.get("driftwood")),
            read_count(data["kindling_span"]),
            read_count(data["tally"]),
            read_count(data.get("torch") or 0),
            spot_notice_s,
            raw_tasks,
        )
    except KeyError as error:
        raise HeartbeatError(f"the report lacks {error.args[0]}") from None


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


def fitting(commands: Sequence[Command]) -> Sequence[Command]:
    """The first of these commands, as many as one message may hold.

    PROTOCOL allows a line of 64 KiB in an answer, and a request body of that size.
    """
    if len(commands) <= ALWAYS_FITTING_COMMANDS:
        return commands
    bytes_left = MAX_LINE_BYTES - ENVELOPE_BYTES
    for count, command in enumerate(commands):
        bytes_left -= len(orjson.dumps(command.encode())) + len(b",")
        if bytes_left < 0:
            return commands[:count]
    return commands


def _encode_fitting(commands: Sequence[Command]) -> list[dict]:
    return [command.encode() for command in fitting(commands)]


def write_answer(fencing_token: int | None, commands: Sequence[Command] = ()) -> dict:
    """The body of a 200 answer to a heartbeat.

    Commands beyond those that are `fitting` are left out; the next answer contains them. The agent
    drops an answer without a fencing token (None): it does not renew the lease.
    """
    encoded = _encode_fitting(commands) if commands else []
    if fencing_token is None:
        return {"bellows": encoded}
    return {"torch": fencing_token, "bellows": encoded}


def write_direct_commands(
    fencing_token: int, agent_epoch: int, commands: Sequence[Command]
) -> dict:
    """The body of commands sent to an agent's own address, valid only in that agent epoch.

    Commands beyond those that are `fitting` are left out.
    """
    return {
        "torch": fencing_token,
        "kindling_span": agent_epoch,
        "bellows": _encode_fitting(commands),
    }


def write_redirect(node: str | None) -> dict:
    """The body of a 421 answer: the controller to send heartbeats to, if there is one."""
    return {"firekeeper": node} if node else {}


def write_error(reason: object) -> dict:
    """The body of a 400 or 503 answer."""
    return {"error": str(reason)}
