"""The description of a job: what its user asked for, in this project's own words."""

from dataclasses import dataclass

PRIORITIES = ("critical", "urgent", "normal", "idle")  # a JobSpec's priority is an index


@dataclass(frozen=True)
class JobSpec:
    """What the user asked for.

    Attributes:
        service: Its tasks are replicas that run until the job is cancelled.
        priority: Index into PRIORITIES; 0 is the most urgent.
        allowed_types: The machine types that may run it; None: all of them.
        zone: The zone that it must run in; None: any.
        single_zone: All its tasks must run in one zone, whichever that is.
        zone_spread: No zone may hold more than half of its tasks.
        spot: It may run on spot machines.
        deadline_s: Seconds from `submitted_at` within which it should be done, or None.
        submitted_at: Time of day, in seconds.
        gang: Its tasks run only all at once.
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
