"""Rules on zones between a job's tasks: all in one zone, or at most half of them in any."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..jobs.job_spec import JobSpec


class JobZones(NamedTuple):
    """Where a job's bound tasks are.

    Attributes:
        counts: Bound tasks by zone.
        complete: Whether the zone of every bound task is known.
    """

    counts: dict[str, int]
    complete: bool


def has_zone_rule(spec: "JobSpec") -> bool:
    """Whether it matters for a job in which zones its other tasks are."""
    return spec.single_zone or spec.zone_spread


def zone_allows(spec: "JobSpec", counts: dict[str, int], zone: str) -> bool:
    """Whether one more task of a job may be in a zone.

    Args:
        spec: The job.
        counts: How many of its tasks are in which zone.
        zone: The zone asked about.
    """
    if spec.single_zone and counts and zone not in counts:
        return False
    return not (spec.zone_spread and counts.get(zone, 0) >= (spec.tasks + 1) // 2)
