"""Placement: bin packing on free capacity, quotas, guarantees, preemption, demand.

Functions and data structures that send no messages: the job manager owns the data and runs its
placement rounds on it. A job's requirements are in its `JobSpec` (`emberglade/jobs/job_spec.py`).
"""

from .capacity import BoundTask, ClusterCapacity
from .capacity_buffer import ExpectedTasks, capacity_buffer
from .demand import Pool, ZonePool, demand, zone_shortage
from .images import ImageCaches
from .machines import Machine, MachineType, fits_some_type
from .placement_round import PlacementRound, placement_order
from .preemption_rules import PreemptionRules, guaranteed_jobs, preemption_class
from .victims import has_fit, victim_order, victims_for_capacity, victims_for_quota
from .wire import read_machine_types, write_machine_types

__all__ = [
    "BoundTask",
    "ClusterCapacity",
    "ExpectedTasks",
    "ImageCaches",
    "Machine",
    "MachineType",
    "PlacementRound",
    "Pool",
    "PreemptionRules",
    "ZonePool",
    "capacity_buffer",
    "demand",
    "fits_some_type",
    "guaranteed_jobs",
    "has_fit",
    "placement_order",
    "preemption_class",
    "read_machine_types",
    "victim_order",
    "victims_for_capacity",
    "victims_for_quota",
    "write_machine_types",
    "zone_shortage",
]
