"""Fleet: the leader scales it out and in, taints lost or drained machines, keeps the catalog."""

from .autoscaler import Autoscaler
from .states import MachineState, Taint
from .taints import Taints

__all__ = ["Autoscaler", "MachineState", "Taint", "Taints"]
