"""Amounts of processors, GPUs and memory, and how many tasks fit into an amount."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from ..jobs.job_spec import JobSpec

# Amounts are floating-point numbers, so sums of them are not exact.
ROUNDING_TOLERANCE = 1e-9

Count = TypeVar("Count", int, float)


class Amounts(Protocol):
    """Anything with processors, GPUs and memory: a machine type, or a machine's free resources."""

    @property
    def cpus(self) -> float:
        """Processors."""

    @property
    def gpus(self) -> float:
        """GPUs."""

    @property
    def ram_gb(self) -> float:
        """Memory, in GB."""


@dataclass(slots=True)
class Resources:
    """The free resources of a machine; negative where more is bound than the machine has.

    Attributes:
        cpus: Processors.
        gpus: GPUs.
        ram_gb: Memory, in GB.
    """

    cpus: float
    gpus: float
    ram_gb: float

    def copy(self) -> "Resources":
        """An independent copy."""
        return Resources(self.cpus, self.gpus, self.ram_gb)

    def fits(self, spec: "JobSpec") -> bool:
        """Whether one more task of a job fits."""
        return (
            self.cpus + ROUNDING_TOLERANCE >= spec.cpus
            and self.ram_gb + ROUNDING_TOLERANCE >= spec.ram_gb
            and self.gpus + ROUNDING_TOLERANCE >= spec.gpus
        )

    def reserve(self, spec: "JobSpec") -> None:
        """Subtracts the resources of one task of a job, whether it fits or not."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.ram_gb -= spec.ram_gb

    def release(self, spec: "JobSpec") -> None:
        """Adds the resources of one task of a job back."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.ram_gb += spec.ram_gb


@dataclass(slots=True)
class TeamUsage:
    """What a team's tasks use, to be compared with its quota and its guarantee.

    Attributes:
        cpus: Processors.
        gpus: GPUs.
    """

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: "JobSpec", tasks: float) -> None:
        """Adds further tasks of a job."""
        self.cpus += tasks * spec.cpus
        self.gpus += tasks * spec.gpus

    def tasks_within(
        self, spec: "JobSpec", tasks: Count, cpu_limit: float, gpu_limit: float
    ) -> Count:
        """How many of `tasks` more tasks of a job are within both limits; 0 means no limit."""
        if cpu_limit > 0 and spec.cpus > 0:
            tasks = whole_tasks(cpu_limit - self.cpus, spec.cpus, tasks)
        if gpu_limit > 0 and spec.gpus > 0:
            tasks = whole_tasks(gpu_limit - self.gpus, spec.gpus, tasks)
        return max(0, tasks)


def whole_tasks(available: float, need: float, most: Count) -> Count:
    """How many tasks that need an amount each are within what is available, `most` at most.

    `need` is above 0. It may be so small that the quotient is infinite.
    """
    tasks = available / need + ROUNDING_TOLERANCE
    if tasks >= most:
        return most
    return max(0, int(tasks)) if tasks > 0 else 0


def tasks_that_fit(spec: "JobSpec", available: Amounts, unconstrained_count: int) -> int:
    """How many tasks of a job fit into an amount.

    Args:
        spec: The job.
        available: The amount.
        unconstrained_count: The largest result, also that for a job whose tasks require nothing.
    """
    count = unconstrained_count
    for amount, need in (
        (available.cpus, spec.cpus),
        (available.gpus, spec.gpus),
        (available.ram_gb, spec.ram_gb),
    ):
        if need > 0:
            count = whole_tasks(amount, need, count)
    return count
