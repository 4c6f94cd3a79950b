"""Fleet management by the leader: scaling out and in, machine taints and the machine catalog."""

from .autoscaler import Autoscaler
from .states import MachineState, Taint
from .taints import Taints

__all__ = ["Autoscaler", "MachineState", "Taint", "Taints"]
