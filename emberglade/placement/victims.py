"""Choice of victims: which running tasks are preempted so that a pressing one finds room.

All functions are given what may be stopped, as `Victims`: by machine, each machine's tasks in the
order in which they are to go (`victim_order`).
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
# Whether a task was bound so lately that its start does not count once it is stopped.
IsFresh = Callable[[BoundTask], bool]


def victim_cost(spec: "JobSpec", fresh: bool) -> tuple[int, bool, bool]:
    """The key of what stopping a task costs, the least first.

    The lowest priority first, then work that saves checkpoints, then what is no fresh start.
    """
    return -spec.priority, spec.checkpoint_interval_s <= 0, fresh


def victim_order(row: BoundTask, fresh: bool) -> tuple[int, bool, bool, str, int]:
    """The key by which possible victims are ordered, the first to go first: by `victim_cost`."""
    # That key in place: it is asked for every task that may be stopped.
    job, task, _ = row
    spec = job.spec
    return -spec.priority, spec.checkpoint_interval_s <= 0, fresh, spec.id, task


def victims_for_quota(
    spec: "JobSpec",
    stoppable: Victims,
    capacity: ClusterCapacity,
    teams: dict[str, "Team"],
    is_fresh: IsFresh,
) -> list[BoundTask]:
    """Victims of the same team whose end brings one task of a job within the team's quota.

    Returns:
        The victims, the first to go first; all that there are if they are not enough.
    """
    team = teams[spec.team]
    usage = capacity.usage_of(spec.team)
    excess_cpus = _excess(usage.cpus + spec.cpus, team.cpu_quota)
    excess_gpus = _excess(usage.gpus + spec.gpus, team.gpu_quota)
    of_team = [
        row
        for rows in stoppable.values()
        for row in rows
        if row.job.spec.team == spec.team and row.job.spec.priority > spec.priority
    ]
    of_team.sort(key=lambda row: victim_order(row, is_fresh(row)))
    victims = []
    for row in of_team:
        if excess_cpus <= ROUNDING_TOLERANCE and excess_gpus <= ROUNDING_TOLERANCE:
            break
        victims.append(row)
        excess_cpus -= row.job.spec.cpus
        excess_gpus -= row.job.spec.gpus
    return victims


def _excess(amount: float, quota: float) -> float:
    """How far an amount is above a quota; a quota of 0 is none."""
    return max(0.0, amount - quota) if quota > 0 else 0.0


def has_fit(job: "Job", victims: list[BoundTask], placement_round: PlacementRound) -> bool:
    """Whether a machine has room for one task of a job once the victims are gone.

    Once broken: others of the team were stopped for a task that no machine could take, were placed
    again, and stopped again (placement/preempts_only_what_fits.txt).
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
        more = freed.get(name)
        if more is not None:
            free = Resources(
                free.cpus + more.cpus, free.gpus + more.gpus, free.ram_gb + more.ram_gb
            )
        if free.fits(spec):
            return True
    return False


def _freed_by(victims: list[BoundTask]) -> dict[str, Resources]:
    """What the end of these tasks frees, by machine."""
    freed: dict[str, Resources] = {}
    for row in victims:
        freed.setdefault(row.binding.machine, Resources(0.0, 0.0, 0.0)).give_back(row.job.spec)
    return freed


def victims_for_capacity(
    job: "Job",
    stoppable: Victims,
    placement_round: PlacementRound,
    teams: dict[str, "Team"],
    is_fresh: IsFresh,
) -> list[BoundTask] | None:
    """The cheapest victims on one machine whose end makes room for one task of a job, or None."""
    spec = job.spec
    capacity = placement_round.capacity
    zones = capacity.zones_of(job)
    if has_zone_rule(spec) and not zones.complete:
        return None
    search = _VictimSearch(job, capacity, teams)
    candidates = []
    for name, rows in stoppable.items():
        if name not in placement_round.usable:
            continue
        machine = capacity.machines[name]
        if not machine.is_allowed_for(spec) or not zone_allows(spec, zones.counts, machine.zone):
            continue
        victims = search.victims_on(name, rows)
        if victims:
            image_missing = spec.image_gb > 0 and not placement_round.images.has(name, spec.image)
            last = victims[-1]
            cost = victim_cost(last.job.spec, is_fresh(last))
            candidates.append(((image_missing, cost, len(victims), name), victims))
    # No two costs are alike, since each holds the name of its machine.
    return min(candidates)[1] if candidates else None


class _VictimSearch:
    """Looks for victims on one machine after the other, for one task of a job."""

    def __init__(self, job: "Job", capacity: ClusterCapacity, teams: dict[str, "Team"]) -> None:
        self.job = job
        self.capacity = capacity
        self.teams = teams
        self._may_preempt: dict[str, bool] = {}  # by the id of the victims' job

    def victims_on(self, name: str, rows: list[BoundTask]) -> list[BoundTask]:
        """The first of a machine's tasks whose end makes room; empty if nothing does."""
        spec = self.job.spec
        free = self.capacity.free[name]
        victims: list[BoundTask] = []
        for row in rows:
            if free.fits(spec):
                break
            if not self._is_allowed(row.job):
                continue
            if not victims:
                free = free.copy()
            victims.append(row)
            free.give_back(row.job.spec)
        return victims if victims and free.fits(spec) else []

    def _is_allowed(self, victim: "Job") -> bool:
        allowed = self._may_preempt.get(victim.id)
        if allowed is None:
            allowed = victim is not self.job and preemption_rules.may_preempt(
                self.job.spec, victim.spec, self.capacity, self.teams
            )
            self._may_preempt[victim.id] = allowed
        return allowed
