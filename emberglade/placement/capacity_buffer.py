"""Room kept free for classes that must start sooner than a machine boots.

Cackle hands such work to its elastic pool; without one, the work of a boot time is expected ahead.
"""


def capacity_buffer(jobs, objectives, machine_types, wall):
    """[(a job, tasks like it expected within a boot time)], by image, for classes with a `wait`
    aim.

    By image, since room on a machine that would have to fetch the image first is no help.
    """
    boot_s = max((t.boot_s for t in machine_types.values()), default=0.0)
    urgent = {
        o.job_class
        for o in objectives
        if o.kind == "wait" and o.within_s is not None and o.within_s < boot_s
    }
    window = 4 * boot_s
    found: dict[tuple, tuple] = {}  # (class, image) -> (its latest job, tasks in the window)
    for job in jobs:
        spec = job.spec
        if spec.job_class not in urgent:
            continue
        key = (spec.job_class, spec.image)
        latest, tasks = found.get(key, (job, 0))
        if spec.submitted_at > wall - window:
            tasks += spec.tasks
        found[key] = (max(latest, job, key=lambda j: (j.spec.submitted_at, j.id)), tasks)
    return [(job, tasks * boot_s / window) for job, tasks in found.values() if tasks]
