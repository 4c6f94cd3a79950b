"""The description of a job, as requested by its user."""

from dataclasses import dataclass

PRIORITIES = ("critical", "urgent", "normal", "idle")  # JobSpec.priority is an index


@dataclass(frozen=True)
class JobSpec:
    """The description of a job. Resources are per task.

    Attributes:
        service: Whether its tasks are replicas of a service, which run until the job is cancelled.
        priority: Index into PRIORITIES; 0 is the most urgent.
        allowed_types: The machine types that may run it; None: all types.
        zone: The zone that it must run in; None: any zone.
        single_zone: Whether all its tasks must run in the same zone.
        zone_spread: Whether no zone may run more than half of its tasks.
        spot: Whether it may run on spot machines.
        deadline_s: Seconds from `submitted_at` within which it should be done; None: no deadline.
        submitted_at: Wall-clock time, in seconds since 1970.
        gang: Whether its tasks may only run all at once.
    """

    id: str
    job_class: str
    team: str
    service: bool
    priority: int
    tasks: int
    cpus: float
    gpus: float
    ram_gb: float
    image: str
    image_gb: float
    allowed_types: tuple[str, ...] | None
    zone: str | None
    single_zone: bool
    zone_spread: bool
    spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline_s: float | None
    submitted_at: float
    gang: bool = False
