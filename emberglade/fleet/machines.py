"""The machines that the leader counts, and those that it is scaling in."""

from dataclasses import dataclass

from .states import MachineState
from .taints import Taints

NEVER = 0.0  # as a time: it has not happened yet
MAX_NAMES_LOGGED = 8


def shorten_names(names: list[str]) -> str:
    """Names of machines for a log line: hundreds may be concerned at once."""
    shown = " ".join(names[:MAX_NAMES_LOGGED])
    further = len(names) - MAX_NAMES_LOGGED
    return f"{shown} and {further} more" if further > 0 else shown


@dataclass
class FleetMachine:
    """A machine as the leader counts it; times are this controller's steady clock."""

    name: str
    type: str
    zone: str
    spot: bool
    requested_at: float
    state: MachineState = MachineState.STARTING
    listed: bool = False  # whether a list of the cloud has shown it
    lists_without: int = 0  # lists in a row that lacked it
    last_heard: float = NEVER  # when any controller last heard it
    idle_since: float | None = None
    unreachable_since: float | None = None  # its heartbeats arrive, answers don't reach it

    @property
    def ever_heard(self) -> bool:
        """Whether any controller has heard it."""
        return self.last_heard != NEVER

    @property
    def is_idle(self) -> bool:
        """Whether it is up and no task is bound to it."""
        return self.idle_since is not None


class FleetMachines:
    """The leader's account of the fleet.

    Attributes:
        taints: The taints as committed.
        by_name: The machines that are there or boot, those being scaled in included.
        occupied: Names of the machines that some task is bound to.
        scaling_in: Names of the machines whose scale-in the cloud has not answered yet.
        scaled_in_at: When the cloud confirmed that a machine is gone; lists may still show it.
    """

    def __init__(self, taints: Taints) -> None:
        self.taints = taints
        self.by_name: dict[str, FleetMachine] = {}
        self.occupied: set[str] = set()
        self.scaling_in: set[str] = set()
        self.scaled_in_at: dict[str, float] = {}

    def begin_leadership(self) -> None:
        """Forgets the machines: a former leadership's account of them is out of date."""
        self.by_name = {}
        self.scaling_in = set()
        self.scaled_in_at = {}

    def is_counted(self, machine: FleetMachine) -> bool:
        """Whether a machine counts towards a target: it serves, or will once it is up."""
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

    def note_occupied(self, occupied: set[str], now: float) -> None:
        """Notes which machines tasks are bound to, and since when the others are idle."""
        self.occupied = occupied
        for machine in self.by_name.values():
            if machine.name in occupied or machine.last_heard == NEVER:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
