"""The leader's records of machines, including those that it is scaling in."""

from dataclasses import dataclass

from .states import MachineState
from .taints import Taints

NEVER = 0.0  # timestamp of an event that has not happened yet
MAX_NAMES_LOGGED = 8


def shorten_names(names: list[str]) -> str:
    """Machine names for a log line, truncated, as one line may concern hundreds of machines."""
    shown = " ".join(names[:MAX_NAMES_LOGGED])
    further = len(names) - MAX_NAMES_LOGGED
    return f"{shown} and {further} more" if further > 0 else shown


@dataclass
class FleetMachine:
    """The leader's record of one machine; times are by this controller's monotonic clock."""

    name: str
    type: str
    zone: str
    spot: bool
    requested_at: float
    state: MachineState = MachineState.STARTING
    was_listed: bool = False  # whether any list of the cloud has contained it
    missed_lists: int = 0  # consecutive lists without it
    last_heartbeat_at: float = NEVER  # received by any controller
    idle_since: float | None = None  # None while it boots or tasks are bound to it
    unreachable_since: float | None = None  # since when answers to its heartbeats don't reach it

    @property
    def has_sent_heartbeat(self) -> bool:
        """Whether any controller has received a heartbeat from it."""
        return self.last_heartbeat_at != NEVER

    @property
    def is_idle(self) -> bool:
        """Whether it is running and no task is bound to it."""
        return self.idle_since is not None


class FleetMachines:
    """The leader's records of the fleet.

    Attributes:
        taints: The taints as committed.
        by_name: {name: record} of all machines, including those being scaled in.
        occupied: Names of the machines that tasks are bound to.
        scaling_in: Names of the machines whose scale-in the cloud has not answered yet.
        scaled_in_at: {machine: when the cloud confirmed its scale-in}; lists may still show it.
    """

    def __init__(self, taints: Taints) -> None:
        self.taints = taints
        self.by_name: dict[str, FleetMachine] = {}
        self.occupied: set[str] = set()
        self.scaling_in: set[str] = set()
        self.scaled_in_at: dict[str, float] = {}

    def begin_leadership(self) -> None:
        """Discards the machine records of an earlier leadership, as they are out of date."""
        self.by_name = {}
        self.scaling_in = set()
        self.scaled_in_at = {}

    def is_counted(self, machine: FleetMachine) -> bool:
        """Whether a machine counts towards a target: tasks can run there now or after its boot."""
        return (
            machine.state != MachineState.FAILED
            and self.taints.get(machine.name) is None
            and machine.name not in self.scaling_in
        )

    def counted(self, machine_type: str) -> list[FleetMachine]:
        """The machines of a type that count towards its targets."""
        return [
            machine
            for machine in self.by_name.values()
            if machine.type == machine_type and self.is_counted(machine)
        ]

    def update_occupied(self, occupied: set[str], now: float) -> None:
        """Updates which machines tasks are bound to, and since when the others are idle."""
        self.occupied = occupied
        for machine in self.by_name.values():
            if machine.name in occupied or machine.last_heartbeat_at == NEVER:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
