"""A waiting job: one that is not released until its dependencies are done.

Waiting jobs are stored under keys of their own, so that the code for live jobs does not see them:
they use none of their team's quota or guarantee and create no demand for machines. A list of
dependencies that is too long for one value is stored in segments. The segments are written before
the job's own key, the first segment last.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .job_spec import JobSpec
from .urgency import Urgency

JOB_ID_OVERHEAD_BYTES = 4  # quotes, comma and brackets around an id in a list


@dataclass(frozen=True)
class WaitingJobRecord:
    """The record of a waiting job: its dependencies, or the number of segments that hold them."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()
    list_id: str = ""
    segments: int = 0


@dataclass
class WaitingJob:
    """An accepted job that waits for its dependencies.

    Attributes:
        spec: The job's description.
        dependencies: The ids of the jobs that it depends on.
        mod_revision: The mod revision of the job's key.
        list_id: The id of its segmented list of dependencies; empty if it has none.
        open_dependencies: Its dependencies that are not known to be done. Once known, it stays so,
            even if the outcome is forgotten and read again.
        cancelled: Whether it is cancelled because a dependency was cancelled.
    """

    spec: JobSpec
    dependencies: tuple[str, ...]
    mod_revision: int
    list_id: str = ""
    open_dependencies: set[str] = field(default_factory=set)
    cancelled: bool = False

    def own_urgency(self) -> Urgency:
        """The job's urgency without what it inherits from its dependents."""
        if self.spec.deadline_s is None:
            return Urgency(self.spec.priority, float("inf"))
        return Urgency(self.spec.priority, self.spec.submitted_at + self.spec.deadline_s)


def split_ids(ids: Iterable[str], limit_bytes: int) -> list[list[str]]:
    """Splits job ids into lists that take at most `limit_bytes` each when encoded."""
    segments: list[list[str]] = []
    free = 0
    for job_id in ids:
        size = len(job_id) + JOB_ID_OVERHEAD_BYTES
        if not segments or size > free:
            segments.append([])
            free = limit_bytes
        segments[-1].append(job_id)
        free -= size
    return segments


def released_spec(spec: JobSpec, now: float) -> JobSpec:
    """The description of a waiting job that is released at `now` (wall-clock time).

    It counts as submitted at `now`; its due time does not change.
    """
    if spec.deadline_s is None:
        return replace(spec, submitted_at=round(now, 3))
    left = spec.submitted_at + spec.deadline_s - now
    return replace(spec, submitted_at=round(now, 3), deadline_s=round(max(0.0, left), 3))
