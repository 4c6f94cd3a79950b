"""The capacity that unfinished and expected tasks require, in machines per pool.

Each machine type has two pools: one for jobs that may use spot machines of it, and one for jobs
that may not. Tasks beyond their team's quota are not counted.
"""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from .capacity import ClusterCapacity
from .capacity_buffer import ExpectedTasks
from .machines import MachineType, cheapest_type
from .resources import TeamUsage, tasks_that_fit

if TYPE_CHECKING:
    from ..config import Team
    from ..jobs.job import Job
    from ..jobs.job_spec import JobSpec


class Pool(NamedTuple):
    """A kind of machine for which demand is counted.

    Attributes:
        machine_type: Name of the machine type.
        spot: Whether the jobs may use spot machines.
    """

    machine_type: str
    spot: bool

    def __str__(self) -> str:
        return f"{self.machine_type} {'spot' if self.spot else 'ordinary'}"


class ZonePool(NamedTuple):
    """A pool in one zone.

    Attributes:
        machine_type: Name of the machine type.
        spot: Whether the jobs may use spot machines.
        zone: The zone.
    """

    machine_type: str
    spot: bool
    zone: str


def demand(
    jobs: "Iterable[Job]",
    expected: list[ExpectedTasks],
    machine_types: dict[str, MachineType],
    teams: dict[str, "Team"],
) -> dict[Pool, float]:
    """How many machines the jobs' unfinished tasks and the expected tasks require.

    Args:
        jobs: The jobs that are counted.
        expected: Tasks that are not submitted yet and are counted as well.
        machine_types: The catalog, by name.
        teams: The teams by name; tasks beyond their team's quota are not counted.

    Returns:
        Machines by pool, not rounded, so that the demands of several controllers can be summed.
    """
    machines: dict[Pool, float] = {}
    usages: dict[str, TeamUsage] = {}
    for spec, tasks in _requested_tasks(jobs, expected):
        team = teams.get(spec.team)
        if team is not None:
            usage = usages.setdefault(spec.team, TeamUsage())
            tasks = usage.tasks_within(spec, tasks, team.cpu_quota, team.gpu_quota)
            usage.add(spec, tasks)
        chosen = cheapest_type(spec, machine_types.values()) if tasks else None
        if chosen is not None:
            pool = Pool(chosen.name, spec.spot)
            machines[pool] = machines.get(pool, 0.0) + tasks * _share_of_machine(spec, chosen)
    return machines


def _requested_tasks(
    jobs: "Iterable[Job]", expected: list[ExpectedTasks]
) -> "Iterator[tuple[JobSpec, float]]":
    """Yields (specification, number of tasks) of unfinished tasks, then of expected tasks.

    The unfinished tasks are ordered by the priority and age of their jobs.
    """
    for job in sorted(jobs, key=lambda job: (job.spec.priority, job.spec.submitted_at)):
        yield job.spec, job.spec.tasks - job.done_count()
    for job, tasks in expected:
        yield job.spec, tasks


def _share_of_machine(spec: "JobSpec", machine_type: MachineType) -> float:
    """The largest share that one task of a job uses of a machine's processors, GPUs or memory."""
    return max(
        spec.cpus / machine_type.cpus if machine_type.cpus else 0,
        spec.ram_gb / machine_type.ram_gb if machine_type.ram_gb else 0,
        spec.gpus / machine_type.gpus if machine_type.gpus else 0,
    )


def zone_shortage(
    jobs: "Iterable[Job]",
    capacity: ClusterCapacity,
    usable: set[str],
    machine_types: dict[str, MachineType],
) -> dict[ZonePool, float]:
    """How many machines are missing for tasks that can run in one zone only.

    `demand` does not distinguish zones: without this count, the fleet would not be scaled out for
    these tasks as long as machines are idle in other zones.

    Args:
        jobs: The jobs that are counted.
        capacity: The free resources of the machines.
        usable: Names of the machines on which tasks may be placed.
        machine_types: The catalog, by name.

    Returns:
        Machines by pool and zone, not rounded.
    """
    machines: dict[ZonePool, float] = {}
    for job in jobs:
        spec = job.spec
        waiting = min(job.pending_count(), capacity.tasks_within_quota(spec))
        zone = _only_zone(job, capacity) if waiting else None
        if zone is None:
            continue
        missing = _tasks_without_capacity(spec, waiting, zone, capacity, usable)
        of_zone = [
            machine_type for machine_type in machine_types.values() if zone in machine_type.zones
        ]
        chosen = cheapest_type(spec, of_zone) if missing > 0 else None
        if chosen is not None:
            pool = ZonePool(chosen.name, spec.spot, zone)
            needed = missing / chosen.tasks_that_fit(spec)
            machines[pool] = machines.get(pool, 0.0) + needed
    return machines


def _only_zone(job: "Job", capacity: ClusterCapacity) -> str | None:
    """The zone that a job's pending tasks must run in, or None if no zone is fixed.

    The zone is named by the specification, or it is the zone where tasks of a `single_zone` job are
    already bound.
    """
    if job.spec.zone is None and job.spec.single_zone:
        return next(iter(capacity.zones_of(job).counts), None)
    return job.spec.zone


def _tasks_without_capacity(
    spec: "JobSpec", tasks: int, zone: str, capacity: ClusterCapacity, usable: set[str]
) -> int:
    """How many of a job's tasks do not fit on the usable machines of a zone.

    The result is zero or negative if all of them fit.
    """
    for name in usable:
        machine = capacity.machines[name]
        if machine.zone == zone and machine.is_allowed_for(spec):
            tasks -= tasks_that_fit(spec, capacity.free[name], unconstrained_count=tasks)
            if tasks <= 0:
                break
    return tasks
