"""Compares the machines of a type with its targets."""

from typing import NamedTuple

from ..placement import MachineType
from .machines import FleetMachine


class TypeBalance(NamedTuple):
    """The machines of one type and the targets of its two pools.

    Ordinary machines above their own target also serve demand that may use spot machines.

    Attributes:
        machine_type: The type.
        machines: The running and booting machines that count towards the targets.
        ordinary: Number of ordinary machines, including pending requests.
        spot: Number of spot machines, including pending requests.
        ordinary_target: Machines for demand that may not use spot machines.
        spot_target: Machines for demand that may use spot machines.
    """

    machine_type: MachineType
    machines: list[FleetMachine]
    ordinary: int
    spot: int
    ordinary_target: int
    spot_target: int

    @property
    def ordinary_shortage(self) -> int:
        """Ordinary machines missing; negative if there are more than their target."""
        return self.ordinary_target - self.ordinary

    @property
    def spot_shortage(self) -> int:
        """Machines missing for demand that may use spot machines."""
        return self.spot_target - self.spot - max(0, -self.ordinary_shortage)

    @property
    def surplus(self) -> int:
        """Machines above the sum of both targets."""
        return self.ordinary + self.spot - self.ordinary_target - self.spot_target

    def idle(self, spot: bool) -> int:
        """The number of idle machines in one pool."""
        return sum(machine.is_idle and machine.spot == spot for machine in self.machines)
