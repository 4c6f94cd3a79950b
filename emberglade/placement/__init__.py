"""Placement: types, free room, fit, zones, team limits, image locality. Pure, no messages."""

from . import preempt
from .demand import demand, zone_shortage
from .headroom import headroom
from .images import ImageCaches
from .room import Machine, Room, Round, order
from .types import MachineType, fits_some_type, read_types, write_types

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
    "read_types",
    "write_types",
    "zone_shortage",
]
