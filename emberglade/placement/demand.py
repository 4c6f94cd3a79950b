"""The capacity that running and waiting tasks request, in whole machines per pool.

A pool is a machine type and whether its jobs may use spot machines: the design counts per type,
and spot machines can't serve everyone.
"""

from .machine_types import SLACK


def demand(jobs, spare, machine_types, teams):
    """{(type, spot): fraction of machines, not rounded, so that nodes' parts can be summed}."""
    counts: dict[tuple, float] = {}
    used: dict[str, list[float]] = {}
    rows = [
        (job.spec, job.spec.tasks - job.done_count())
        for job in sorted(jobs, key=lambda job: (job.spec.priority, job.spec.submitted_at))
    ]
    rows += [(job.spec, tasks) for job, tasks in spare]
    for spec, tasks in rows:
        team = teams.get(spec.team)
        if team is not None:
            # What a team's limit keeps from running asks for no machines.
            for limit, need, slot in (
                (team.cpu_quota, spec.cpus, 0),
                (team.gpu_quota, spec.gpus, 1),
            ):
                if limit > 0 and need > 0:
                    taken = used.setdefault(spec.team, [0.0, 0.0])
                    tasks = max(0, min(tasks, int((limit - taken[slot]) / need + 1e-9)))
            taken = used.setdefault(spec.team, [0.0, 0.0])
            taken[0] += tasks * spec.cpus
            taken[1] += tasks * spec.gpus
        fitting = [t for t in machine_types.values() if t.allows(spec)]
        if not fitting or not tasks:
            continue
        chosen = min(
            fitting,
            key=lambda t: ((t.spot_price if spec.spot else t.price) / t.holds(spec), t.name),
        )
        share = max(
            spec.cpus / chosen.cpus if chosen.cpus else 0,
            spec.ram_gb / chosen.ram_gb if chosen.ram_gb else 0,
            spec.gpus / chosen.gpus if chosen.gpus else 0,
        )
        key = (chosen.name, spec.spot)
        counts[key] = counts.get(key, 0.0) + tasks * share
    return counts


def zone_shortage(jobs, capacity, usable, machine_types):
    """{(type, spot, zone): machines} for tasks that can run in one zone only and find no room
    there.

    The counts above don't say where: with idle machines elsewhere no more would be rented, ever.
    """
    counts: dict[tuple, float] = {}
    for job in jobs:
        spec, zone = job.spec, job.spec.zone
        waiting = min(job.pending_count(), capacity.tasks_within_quota(spec))
        if zone is None and spec.single_zone and waiting:
            zone = next(iter(capacity.zones_of(job)[0]), None)
        if zone is None or not waiting:
            continue
        for name in usable:
            machine = capacity.machines[name]
            if (
                machine.zone == zone
                and (spec.spot or not machine.spot)
                and (spec.allowed_types is None or machine.type.name in spec.allowed_types)
            ):
                free = capacity.free[name]
                waiting -= int(
                    min(
                        (
                            have / need
                            for have, need in zip(
                                free, (spec.cpus, spec.gpus, spec.ram_gb), strict=True
                            )
                            if need > 0
                        ),
                        default=waiting,
                    )
                    + SLACK
                )
                if waiting <= 0:
                    break
        fitting = [t for t in machine_types.values() if t.allows(spec) and zone in t.zones]
        if waiting > 0 and fitting:
            chosen = min(
                fitting,
                key=lambda t: ((t.spot_price if spec.spot else t.price) / t.holds(spec), t.name),
            )
            key = chosen.name, spec.spot, zone
            counts[key] = counts.get(key, 0.0) + waiting / chosen.holds(spec)
    return counts
