"""Which running tasks to stop so that a pressing one finds room, under PROTOCOL's rules.

Work of a lower rank may be stopped for work of a higher; work of a team beyond its guarantee, of
any rank, for a team within its own. Nothing else is ever stopped to make room.
"""

from .types import SLACK


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


def for_limit(spec, count, bound, room, teams, fresh):
    """Victims of the same team whose end brings `count` tasks of `spec` within its limit."""
    team = teams[spec.team]
    use = room.team_use.get(spec.team, (0.0, 0.0))
    need = [max(0.0, use[slot] + count * amount - limit) if limit > 0 else 0.0
            for slot, amount, limit in ((0, spec.cpus, team.cpus_max), (1, spec.gpus, team.gpus_max))]
    rows = sorted((row for row in bound if row[0].spec.team == spec.team and row[0].spec.rank > spec.rank),
                  key=lambda row: (cost(row[0].spec, fresh(row)), row[0].id, row[1]))
    victims = []
    for row in rows:
        if need[0] <= SLACK and need[1] <= SLACK:
            break
        victims.append(row)
        need[0] -= row[0].spec.cpus
        need[1] -= row[0].spec.gpus
    return victims


def for_room(job, bound, room, teams, fresh):
    """The cheapest victims on one machine whose end makes room for one task, or None."""
    spec = job.spec
    by_machine = {}
    for row in bound:
        if row[2].machine in room.free and may_stop(spec, row[0].spec, room, teams):
            by_machine.setdefault(row[2].machine, []).append(row)
    best = None
    for name, rows in by_machine.items():
        if not room.allowed(job, name):
            continue
        rows.sort(key=lambda row: (cost(row[0].spec, fresh(row)), row[0].id, row[1]))
        free, victims = list(room.free[name]), []
        for row in rows:
            if room.fits(spec, free):
                break
            victims.append(row)
            free[0] += row[0].spec.cpus
            free[1] += row[0].spec.gpus
            free[2] += row[0].spec.ram
        if not room.fits(spec, free):
            continue
        score = (spec.image_gb > 0 and not room.images.has(name, spec.image), max(cost(r[0].spec, fresh(r)) for r in victims)
                 if victims else (), len(victims), name)
        if best is None or score < best[0]:
            best = (score, name, victims)
    return best[1:] if best else None
