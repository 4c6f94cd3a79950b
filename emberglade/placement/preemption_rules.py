"""Guarantees, and which tasks may be preempted for which, under PROTOCOL's rules.

A task may be stopped for a task of a higher priority, which is a lower number. Whatever its
priority, a task of a team that exceeds its guarantee may also be stopped for a task of another team
that stays within its own guarantee. No other task is stopped to free capacity.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .capacity import ClusterCapacity
from .resources import ROUNDING_TOLERANCE, TeamUsage

if TYPE_CHECKING:
    from ..config import Team
    from ..jobs.job import Job
    from ..jobs.job_spec import JobSpec


def guaranteed_jobs(jobs: "Iterable[Job]", teams: dict[str, "Team"]) -> set[str]:
    """The ids of the jobs that, with all earlier jobs of their team, fit into its guarantee."""
    usages: dict[str, TeamUsage] = {}
    guaranteed = set()
    for job in sorted(jobs, key=lambda job: (job.spec.submitted_at, job.id)):
        spec = job.spec
        team = teams.get(spec.team)
        if team is None or not team.has_guarantee:
            continue
        usage = usages.setdefault(spec.team, TeamUsage())
        usage.add(spec, spec.tasks - job.done_count())
        if usage.cpus <= team.guaranteed_cpus + ROUNDING_TOLERANCE and (
            usage.gpus <= team.guaranteed_gpus + ROUNDING_TOLERANCE or not spec.gpus
        ):
            guaranteed.add(job.id)
    return guaranteed


def may_preempt(
    spec: "JobSpec", victim: "JobSpec", capacity: ClusterCapacity, teams: dict[str, "Team"]
) -> bool:
    """Whether PROTOCOL allows stopping a task of `victim` to free capacity for one of `spec`."""
    if victim.priority > spec.priority:
        return True
    team = teams.get(spec.team)
    victim_team = teams.get(victim.team)
    if team is None or victim_team is None or spec.team == victim.team:
        return False
    return (
        team.guaranteed_cpus > 0
        and _stays_within_guarantee(spec, team, capacity)
        and _is_beyond_guarantee(victim, victim_team, capacity)
    )


def _stays_within_guarantee(spec: "JobSpec", team: "Team", capacity: ClusterCapacity) -> bool:
    """Whether one more task of a job is within its team's guarantee."""
    usage = capacity.usage_of(spec.team)
    return (
        usage.cpus + spec.cpus <= team.guaranteed_cpus + ROUNDING_TOLERANCE
        and usage.gpus + spec.gpus <= team.guaranteed_gpus + ROUNDING_TOLERANCE
    )


def _is_beyond_guarantee(victim: "JobSpec", team: "Team", capacity: ClusterCapacity) -> bool:
    """Whether a team exceeds its guarantee by at least one task of the job `victim`.

    Without that task, it would still use all of its guaranteed processors, or more than its
    guaranteed GPUs.
    """
    usage = capacity.usage_of(victim.team)
    return (
        usage.cpus - victim.cpus >= team.guaranteed_cpus - ROUNDING_TOLERANCE
        or usage.gpus - victim.gpus > team.guaranteed_gpus + ROUNDING_TOLERANCE
    )


PreemptionClass = tuple[int, str, float, float]


def preemption_class(spec: "JobSpec") -> PreemptionClass:
    """The fields of a job that `may_preempt` reads: it treats jobs with equal classes alike."""
    return spec.priority, spec.team, spec.cpus, spec.gpus


class PreemptionRules:
    """Caches the results of `may_preempt` within one round, by the preemption classes of both jobs.

    The results are valid as long as the usage of the teams in `capacity` does not change.
    """

    def __init__(self, capacity: ClusterCapacity, teams: dict[str, "Team"]) -> None:
        self.capacity = capacity
        self.teams = teams
        self._answers: dict[tuple[PreemptionClass, PreemptionClass], bool] = {}

    def may_preempt(self, spec: "JobSpec", victim: "JobSpec") -> bool:
        """Whether a task of `victim` may be stopped to free capacity for one of `spec`."""
        key = preemption_class(spec), preemption_class(victim)
        answer = self._answers.get(key)
        if answer is None:
            answer = may_preempt(spec, victim, self.capacity, self.teams)
            self._answers[key] = answer
        return answer
