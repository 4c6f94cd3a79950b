"""Placement: types, free room, fit, zones, team limits, image locality. Pure, no messages."""

from . import preempt
from .demand import demand, zone_shortage
from .headroom import headroom
from .images import ImageCaches
from .machine_types import MachineType, fits_some_type, read_machine_types, write_machine_types
from .room import Machine, Room, Round, order

__all__ = [
    "ImageCaches",
    "Machine",
    "MachineType",
    "Room",
    "Round",
    "demand",
    "fits_some_type",
    "headroom",
    "order",
    "preempt",
    "read_machine_types",
    "write_machine_types",
    "zone_shortage",
]
