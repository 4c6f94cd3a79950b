"""Capacity reserved for job classes whose tasks must start sooner than a machine boots.

In the Cackle paper, such tasks run in an elastic pool. This service has no such pool, so the tasks
expected within a boot time are counted as demand in advance.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from .machines import MachineType

if TYPE_CHECKING:
    from ..config import ServiceLevelObjective
    from ..jobs.job import Job

WINDOW_BOOT_TIMES = 4  # the rate of arrivals is measured over this many boot times


class ExpectedTasks(NamedTuple):
    """Tasks that are expected within a boot time.

    Attributes:
        job: A job with tasks of the same kind.
        tasks: How many, not rounded.
    """

    job: "Job"
    tasks: float


def capacity_buffer(
    jobs: "Iterable[Job]",
    objectives: "tuple[ServiceLevelObjective, ...]",
    machine_types: dict[str, MachineType],
    wall_time: float,
) -> list[ExpectedTasks]:
    """The tasks expected within a boot time, for classes with a shorter `wait` objective.

    Tasks are counted by image, since free capacity on a machine that would have to fetch the image
    first does not help.

    Args:
        jobs: All live jobs; those submitted recently give the expected rate.
        objectives: All objectives.
        machine_types: The catalog, by name; the longest boot time of all its types is used.
        wall_time: The wall-clock time, in seconds since 1970.

    Returns:
        One entry for each class and image with recently submitted tasks.
    """
    boot_s = max((machine_type.boot_s for machine_type in machine_types.values()), default=0.0)
    urgent_classes = _urgent_classes(objectives, boot_s)
    window_s = WINDOW_BOOT_TIMES * boot_s
    arrivals = _arrivals(jobs, urgent_classes, since=wall_time - window_s)
    return [ExpectedTasks(job, tasks * boot_s / window_s) for job, tasks in arrivals if tasks]


def _urgent_classes(objectives: "tuple[ServiceLevelObjective, ...]", boot_s: float) -> set[str]:
    """The classes whose tasks must start sooner than a machine boots."""
    return {
        objective.job_class
        for objective in objectives
        if objective.kind == "wait"
        and objective.within_s is not None
        and objective.within_s < boot_s
    }


def _arrivals(
    jobs: "Iterable[Job]", classes: set[str], since: float
) -> "Iterable[tuple[Job, int]]":
    """By class and image: the latest job, and how many tasks were submitted after `since`."""
    arrivals: dict[tuple[str, str], tuple[Job, int]] = {}
    for job in jobs:
        spec = job.spec
        if spec.job_class not in classes:
            continue
        key = (spec.job_class, spec.image)
        latest, tasks = arrivals.get(key, (job, 0))
        if spec.submitted_at > since:
            tasks += spec.tasks
        arrivals[key] = (max(latest, job, key=_submission_order), tasks)
    return arrivals.values()


def _submission_order(job: "Job") -> tuple[float, str]:
    return job.spec.submitted_at, job.id
