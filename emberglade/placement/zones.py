"""Rules on the zones of a job's tasks: all in one zone, or at most half (rounded up) per zone."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.job_spec import JobSpec


class JobZones(NamedTuple):
    """The zones of a job's bound tasks.

    Attributes:
        counts: Bound tasks by zone.
        complete: Whether the zone of every bound task is known.
    """

    counts: dict[str, int]
    complete: bool


def has_zone_rule(spec: "JobSpec") -> bool:
    """Whether the zones of a job's tasks depend on each other."""
    return spec.single_zone or spec.zone_spread


def zone_allows(spec: "JobSpec", counts: dict[str, int], zone: str) -> bool:
    """Whether the job's rules allow one more task in a zone.

    Args:
        spec: The job.
        counts: The number of its tasks by zone.
        zone: The zone of the additional task.
    """
    if spec.single_zone and counts and zone not in counts:
        return False
    return not (spec.zone_spread and counts.get(zone, 0) >= (spec.tasks + 1) // 2)
