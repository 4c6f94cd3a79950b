"""Which running tasks to stop so that a pressing one finds room, under PROTOCOL's rules.

Work of a lower rank may be stopped for work of a higher; work of a team beyond its guarantee, of
any rank, for a team within its own. Nothing else is ever stopped to make room.

A row is (job, task, bound); `rows` are {machine: [row, ...]}, each machine's in the order in which
they go.
"""

from .machine_types import SLACK


def guaranteed(jobs, teams):
    """The jobs that fit into their team's guarantee together with the team's earlier ones."""
    used: dict[str, list[float]] = {}
    found = set()
    for job in sorted(jobs, key=lambda job: (job.spec.submitted_at, job.id)):
        spec = job.spec
        team = teams.get(spec.team)
        if team is None or not (team.guaranteed_cpus or team.guaranteed_gpus):
            continue
        left = spec.tasks - job.done_count()
        use = used.setdefault(spec.team, [0.0, 0.0])
        use[0] += left * spec.cpus
        use[1] += left * spec.gpus
        if use[0] <= team.guaranteed_cpus + SLACK and (
            use[1] <= team.guaranteed_gpus + SLACK or not spec.gpus
        ):
            found.add(job.id)
    return found


def cost(spec, fresh):
    """Order of victims: the lowest rank first, work that saves itself first, fresh starts last."""
    return -spec.priority, spec.checkpoint_interval_s <= 0, fresh


def turn_to_go(row, fresh):
    """The key by which possible victims are ordered."""
    return cost(row[0].spec, fresh), row[0].id, row[1]


def may_stop(spec, victim, capacity, teams):
    """Whether PROTOCOL allows stopping a task of `victim` to make room for one of `spec`."""
    if victim.priority > spec.priority:
        return True
    mine, theirs = teams.get(spec.team), teams.get(victim.team)
    if mine is None or theirs is None or spec.team == victim.team or not mine.guaranteed_cpus:
        return False
    used, over = (
        capacity.team_use.get(spec.team, (0.0, 0.0)),
        capacity.team_use.get(victim.team, (0.0, 0.0)),
    )
    within = (
        used[0] + spec.cpus <= mine.guaranteed_cpus + SLACK
        and used[1] + spec.gpus <= mine.guaranteed_gpus + SLACK
    )
    return within and (
        over[0] - victim.cpus >= theirs.guaranteed_cpus - SLACK
        or over[1] - victim.gpus > theirs.guaranteed_gpus + SLACK
    )


def stop_class(spec):
    """All of a job that `may_stop` looks at: jobs of one class are alike to it."""
    return spec.priority, spec.team, spec.cpus, spec.gpus


class StopRules:
    """The answers of `may_stop` within one round, each worked out once for two classes of jobs.

    They hold as long as no task is bound or unbound.
    """

    def __init__(self, capacity, teams):
        self.capacity, self.teams = capacity, teams
        self.known = {}

    def may_stop(self, spec, victim):
        """Whether a task of `victim` may be stopped to make room for one of `spec`."""
        key = stop_class(spec), stop_class(victim)
        allowed = self.known.get(key)
        if allowed is None:
            allowed = self.known[key] = may_stop(spec, victim, self.capacity, self.teams)
        return allowed


def victims_for_quota(spec, rows, capacity, teams, fresh):
    """Victims of the same team whose end brings one task of `spec` within its limit."""
    team = teams[spec.team]
    use = capacity.team_use.get(spec.team, (0.0, 0.0))
    need = [
        max(0.0, use[slot] + amount - limit) if limit > 0 else 0.0
        for slot, amount, limit in ((0, spec.cpus, team.cpu_quota), (1, spec.gpus, team.gpu_quota))
    ]
    own = sorted(
        (
            row
            for there in rows.values()
            for row in there
            if row[0].spec.team == spec.team and row[0].spec.priority > spec.priority
        ),
        key=lambda row: turn_to_go(row, fresh(row)),
    )
    victims = []
    for row in own:
        if need[0] <= SLACK and need[1] <= SLACK:
            break
        victims.append(row)
        need[0] -= row[0].spec.cpus
        need[1] -= row[0].spec.gpus
    return victims


def has_fit(job, victims, placement_round):
    """Whether a machine has room for one task once the victims are gone.

    Once broken: others of the team were stopped for a task that no machine could take, were placed
    again, and stopped again (placement/preempts_only_what_fits.txt).
    """
    spec, capacity = job.spec, placement_round.capacity
    zones, known = capacity.zones_of(job)
    if not known and (spec.single_zone or spec.zone_spread):
        return False
    freed: dict[str, list[float]] = {}
    for other, _, binding in victims:
        free = freed.setdefault(binding.machine, [0.0, 0.0, 0.0])
        for slot, amount in enumerate((other.spec.cpus, other.spec.gpus, other.spec.ram_gb)):
            free[slot] += amount
    return any(
        capacity.fits(
            spec,
            [
                have + more
                for have, more in zip(
                    capacity.free[name], freed.get(name, (0.0, 0.0, 0.0)), strict=True
                )
            ],
        )
        and placement_round.allowed(spec, name)
        and in_zone(spec, zones, capacity.machines[name].zone)
        for name in placement_round.usable
    )


def in_zone(spec, zones, zone):
    """Whether one more task may be in this zone, given how many are in which."""
    return not (
        (spec.single_zone and zones and zone not in zones)
        or (spec.zone_spread and zones.get(zone, 0) >= (spec.tasks + 1) // 2)
    )


def victims_for_capacity(job, rows, placement_round, teams, fresh):
    """The cheapest victims on one machine whose end makes room for one task, or None."""
    spec, capacity = job.spec, placement_round.capacity
    zones, known = capacity.zones_of(job)
    if not known and (spec.single_zone or spec.zone_spread):
        return None
    best = None
    stoppable: dict = {}
    for name, there in rows.items():
        if name not in placement_round.usable or not placement_round.allowed(spec, name):
            continue
        if not in_zone(spec, zones, capacity.machines[name].zone):
            continue
        free, victims = list(capacity.free[name]), []
        for row in there:
            if capacity.fits(spec, free):
                break
            victim = row[0]
            allowed = stoppable.get(victim.id)
            if allowed is None:
                allowed = stoppable[victim.id] = victim is not job and may_stop(
                    spec, victim.spec, capacity, teams
                )
            if not allowed:
                continue
            victims.append(row)
            free[0] += victim.spec.cpus
            free[1] += victim.spec.gpus
            free[2] += victim.spec.ram_gb
        if not victims or not capacity.fits(spec, free):
            continue
        score = (
            spec.image_gb > 0 and not placement_round.images.has(name, spec.image),
            cost(victims[-1][0].spec, fresh(victims[-1])),
            len(victims),
            name,
        )
        if best is None or score < best[0]:
            best = (score, name, victims)
    return best[2] if best else None
