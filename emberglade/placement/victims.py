"""Selection of victims: which running tasks are preempted to free capacity for a pending one.

All functions receive the tasks that may be stopped as `Victims`: by machine, each machine's tasks
in the order in which they are to be stopped (`victim_order`).
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from . import preemption_rules
from .capacity import BoundTask, ClusterCapacity
from .placement_round import PlacementRound
from .resources import ROUNDING_TOLERANCE, Resources
from .zones import has_zone_rule, zone_allows

if TYPE_CHECKING:
    from ..config import Team
    from ..jobs.job import Job
    from ..jobs.job_spec import JobSpec

Victims = dict[str, list[BoundTask]]
# Whether a task was bound so recently that it would not count as started if it were stopped now.
IsRecentlyBound = Callable[[BoundTask], bool]


def victim_cost(spec: "JobSpec", recently_bound: bool) -> tuple[int, bool, bool]:
    """The cost of stopping a task, as a sort key: the cheapest task to stop comes first.

    Tasks of a lower priority are cheaper. Within a priority, tasks of jobs that save checkpoints
    are cheaper than others. Where that does not decide, tasks not bound recently are cheaper.
    """
    return -spec.priority, spec.checkpoint_interval_s <= 0, recently_bound


def victim_order(bound_task: BoundTask, recently_bound: bool) -> tuple[int, bool, bool, str, int]:
    """The sort key of possible victims, the first to be stopped first; extends `victim_cost`."""
    # `victim_cost` is inlined: this key is computed for every task that may be stopped.
    job, task, _ = bound_task
    spec = job.spec
    return -spec.priority, spec.checkpoint_interval_s <= 0, recently_bound, spec.id, task


def victims_for_quota(
    spec: "JobSpec",
    stoppable: Victims,
    capacity: ClusterCapacity,
    teams: dict[str, "Team"],
    is_recently_bound: IsRecentlyBound,
) -> list[BoundTask]:
    """Victims of a job's own team whose end brings one more task of the job within its quota.

    Returns:
        The victims, the first to be stopped first; none if all possible ones are not enough.
    """
    team = teams[spec.team]
    usage = capacity.usage_of(spec.team)
    excess_cpus = _excess(usage.cpus + spec.cpus, team.cpu_quota)
    excess_gpus = _excess(usage.gpus + spec.gpus, team.gpu_quota)
    team_tasks = [
        bound_task
        for bound_tasks in stoppable.values()
        for bound_task in bound_tasks
        if bound_task.job.spec.team == spec.team and bound_task.job.spec.priority > spec.priority
    ]
    team_tasks.sort(key=lambda bound_task: victim_order(bound_task, is_recently_bound(bound_task)))
    victims = []
    for bound_task in team_tasks:
        if max(excess_cpus, excess_gpus) <= ROUNDING_TOLERANCE:
            break
        victims.append(bound_task)
        excess_cpus -= bound_task.job.spec.cpus
        excess_gpus -= bound_task.job.spec.gpus
    return victims if max(excess_cpus, excess_gpus) <= ROUNDING_TOLERANCE else []


def _excess(amount: float, quota: float) -> float:
    """How far an amount exceeds a quota; a quota of 0 means no limit."""
    return max(0.0, amount - quota) if quota > 0 else 0.0


def has_fit(job: "Job", victims: list[BoundTask], placement_round: PlacementRound) -> bool:
    """Whether one task of a job fits on a machine once the victims have ended.

    Without this check, other tasks of the team are stopped for a task that fits no machine, are
    placed again, and stopped again (placement/preempts_only_what_fits.txt).
    """
    spec = job.spec
    capacity = placement_round.capacity
    zones = capacity.zones_of(job)
    if has_zone_rule(spec) and not zones.complete:
        return False
    freed = _freed_by(victims)
    for name in placement_round.usable:
        machine = capacity.machines[name]
        if not machine.is_allowed_for(spec) or not zone_allows(spec, zones.counts, machine.zone):
            continue
        free = capacity.free[name]
        freed_here = freed.get(name)
        if freed_here is not None:
            free = Resources(
                free.cpus + freed_here.cpus,
                free.gpus + freed_here.gpus,
                free.ram_gb + freed_here.ram_gb,
            )
        if free.fits(spec):
            return True
    return False


def _freed_by(victims: list[BoundTask]) -> dict[str, Resources]:
    """The resources that the end of these tasks frees, by machine."""
    freed: dict[str, Resources] = {}
    for bound_task in victims:
        freed.setdefault(bound_task.binding.machine, Resources(0.0, 0.0, 0.0)).release(
            bound_task.job.spec
        )
    return freed


def victims_for_capacity(
    job: "Job",
    stoppable: Victims,
    placement_round: PlacementRound,
    teams: dict[str, "Team"],
    is_recently_bound: IsRecentlyBound,
) -> list[BoundTask] | None:
    """The cheapest victims on one machine whose end frees capacity for one task, or None."""
    spec = job.spec
    capacity = placement_round.capacity
    zones = capacity.zones_of(job)
    if has_zone_rule(spec) and not zones.complete:
        return None
    search = _VictimSearch(job, capacity, teams)
    candidates = []
    for name, bound_tasks in stoppable.items():
        if name not in placement_round.usable:
            continue
        machine = capacity.machines[name]
        if not machine.is_allowed_for(spec) or not zone_allows(spec, zones.counts, machine.zone):
            continue
        victims = search.victims_on(name, bound_tasks)
        if victims:
            image_missing = spec.image_gb > 0 and not placement_round.images.has(name, spec.image)
            last = victims[-1]
            cost = victim_cost(last.job.spec, is_recently_bound(last))
            candidates.append(((image_missing, cost, len(victims), name), victims))
    # No two candidates compare as equal, since each contains its machine's name.
    return min(candidates)[1] if candidates else None


class _VictimSearch:
    """Searches machine by machine for victims for one task of a job."""

    def __init__(self, job: "Job", capacity: ClusterCapacity, teams: dict[str, "Team"]) -> None:
        self.job = job
        self.capacity = capacity
        self.teams = teams
        self._may_preempt: dict[str, bool] = {}  # by the id of the victims' job

    def victims_on(self, name: str, bound_tasks: list[BoundTask]) -> list[BoundTask]:
        """The first of a machine's stoppable tasks whose end together frees enough capacity.

        Empty if all of them would not suffice, or if enough capacity is free already.
        """
        spec = self.job.spec
        free = self.capacity.free[name]
        victims: list[BoundTask] = []
        for bound_task in bound_tasks:
            if free.fits(spec):
                break
            if not self._is_allowed(bound_task.job):
                continue
            if not victims:
                free = free.copy()
            victims.append(bound_task)
            free.release(bound_task.job.spec)
        return victims if victims and free.fits(spec) else []

    def _is_allowed(self, victim: "Job") -> bool:
        allowed = self._may_preempt.get(victim.id)
        if allowed is None:
            allowed = victim is not self.job and preemption_rules.may_preempt(
                self.job.spec, victim.spec, self.capacity, self.teams
            )
            self._may_preempt[victim.id] = allowed
        return allowed
