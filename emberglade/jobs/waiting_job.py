"""A job that waits for others, until it is released.

It is kept apart from live jobs, so whatever reads live jobs knows nothing of it: it takes no part
of its team's quota or guarantee and asks for no machines. A list of dependencies that is too long
for one value is kept in segments of its own, which are written before the job's key, the first of
them last.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .job_spec import JobSpec
from .urgency import Urgency

JOB_ID_BYTES = 4  # quotes, comma and brackets around an id in a list


@dataclass(frozen=True)
class WaitingJobRecord:
    """What a waiting job's key holds: its dependencies, or in how many segments they are kept."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()
    list_id: str = ""
    segments: int = 0


@dataclass
class WaitingJob:
    """A job that was accepted and waits for others.

    Attributes:
        list_id: Of the segments that its dependencies are kept in, if they are.
        open_dependencies: How many of its dependencies are not known to be done.
        cancelled: With a job that it needs.
    """

    spec: JobSpec
    dependencies: tuple[str, ...]
    mod_revision: int
    list_id: str = ""
    open_dependencies: int = 0
    cancelled: bool = False

    def own_urgency(self) -> Urgency:
        """How urgent it is by itself."""
        if self.spec.deadline_s is None:
            return Urgency(self.spec.priority, float("inf"))
        return Urgency(self.spec.priority, self.spec.submitted_at + self.spec.deadline_s)


def split_ids(ids: Iterable[str], limit_bytes: int) -> list[list[str]]:
    """Lists of job ids, none of which takes more than `limit_bytes`."""
    segments: list[list[str]] = []
    free = 0
    for job_id in ids:
        size = len(job_id) + JOB_ID_BYTES
        if not segments or size > free:
            segments.append([])
            free = limit_bytes
        segments[-1].append(job_id)
        free -= size
    return segments


def released_spec(spec: JobSpec, now: float) -> JobSpec:
    """The description of a job that may run from now (time of day) on.

    Its times count from now; the time by which it is due stays what it was.
    """
    if spec.deadline_s is None:
        return replace(spec, submitted_at=round(now, 3))
    left = spec.submitted_at + spec.deadline_s - now
    return replace(spec, submitted_at=round(now, 3), deadline_s=round(max(0.0, left), 3))
