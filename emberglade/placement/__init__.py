"""Placement: types, free room, fit, zones, team limits, image locality. Pure, no messages."""

from . import preempt
from .capacity import ClusterCapacity, Machine, PlacementRound, placement_order
from .capacity_buffer import capacity_buffer
from .demand import demand, zone_shortage
from .images import ImageCaches
from .machine_types import MachineType, fits_some_type, read_machine_types, write_machine_types

__all__ = [
    "ImageCaches",
    "Machine",
    "MachineType",
    "ClusterCapacity",
    "PlacementRound",
    "demand",
    "fits_some_type",
    "capacity_buffer",
    "placement_order",
    "preempt",
    "read_machine_types",
    "write_machine_types",
    "zone_shortage",
]
