"""Room kept free for classes that must start sooner than a machine boots.

Cackle hands such work to its elastic pool; without one, the work of a boot time is expected ahead.
"""


import math


def headroom(jobs, objectives, types, wall):
    """[(a job, tasks like it expected within a boot time)], by image, for classes with a `wait` aim.

    By image, since room on a machine that would have to fetch the image first is no help.
    """
    boot_s = max((t.boot_s for t in types.values()), default=0.0)
    urgent = {o.breed for o in objectives if o.kind == "wait" and o.within_s is not None and o.within_s < boot_s}
    window = 4 * boot_s
    found = {}
    for job in jobs:
        spec = job.spec
        if spec.breed not in urgent:
            continue
        key = (spec.breed, spec.image)
        latest, arrived, tasks = found.get(key, (job, 0, 0))
        if spec.submitted > wall - window:
            arrived, tasks = arrived + 1, tasks + spec.tasks
        found[key] = (max(latest, job, key=lambda j: (j.spec.submitted, j.id)), arrived, tasks)
    rows = []
    for job, arrived, tasks in found.values():
        if arrived:
            # Arrivals of one boot time, and their spread: they come one by one, not evenly.
            expected = arrived * boot_s / window
            rows.append((job, tasks / arrived * (expected + math.sqrt(expected))))
    return rows
