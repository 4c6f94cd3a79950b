"""How many machines of a type there are, against its targets."""

from typing import NamedTuple

from ..placement import MachineType
from .machines import FleetMachine


class TypeBalance(NamedTuple):
    """Machines of one type against the targets of its two pools.

    Demand that may use spot machines is met by ordinary ones beyond their own target too.

    Attributes:
        machine_type: The type.
        machines: Those that count towards the targets, being there or booting.
        ordinary: Ordinary machines, those asked for included.
        spot: Spot machines, those asked for included.
        ordinary_target: Machines for demand that may not use spot machines.
        spot_target: Machines for demand that may.
    """

    machine_type: MachineType
    machines: list[FleetMachine]
    ordinary: int
    spot: int
    ordinary_target: int
    spot_target: int

    @property
    def ordinary_shortage(self) -> int:
        """Ordinary machines missing; negative: those beyond their target."""
        return self.ordinary_target - self.ordinary

    @property
    def spot_shortage(self) -> int:
        """Machines missing for demand that may use spot ones."""
        return self.spot_target - self.spot - max(0, -self.ordinary_shortage)

    @property
    def surplus(self) -> int:
        """Machines beyond both targets."""
        return self.ordinary + self.spot - self.ordinary_target - self.spot_target

    def idle(self, spot: bool) -> int:
        """Idle machines of one pool."""
        return sum(machine.is_idle and machine.spot == spot for machine in self.machines)
