"""A controller's view of the machines, for placement."""

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Any

from .. import placement
from ..fleet.taints import Taints
from .binding import Binding
from .job import Job

if TYPE_CHECKING:
    from ..config import Settings


class ClusterView:
    """The machines, their taints, and their free capacity.

    Attributes:
        machines: name -> placement.Machine, as last received from the agent manager.
        schedulable_machines: The names of the schedulable machines, regardless of taints.
        taints: The leader's taints on machines.
        machine_types: name -> MachineType, according to the replica.
        capacity: The capacity that bound tasks use, per machine and per team.
        images: The images that machines are expected to have cached.
    """

    def __init__(self, settings: "Settings") -> None:
        self.machines: Mapping[str, placement.Machine] = {}
        self.schedulable_machines: set[str] = set()
        self.taints = Taints()
        self.machine_types: dict[str, placement.MachineType] = {}
        self.capacity = placement.ClusterCapacity(settings.teams)
        self.images = placement.ImageCaches()

    def update_machines(self, machines: Mapping[str, placement.Machine]) -> None:
        """Replaces the machines by the current ones."""
        self.machines = machines
        self.schedulable_machines = {
            name for name, machine in machines.items() if machine.schedulable
        }
        self.capacity.set_machines(machines)
        self.images.keep_only(machines)

    def update_machine_types(self, record: dict[str, Any]) -> None:
        """Applies the record of the machine types."""
        self.machine_types = placement.read_machine_types(record)

    def untainted_machines(self) -> set[str]:
        """The names of the machines on which tasks may be placed."""
        return self.schedulable_machines.difference(self.taints.by_machine)

    def tasks_on(self, machine: str) -> dict[tuple[str, int], placement.BoundTask]:
        """{(job id, task): BoundTask} of all tasks bound to a machine."""
        return self.capacity.bound_tasks.get(machine, {})

    def bound_machines(self) -> Collection[str]:
        """The machines with at least one bound task."""
        return self.capacity.bound_tasks

    def bind(self, job: Job, task: int, binding: Binding) -> None:
        """Adds a bound task to the used capacity, and its image to those expected in the cache."""
        self.capacity.add(job, task, binding)
        machine = self.machines.get(binding.machine)
        if machine is not None:
            self.images.add(
                binding.machine, job.spec.image, job.spec.image_gb, machine.type.cache_gb
            )

    def unbind(self, job: Job, task: int, binding: Binding) -> None:
        """Removes a task that is no longer bound from the used capacity."""
        self.capacity.remove(job, task, binding)
