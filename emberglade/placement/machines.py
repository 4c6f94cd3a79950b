"""Machine types of the catalog, and machines as placement sees them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .resources import tasks_that_fit

if TYPE_CHECKING:
    from ..jobs.job_spec import JobSpec

# How many tasks that require no processor, GPU or memory are considered to fill a machine.
MAX_UNCONSTRAINED_TASKS = 1000


@dataclass(frozen=True)
class MachineType:
    """A machine type of the catalog.

    Attributes:
        name: Its name in the catalog.
        cpus: Processors of one machine.
        gpus: GPUs of one machine.
        ram_gb: Memory of one machine, in GB.
        cache_gb: Size of its image cache, in GB.
        fetch_gb_per_s: How fast a machine fetches images, in GB per second.
        price: Nominal price of an on-demand machine, per hour.
        spot_price: Current price of a spot machine, per hour.
        boot_s: Time from the request until a machine can run tasks, in seconds; 0 if unknown.
        zones: The zones in which it is offered.
    """

    name: str
    cpus: float
    gpus: float
    ram_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def tasks_that_fit(self, spec: "JobSpec") -> int:
        """How many tasks of a job fit on an empty machine."""
        return tasks_that_fit(spec, self, MAX_UNCONSTRAINED_TASKS)

    def can_run(self, spec: "JobSpec") -> bool:
        """Whether a job allows this type and its zones, and its tasks fit on an empty machine."""
        return (
            (spec.allowed_types is None or self.name in spec.allowed_types)
            and (spec.zone is None or spec.zone in self.zones)
            and self.tasks_that_fit(spec) >= 1
        )

    def price_per_task(self, spec: "JobSpec") -> float:
        """Price per hour of one task of a job on a machine that is full of such tasks."""
        price = self.spot_price if spec.spot else self.price
        return price / self.tasks_that_fit(spec)


@dataclass(frozen=True)
class Machine:
    """A machine as placement sees it.

    Attributes:
        name: Its name.
        type: Its machine type.
        zone: Its zone.
        spot: Whether the cloud may reclaim it.
        agent_epoch: The newest known epoch of its agent; new bindings are valid in this epoch only.
        schedulable: Whether it was recently in contact with a controller, receives the answers to
            its heartbeats, and has no spot notice.
    """

    name: str
    type: MachineType
    zone: str
    spot: bool
    agent_epoch: int
    schedulable: bool

    def is_allowed_for(self, spec: "JobSpec") -> bool:
        """Whether a job may use a machine of this kind, type and zone.

        Does not check rules that depend on the zones of the job's other tasks.
        """
        return (
            (spec.spot or not self.spot)
            and (spec.allowed_types is None or self.type.name in spec.allowed_types)
            and (spec.zone is None or self.zone == spec.zone)
        )


def fits_some_type(spec: "JobSpec", machine_types: dict[str, MachineType]) -> bool:
    """Whether a task of a job fits on an empty machine of some type."""
    return any(machine_type.can_run(spec) for machine_type in machine_types.values())


def cheapest_type(spec: "JobSpec", machine_types: Iterable[MachineType]) -> MachineType | None:
    """The type that runs a job's tasks at the lowest price; None if none can run them."""
    return min(
        (machine_type for machine_type in machine_types if machine_type.can_run(spec)),
        key=lambda machine_type: (machine_type.price_per_task(spec), machine_type.name),
        default=None,
    )
