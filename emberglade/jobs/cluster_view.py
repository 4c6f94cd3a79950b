"""What a controller's placing knows of the machines."""

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Any

from .. import placement
from ..fleet.taints import Taints
from .binding import Binding
from .job import Job

if TYPE_CHECKING:
    from ..config import Settings


class ClusterView:
    """The machines, their taints, and what is free on them.

    Attributes:
        machines: machine -> placement.Machine, as the agent manager told them last.
        schedulable_machines: The names of those that may be given tasks, taints apart.
        machine_types: name -> MachineType, as committed.
        capacity: What bound tasks take, per machine and team.
        images: Which images machines are expected to have cached.
    """

    def __init__(self, settings: "Settings") -> None:
        self.machines: Mapping[str, placement.Machine] = {}
        self.schedulable_machines: set[str] = set()
        self.taints = Taints()
        self.machine_types: dict[str, placement.MachineType] = {}
        self.capacity = placement.ClusterCapacity(settings.teams)
        self.images = placement.ImageCaches()

    def update_machines(self, machines: Mapping[str, placement.Machine]) -> None:
        """Takes in the machines that are there now."""
        self.machines = machines
        self.schedulable_machines = {
            name for name, machine in machines.items() if machine.schedulable
        }
        self.capacity.set_machines(machines)
        self.images.keep_only(machines)

    def update_machine_types(self, record: dict[str, Any]) -> None:
        """Takes in the record of the machine types."""
        self.machine_types = placement.read_machine_types(record)

    def untainted_machines(self) -> set[str]:
        """The names of the machines that may be given tasks."""
        return self.schedulable_machines.difference(self.taints.by_machine)

    def tasks_on(self, machine: str) -> dict[tuple[str, int], placement.BoundTask]:
        """{(job id, task): BoundTask} of all that is bound to a machine."""
        return self.capacity.bound_tasks.get(machine, {})

    def bound_machines(self) -> Collection[str]:
        """The machines that any task is bound to."""
        return self.capacity.bound_tasks

    def bind(self, job: Job, task: int, binding: Binding) -> None:
        """Counts a task as bound."""
        self.capacity.add(job, task, binding)
        machine = self.machines.get(binding.machine)
        if machine is not None:
            self.images.add(
                binding.machine, job.spec.image, job.spec.image_gb, machine.type.cache_gb
            )

    def unbind(self, job: Job, task: int, binding: Binding) -> None:
        """Counts a task as gone from its machine."""
        self.capacity.remove(job, task, binding)
