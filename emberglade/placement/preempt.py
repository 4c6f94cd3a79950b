"""Which running tasks to stop so that a pressing one finds room, under PROTOCOL's rules.

Work of a lower rank may be stopped for work of a higher; work of a team beyond its guarantee, of
any rank, for a team within its own. Nothing else is ever stopped to make room.

A row is (job, task, bound).
"""

from .types import SLACK


def guaranteed(jobs, teams):
    """The jobs that fit into their team's guarantee together with the team's earlier ones."""
    used, found = {}, set()
    for job in sorted(jobs, key=lambda job: (job.spec.submitted, job.id)):
        spec = job.spec
        team = teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            continue
        left = spec.tasks - job.done_count()
        use = used.setdefault(spec.team, [0.0, 0.0])
        use[0] += left * spec.cpus
        use[1] += left * spec.gpus
        if use[0] <= team.cpus + SLACK and (use[1] <= team.gpus + SLACK or not spec.gpus):
            found.add(job.id)
    return found


def cost(spec, fresh):
    """Order of victims: the lowest rank first, work that saves itself first, fresh starts last."""
    return -spec.rank, spec.checkpoint_s <= 0, fresh


def may_stop(spec, victim, room, teams):
    if victim.rank > spec.rank:
        return True
    mine, theirs = teams.get(spec.team), teams.get(victim.team)
    if mine is None or theirs is None or spec.team == victim.team or not mine.cpus:
        return False
    used, over = room.team_use.get(spec.team, (0.0, 0.0)), room.team_use.get(victim.team, (0.0, 0.0))
    within = used[0] + spec.cpus <= mine.cpus + SLACK and used[1] + spec.gpus <= mine.gpus + SLACK
    return within and (over[0] - victim.cpus >= theirs.cpus - SLACK or over[1] - victim.gpus > theirs.gpus + SLACK)


def for_limit(spec, rows, room, teams, fresh):
    """Victims of the same team whose end brings one task of `spec` within its limit."""
    team = teams[spec.team]
    use = room.team_use.get(spec.team, (0.0, 0.0))
    need = [max(0.0, use[slot] + amount - limit) if limit > 0 else 0.0
            for slot, amount, limit in ((0, spec.cpus, team.cpus_max), (1, spec.gpus, team.gpus_max))]
    rows = sorted((row for row in rows if row[0].spec.team == spec.team and row[0].spec.rank > spec.rank),
                  key=lambda row: (cost(row[0].spec, fresh(row)), row[0].id, row[1]))
    victims = []
    for row in rows:
        if need[0] <= SLACK and need[1] <= SLACK:
            break
        victims.append(row)
        need[0] -= row[0].spec.cpus
        need[1] -= row[0].spec.gpus
    return victims


def for_room(job, rows, turn, teams, fresh):
    """The cheapest victims on one machine whose end makes room for one task, or None."""
    spec, room = job.spec, turn.room
    zones, known = room.zones_of(job)
    if not known and (spec.one_zone or spec.scatter):
        return None
    by_machine = {}
    for row in rows:
        if row[2].machine in turn.usable and may_stop(spec, row[0].spec, room, teams):
            by_machine.setdefault(row[2].machine, []).append(row)
    best = None
    for name, there in by_machine.items():
        zone = room.machines[name].zone
        if (not turn.allowed(spec, name) or (spec.one_zone and zones and zone not in zones)
                or (spec.scatter and zones.get(zone, 0) >= (spec.tasks + 1) // 2)):
            continue
        there.sort(key=lambda row: (cost(row[0].spec, fresh(row)), row[0].id, row[1]))
        free, victims = list(room.free[name]), []
        for row in there:
            if room.fits(spec, free):
                break
            victims.append(row)
            free[0] += row[0].spec.cpus
            free[1] += row[0].spec.gpus
            free[2] += row[0].spec.ram
        if not room.fits(spec, free):
            continue
        score = (spec.image_gb > 0 and not turn.images.has(name, spec.image),
                 max(cost(r[0].spec, fresh(r)) for r in victims) if victims else (), len(victims), name)
        if best is None or score < best[0]:
            best = (score, name, victims)
    return best[2] if best else None
